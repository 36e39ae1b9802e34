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

// fleetCase is a random fleet whose regions are all overloaded and all point
// at each other, with a list of revisions. The oracle is allowed: plain lists,
// worked out before any configuration is parsed.
type fleetCase struct {
	t        *rapid.T
	regions  []string
	allowed  [][]string
	intents  []*intent.Intent
	gateways []*Gateway
	// held is the number of the revision that each gateway holds.
	held map[string]int
}

const (
	theCustomer = "shop"
	theKey      = "a-key"
)

func drawFleet(t *rapid.T) *fleetCase {
	f := &fleetCase{t: t, held: map[string]int{}}
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
		f.know(g)
	}
	return f
}

func (f *fleetCase) addRevision() {
	var allowed []string
	for _, region := range f.regions {
		if rapid.IntRange(0, 5).Draw(f.t, "permitted") > 0 {
			allowed = append(allowed, region)
		}
	}
	if len(allowed) == 0 {
		allowed = f.regions[:1]
	}
	all := strings.Join(f.regions, ", ")
	text := "links: {\"*\": {one_way: 55ms}}\ngroups:\n  g: {kind: engine, regions: [" + all + "]}\nmodels:\n  m: {groups: [g], max_prompt_tokens: 100, max_output_tokens: 100}\nregions:\n"
	for _, region := range f.regions {
		text += "  " + region + ": {data_centres: [" + region + "-1]}\n"
	}
	text += fmt.Sprintf("customers:\n  %s: {key_hashes: [%s], home: %s, residency: [%s]}\n",
		theCustomer, intent.HashAPIKey(theKey), allowed[0], strings.Join(allowed, ", "))
	in, diags := intent.Parse([]intent.File{{Name: "10.yaml", Content: []byte(text)}})
	for _, d := range diags {
		require.NotEqual(f.t, intent.Fault, d.Severity, "%+v", d)
	}
	f.allowed = append(f.allowed, allowed)
	f.intents = append(f.intents, in)
}

func (f *fleetCase) addGateway(region, id string) {
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

// know makes a gateway know every region and some of the other gateways.
func (f *fleetCase) know(g *Gateway) {
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
		// Peers are mostly those of the region.
		known := rapid.IntRange(0, 7).Draw(f.t, "known") > 5
		if self.Region == g.Board.Self.Region {
			known = !known
		}
		if other != g && known {
			g.Board.Peers.Set(self.ID, blackboard.PeerState{ID: self.ID, Incarnation: self.Incarnation, Region: self.Region, Address: self.PeerAddress, LastSeen: time.Now()})
		}
	}
}

func (f *fleetCase) adopt(g *Gateway, number int) {
	f.held[g.Board.Self.ID] = number
	g.Board.Intent.Set(blackboard.IntentState{Revision: uint64(number + 1), Intent: f.intents[number]})
}

// mayAdopt lets a gateway go to a later revision at this moment.
func (f *fleetCase) mayAdopt(g *Gateway) {
	f.adopt(g, rapid.IntRange(f.held[g.Board.Self.ID], len(f.intents)-1).Draw(f.t, "adopted"))
}

// permits is the oracle: whether the gateway's newest revision permits region.
func (f *fleetCase) permits(g *Gateway, region string) bool {
	return slices.Contains(f.allowed[f.held[g.Board.Self.ID]], region)
}

