package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// randomFleet is a random fleet in which every region is overloaded and sees
// every other one as faster, with a list of revisions. The expected results
// come from permittedRegions, which holds plain lists made before any
// configuration is parsed.
type randomFleet struct {
	t                *rapid.T
	regions          []string
	permittedRegions [][]string
	intents          []*intent.Intent
	gateways         []*Gateway
	// revisionIndex is the index of the revision that each gateway holds, by
	// gateway id.
	revisionIndex map[string]int
}

const (
	testCustomer = "shop"
	testKey      = "a-key"
)

func drawFleet(t *rapid.T) *randomFleet {
	f := &randomFleet{t: t, revisionIndex: map[string]int{}}
	for i := range rapid.IntRange(2, 4).Draw(t, "regions") {
		f.regions = append(f.regions, fmt.Sprintf("region-%d", i))
	}
	for range 3 {
		f.addRevision()
	}
	for _, region := range f.regions {
		for i := range rapid.IntRange(1, 3).Draw(t, "gateways") {
			f.addGateway(region, fmt.Sprintf("%s-gw%d", region, i))
		}
	}
	for _, g := range f.gateways {
		f.populateView(g)
	}
	return f
}

func (f *randomFleet) addRevision() {
	var permitted []string
	for _, region := range f.regions {
		if rapid.IntRange(0, 5).Draw(f.t, "permitted") > 0 {
			permitted = append(permitted, region)
		}
	}
	if len(permitted) == 0 {
		permitted = f.regions[:1]
	}
	all := strings.Join(f.regions, ", ")
	text := "links: {\"*\": {one_way: 55ms}}\ngroups:\n  g: {kind: engine, regions: [" + all + "]}\nmodels:\n  m: {groups: [g], max_prompt_tokens: 100, max_output_tokens: 100}\nregions:\n"
	for _, region := range f.regions {
		text += "  " + region + ": {data_centres: [" + region + "-1]}\n"
	}
	text += fmt.Sprintf("customers:\n  %s: {key_hashes: [%s], home: %s, residency: [%s]}\n",
		testCustomer, intent.HashAPIKey(testKey), permitted[0], strings.Join(permitted, ", "))
	in, diags := intent.Parse([]intent.File{{Name: "10.yaml", Content: []byte(text)}})
	for _, d := range diags {
		require.NotEqual(f.t, intent.Fault, d.Severity, "%+v", d)
	}
	f.permittedRegions = append(f.permittedRegions, permitted)
	f.intents = append(f.intents, in)
}

func (f *randomFleet) addGateway(region, id string) {
	board := blackboard.New(blackboard.Self{
		ID: id, Incarnation: NewIncarnation(region, id, "x"), Region: region, PeerAddress: id + ":1", CallerAddress: id + ":2",
	})
	board.Lifecycle.Set(blackboard.Serving)
	g := New(Config{
		Board: board, Membership: membership.New(board), SchedulerData: datastore.New(datastore.Options{}),
		Peers:        peer.NewClient(peer.NewSigner(id, []string{"a-secret-of-the-gateways"}), nil),
		MaxBodyBytes: 1 << 10, BodyTimeout: time.Second,
	})
	f.gateways = append(f.gateways, g)
	f.adopt(g, rapid.IntRange(0, len(f.intents)-1).Draw(f.t, "revision"))
}

// populateView makes a gateway know the summaries of all other regions and some
// of the other gateways.
func (f *randomFleet) populateView(g *Gateway) {
	for _, region := range f.regions {
		s := blackboard.RegionSummary{Region: region, AsOf: time.Now()}
		for _, other := range f.gateways {
			if self := other.Board.Self; self.Region == region {
				s.Gateways = append(s.Gateways, blackboard.GatewayAddress{ID: self.ID, Peer: self.PeerAddress, Caller: self.CallerAddress})
			}
		}
		if region != g.Board.Self.Region {
			g.Board.Regions.Set(region, s)
		}
	}
	for _, other := range f.gateways {
		self := other.Board.Self
		// Gateways of the same region are mostly known, others mostly not.
		known := rapid.IntRange(0, 7).Draw(f.t, "known") > 5
		if self.Region == g.Board.Self.Region {
			known = !known
		}
		if other != g && known {
			g.Board.Peers.Set(self.ID, blackboard.PeerState{ID: self.ID, Incarnation: self.Incarnation, Region: self.Region, Address: self.PeerAddress, LastSeen: time.Now()})
		}
	}
}

func (f *randomFleet) adopt(g *Gateway, revision int) {
	f.revisionIndex[g.Board.Self.ID] = revision
	g.Board.Intent.Set(blackboard.IntentState{Revision: uint64(revision + 1), Intent: f.intents[revision]})
}

// maybeAdopt switches a gateway to the same or a later revision.
func (f *randomFleet) maybeAdopt(g *Gateway) {
	f.adopt(g, rapid.IntRange(f.revisionIndex[g.Board.Self.ID], len(f.intents)-1).Draw(f.t, "adopted"))
}

// permits returns whether the revision that the gateway holds permits the
// region, by the expected results.
func (f *randomFleet) permits(g *Gateway, region string) bool {
	return slices.Contains(f.permittedRegions[f.revisionIndex[g.Board.Self.ID]], region)
}