// overloaded is a view in which this region has nothing free and every other
// one promises to be faster.
func (f *fleetCase) overloaded(region string) *sched.View {
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

// journey is the way of one request through the fleet.
type journey struct {
	f       *fleetCase
	visited []string
	moves   int
}

// enter is the caller's request at its first gateway.
func (j *journey) enter(g *Gateway) (*call, bool) {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer "+theKey)
	c, err := g.authenticate(httptest.NewRecorder(), r, "request")
	require.Equal(j.f.t, j.f.permits(g, g.Board.Self.Region), err == nil, "accepted where, and only where, the region is permitted: %v", err)
	if err == nil {
		j.visited = append(j.visited, g.Board.Self.ID)
	}
	return c, err == nil
}

// sent checks a request that a gateway sends to a region.
func (j *journey) sent(from *Gateway, region string) {
	require.True(j.f.t, j.f.permits(from, region), "sent to a region that the sender's newest revision forbids")
	if region != from.Board.Self.Region {
		j.moves++
	}
	require.LessOrEqual(j.f.t, j.moves, 1, "moved to another region more than once")
}

// arrive gives a forward to a gateway, which is not always the one that it was
// sent to: an address may have passed to another instance.
func (j *journey) arrive(from *Gateway, address string, fwd peer.Forward) (*Gateway, *call, bool) {
	f := j.f
	to := slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.Board.Self.PeerAddress == address })
	require.GreaterOrEqual(f.t, to, 0, "sent to no known gateway: %q", address)
	g := f.gateways[to]
	addressed := g
	switch rapid.IntRange(0, 3).Draw(f.t, "strays") {
	case 0:
		g = rapid.SampledFrom(f.gateways).Draw(f.t, "strays to")
	case 1:
		g = f.gateways[slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.Board.Self.ID == j.visited[0] })]
	}
	f.mayAdopt(g)
	self := g.Board.Self
	ok := f.permits(g, self.Region) && f.permits(from, self.Region) && !slices.Contains(j.visited, self.ID)
	c, err := g.accept(fwd, nil, false)
	if err == nil {
		require.True(f.t, f.permits(g, self.Region), "accepted against the receiver's newest revision")
		require.True(f.t, f.permits(from, self.Region), "accepted against the sender's newest revision")
		require.NotContains(f.t, j.visited, self.ID, "visited an instance twice")
	} else if g == addressed {
		require.False(f.t, ok, "a permitted first move was refused: %v", err)
	}
	j.visited = append(j.visited, self.ID)
	return g, c, err == nil
}

// TestChatsKeepResidencyAndDontLoop sends a chat through a fleet in which
// everybody wants to be rid of it.
func TestChatsKeepResidencyAndDontLoop(t *testing.T) {
	scheduler := sched.New(sched.DefaultOptions())
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		j := &journey{f: f}
		g := rapid.SampledFrom(f.gateways).Draw(t, "entry")
		c, ok := j.enter(g)
		for ok {
			req := &sched.Request{Groups: []string{"g"}, PromptTokens: 10, PermittedRegions: c.permitted, ForwardsLeft: c.regionMoves()}
			f.mayAdopt(g)
			d := scheduler.Decide(req, f.overloaded(g.Board.Self.Region), rapid.Uint64().Draw(t, "rnd"))
			if d.Kind != sched.Forward {
				return
			}
			f.mayAdopt(g)
			p := &picker{g: g, call: c, req: req}
			target, found := p.target(d, nil)
			if !found {
				require.False(t, f.permits(g, d.Region), "a permitted region was given up")
				return
			}
			j.sent(g, target.Region)
			g, c, ok = j.arrive(g, target.Address, forwardOf(t, target))
		}
	})
}

// forwardOf reads what the next gateway is told.
func forwardOf(t *rapid.T, target relay.Target) peer.Forward {
	req := httptest.NewRequest(http.MethodPost, "http://"+target.Address+peer.PathForward, nil)
	target.Peer.Prepare(req, nil)
	var fwd peer.Forward
	require.NoError(t, json.Unmarshal([]byte(req.Header.Get(peer.HeaderForward)), &fwd))
	return fwd
}

// TestActionsKeepResidencyAndDontLoop sends an action on its way to the owner
// of its ticket, who may be anywhere, known or not.
func TestActionsKeepResidencyAndDontLoop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		j := &journey{f: f}
		owner := rapid.SampledFrom(f.gateways).Draw(t, "owner").Board.Self
		g := rapid.SampledFrom(f.gateways).Draw(t, "entry")
		c, ok := j.enter(g)
		for ok && g.Board.Self.ID != owner.ID && c.ownerMoves() > 0 {
			f.mayAdopt(g)
			address, fwd, err := NewOwnerClient(g).way(owner.Incarnation, c)
			if err != nil {
				return
			}
			j.sent(g, owner.Region)
			require.LessOrEqual(t, len(j.visited), 2, "an action takes two moves at most")
			g, c, ok = j.arrive(g, address, fwd)
		}
	})
}