// overloadedView is a scheduler's view in which this region has no free
// capacity and every other one appears faster.
func (f *randomFleet) overloadedView(region string) *sched.View {
	now := time.Now()
	v := &sched.View{Now: now, Region: region, Gateways: 1, Policy: sched.RoutingPolicy{TailLatencyWeight: 1, MaxForwardShare: 1}, Regions: map[string]*sched.RegionView{}}
	busy := &sched.Endpoint{ID: "e", Group: "g", ReportAt: now, BacklogAt: now, PrefillRate: 1000, BacklogTokens: 1e6}
	v.Groups = map[string]*sched.GroupView{"g": {Endpoints: []*sched.EndpointRef{sched.NewEndpointRef(busy)}}}
	for _, other := range f.regions {
		if other != region {
			v.Regions[other] = &sched.RegionView{Region: other, SummaryReceivedAt: now, RecoveryShare: 1, Groups: map[string]sched.GroupSummary{"g": {Endpoints: 1, FreeSlots: 9, PrefillRate: 1e5}}}
		}
	}
	return v
}

// requestPath is the path of one request through the fleet.
type requestPath struct {
	f          *randomFleet
	visited    []string
	regionHops int
}

// authenticateAt sends the caller's request to its first gateway.
func (path *requestPath) authenticateAt(g *Gateway) (*call, bool) {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer "+testKey)
	c, err := g.authenticate(httptest.NewRecorder(), r, "request")
	require.Equal(path.f.t, path.f.permits(g, g.Board.Self.Region), err == nil, "accepted if and only if the region is permitted: %v", err)
	if err == nil {
		path.visited = append(path.visited, g.Board.Self.ID)
	}
	return c, err == nil
}

// checkSend checks that a gateway may send the request to a region.
func (path *requestPath) checkSend(from *Gateway, region string) {
	require.True(path.f.t, path.f.permits(from, region), "sent to a region that the sender's newest revision forbids")
	if region != from.Board.Self.Region {
		path.regionHops++
	}
	require.LessOrEqual(path.f.t, path.regionHops, 1, "forwarded to another region more than once")
}

// deliver passes a forwarded request to a gateway. That is not always the one
// it was addressed to, since an address may have been taken over by another
// instance.
func (path *requestPath) deliver(from *Gateway, address string, fwd peer.Forward) (*Gateway, *call, bool) {
	f := path.f
	index := slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.Board.Self.PeerAddress == address })
	require.GreaterOrEqual(f.t, index, 0, "sent to an unknown gateway address: %q", address)
	g := f.gateways[index]
	addressed := g
	switch rapid.IntRange(0, 3).Draw(f.t, "delivered to") {
	case 0:
		g = rapid.SampledFrom(f.gateways).Draw(f.t, "receiver")
	case 1:
		g = f.gateways[slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.Board.Self.ID == path.visited[0] })]
	}
	f.maybeAdopt(g)
	self := g.Board.Self
	permitted := f.permits(g, self.Region) && f.permits(from, self.Region) && !slices.Contains(path.visited, self.ID)
	c, err := g.accept(fwd, nil, false)
	if err == nil {
		require.True(f.t, f.permits(g, self.Region), "accepted against the receiver's newest revision")
		require.True(f.t, f.permits(from, self.Region), "accepted against the sender's newest revision")
		require.NotContains(f.t, path.visited, self.ID, "visited an instance twice")
	} else if g == addressed {
		require.False(f.t, permitted, "a permitted first hop was rejected: %v", err)
	}
	path.visited = append(path.visited, self.ID)
	return g, c, err == nil
}

// TestChatsKeepResidencyAndDontLoop sends a chat through a fleet in which every
// gateway prefers to forward it to another region. It must stay in permitted
// regions, visit no instance twice and change its region at most once.
func TestChatsKeepResidencyAndDontLoop(t *testing.T) {
	scheduler := sched.New(sched.DefaultOptions())
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		path := &requestPath{f: f}
		g := rapid.SampledFrom(f.gateways).Draw(t, "entry")
		c, ok := path.authenticateAt(g)
		for ok {
			req := &sched.Request{Groups: []string{"g"}, PromptTokens: 10, PermittedRegions: c.permitted, ForwardsLeft: c.regionHopsLeft()}
			f.maybeAdopt(g)
			d := scheduler.Decide(req, f.overloadedView(g.Board.Self.Region), rapid.Uint64().Draw(t, "rnd"))
			if d.Kind != sched.Forward {
				return
			}
			f.maybeAdopt(g)
			p := &chatPicker{g: g, call: c, req: req}
			target, found := p.target(d, nil)
			if !found {
				require.False(t, f.permits(g, d.Region), "a permitted region was skipped")
				return
			}
			path.checkSend(g, target.Region)
			g, c, ok = path.deliver(g, target.Address, forwardHeader(t, target))
		}
	})
}

// forwardHeader decodes the forward header that the next gateway receives.
func forwardHeader(t *rapid.T, target relay.Target) peer.Forward {
	req := httptest.NewRequest(http.MethodPost, "http://"+target.Address+peer.PathForward, nil)
	target.Peer.Prepare(req, nil)
	var fwd peer.Forward
	require.NoError(t, json.Unmarshal([]byte(req.Header.Get(peer.HeaderForward)), &fwd))
	return fwd
}

// TestActionsKeepResidencyAndDontLoop forwards an action to the owner of its
// ticket, which may be in any region and known or unknown to the gateway. It
// must stay in permitted regions and take at most two hops.
func TestActionsKeepResidencyAndDontLoop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		path := &requestPath{f: f}
		owner := rapid.SampledFrom(f.gateways).Draw(t, "owner").Board.Self
		g := rapid.SampledFrom(f.gateways).Draw(t, "entry")
		c, ok := path.authenticateAt(g)
		for ok && g.Board.Self.ID != owner.ID && c.ownerHopsLeft() > 0 {
			f.maybeAdopt(g)
			address, fwd, err := NewOwnerClient(g).nextHop(owner.Incarnation, c)
			if err != nil {
				return
			}
			path.checkSend(g, owner.Region)
			require.LessOrEqual(t, len(path.visited), 2, "an action takes at most two hops")
			g, c, ok = path.deliver(g, address, fwd)
		}
	})
}
