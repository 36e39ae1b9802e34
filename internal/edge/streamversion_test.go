package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/streamversion"
)

// streamNetwork carries what gateways tell each other of streams. A gateway that isn't in it
// doesn't respond.
type streamNetwork struct {
	mu       sync.Mutex
	gateways map[string]*Edge
}

func (n *streamNetwork) get(address string) *Edge {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gateways[address]
}

func (n *streamNetwork) set(address string, e *Edge) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gateways[address] = e
}

func (n *streamNetwork) TellStreams(address string, records []streamversion.Record) error {
	if e := n.get(address); e != nil {
		for _, r := range records {
			e.KeepStream(r, time.Now())
		}
	}
	return nil
}

func (n *streamNetwork) AskStream(ctx context.Context, _, address string, id streamversion.ID, service string) (grants.StreamResponse, error) {
	e := n.get(address)
	if e == nil {
		<-ctx.Done()
		return grants.StreamResponse{}, ctx.Err()
	}
	var out grants.StreamResponse
	out.Version, out.ServiceVersions = e.LookupStream(id, service, time.Now())
	return out, nil
}

// streamFleet is a cluster with several gateways in each region.
type streamFleet struct {
	*cluster
	network *streamNetwork
	// regionOf holds the regions of the gateways by their ids, which are the keys of
	// cluster.regions.
	regionOf map[string]string
}

// newStreamFleet starts n gateways each in north and south.
func newStreamFleet(t *testing.T, n int) *streamFleet {
	f := &streamFleet{
		cluster: &cluster{t: t, regions: make(map[string]*region), limits: route.Limits{MaxBodyBytes: 1000}},
		network: &streamNetwork{gateways: make(map[string]*Edge)}, regionOf: make(map[string]string),
	}
	for i := range n {
		for _, name := range []string{"north", "south"} {
			id := fmt.Sprintf("gw-%s-%d", name, i)
			f.regionOf[id] = name
			f.regions[id] = f.startGatewayAt(id, name, time.Now().Add(-time.Minute))
		}
	}
	for id := range f.regions {
		f.introduce(id)
	}
	streams := streamRoute(true)
	streams.MaxAttempts = 4
	f.addRoute(streams)
	return f
}

// introduce makes a gateway and the others known to each other.
func (f *streamFleet) introduce(id string) {
	f.regions[id].edge.StreamPeers = f.network
	f.network.set(id, f.regions[id].edge)
	for other := range f.regions {
		if other != id {
			for _, at := range []time.Time{time.Now().Add(-time.Minute), time.Now()} {
				f.regions[id].edge.Gateways.ApplyStatus(f.status(other), at)
				f.regions[other].edge.Gateways.ApplyStatus(f.status(id), at)
			}
		}
	}
}

func (f *streamFleet) status(id string) fleet.GatewayStatus {
	r := f.regions[id]
	return fleet.GatewayStatus{
		Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: f.regionOf[id], PeerAddress: strings.TrimPrefix(r.peerServer.URL, "http://"), GrantAddress: id},
		Ready:   true, Seq: uint64(time.Now().UnixNano()),
	}
}

// restart ends a gateway and starts it again, with nothing that it knew.
func (f *streamFleet) restart(id string) {
	f.regions[id] = f.startGatewayAt(id, f.regionOf[id], time.Now())
	table := route.NewTable(1, f.routes, []*route.Service{{Name: "s"}}, f.limits)
	f.regions[id].edge.Board.Routes.Set(table)
	f.introduce(id)
}

// setVersions replaces the endpoints of all registries. Each endpoint is named by its version and
// data centre.
func (f *streamFleet) setVersions(endpoints map[string]*fakeEndpoint, versions ...string) {
	f.setVersionsExcept("", endpoints, versions...)
}

// setVersionsExcept is setVersions without the registry of one gateway.
func (f *streamFleet) setVersionsExcept(except string, endpoints map[string]*fakeEndpoint, versions ...string) {
	var entries []fleet.Entry
	for _, version := range versions {
		for _, dc := range []string{"north-a", "south-a"} {
			entries = append(entries, fleet.Entry{ID: version + dc, Endpoint: &fleet.Endpoint{
				ID: version + dc, Service: "s", SoftwareVersion: version, DataCentre: dc, Slots: 8,
				Address: strings.TrimPrefix(endpoints[version+dc].server.URL, "http://"),
			}})
		}
	}
	for id, r := range f.regions {
		if id != except {
			r.edge.Registry.Replace(entries, time.Now())
			r.edge.Registry.RecordCurrent(time.Now())
		}
	}
}

// followForLong gives all gateways empty registries that have followed the entries for long.
func (f *streamFleet) followForLong() {
	for _, r := range f.regions {
		registry := fleet.NewRegistry(testSite.Regions)
		for age := 2 * streamversion.Retention; age >= 0; age -= time.Second {
			registry.RecordCurrent(time.Now().Add(-age))
		}
		r.edge.Registry = registry
	}
}

// startVersions starts an endpoint of each version in each data centre, without entries. Their
// events name the version.
func (f *streamFleet) startVersions(versions ...string) map[string]*fakeEndpoint {
	out := make(map[string]*fakeEndpoint)
	for _, version := range versions {
		for _, dc := range []string{"north-a", "south-a"} {
			out[version+dc] = f.startEndpoint(version+dc, dc)
			out[version+dc].setHandler(versionEvents(version, 4, 0))
		}
	}
	return out
}

// versionEvents is streamEvents with events that name a version.
func versionEvents(version string, last, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(headerLastID))
		for i := from + 1; i <= last; i++ {
			if cut > 0 && i > cut {
				resetConnection(w, r)
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// takeUp takes up a stream after the given event.
func (r *region) takeUp(attempt, resumes string, after int) response {
	return r.call(http.MethodPost, "/s/", "", map[string]string{headerID: attempt, headerLastID: strconv.Itoa(after), headerResumes: resumes})
}

// requireOneVersion checks that a stream's events are of one version, and returns it.
func requireOneVersion(t *testing.T, body string) string {
	t.Helper()
	versions := make(map[string]bool)
	version := ""
	for line := range strings.Lines(body) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			version, versions[v] = v, true
		}
	}
	require.Len(t, versions, 1, body)
	return version
}

// TestBrokenStreamsGoOnAtTheVersionThatBeganThem guards against a stream that holds events of two
// software versions, in one region and over two.
func TestBrokenStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	for _, broken := range []string{"north-a", "south-a", "both"} {
		f := newStreamFleet(t, 1)
		endpoints := f.startVersions("v1", "v2")
		f.setVersions(endpoints, "v1", "v2")
		for _, version := range []string{"v1", "v2"} {
			for _, dc := range []string{"north-a", "south-a"} {
				if broken == dc || broken == "both" {
					endpoints[version+dc].setHandler(versionEvents(version, 4, 2))
				}
			}
		}
		for i := range 30 {
			got := f.regions["gw-north-0"].call(http.MethodPost, "/s/", "", map[string]string{headerID: strconv.Itoa(i), headerTimeout: "500"})
			version := requireOneVersion(t, got.body)
			if broken != "both" {
				require.Equal(t, 4, strings.Count(got.body, version), got.body)
			}
		}
	}
}

// TestStreamsTakenUpGoOnAtTheVersionThatBeganThem guards against a caller's stream that holds
// events of two software versions over its tries, though the gateway that it had is gone.
func TestStreamsTakenUpGoOnAtTheVersionThatBeganThem(t *testing.T) {
	f := newStreamFleet(t, 5)
	endpoints := f.startVersions("v1", "v2")
	f.setVersions(endpoints, "v1", "v2")
	const streams = 60
	begun := make([]string, streams)
	for i := range streams {
		got := f.regions[fmt.Sprintf("gw-north-%d", i%2)].call(http.MethodPost, "/s/", "", map[string]string{headerID: strconv.Itoa(i)})
		begun[i] = requireOneVersion(t, got.body)
	}
	for _, r := range f.regions {
		r.edge.tellStreams(time.Now())
	}
	// The two gateways that had the streams are killed and come back.
	for i := range 2 {
		f.restart(fmt.Sprintf("gw-north-%d", i))
	}
	f.setVersions(endpoints, "v1", "v2")
	for i := range streams {
		for n, at := range []string{"gw-north-0", "gw-north-3", "gw-south-2"} {
			got := f.regions[at].takeUp(fmt.Sprintf("%d-%d", i, n), strconv.Itoa(i), 2)
			require.Equal(t, http.StatusOK, got.status, at)
			require.Equal(t, fmt.Sprintf("id: 3\ndata: %s\n\nid: 4\ndata: %[1]s\n\n", begun[i]), got.body)
		}
	}
}

// TestStreamOfAnUnknownVersionIsRefused guards against streams that go on at another version
// after all gateways were killed at once, while two versions serve or once the older one has left.
func TestStreamOfAnUnknownVersionIsRefused(t *testing.T) {
	for _, after := range [][]string{{"v1", "v2"}, {"v2"}} {
		f := newStreamFleet(t, 2)
		endpoints := f.startVersions("v1", "v2")
		f.setVersions(endpoints, "v1", "v2")
		for id := range f.regionOf {
			f.restart(id)
		}
		f.setVersions(endpoints, after...)
		before := requestCount(endpoints["v1north-a"], endpoints["v2north-a"], endpoints["v1south-a"], endpoints["v2south-a"])
		startedAt := time.Now()
		got := f.regions["gw-north-1"].takeUp("b", "a", 2)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Empty(t, got.header.Get("Retry-After"), "all gateways have answered")
		require.Less(t, time.Since(startedAt), remoteStreamWait)
		require.Equal(t, before, requestCount(endpoints["v1north-a"], endpoints["v2north-a"], endpoints["v1south-a"], endpoints["v2south-a"]))

		f.network.set("gw-north-0", nil)
		got = f.regions["gw-north-1"].takeUp("c", "a", 2)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"), "the gateway that didn't answer may know")
	}
}

// TestSoleVersionLetsStreamsGoOn guards against streams that can't be taken up after a gateway
// was killed, though the service has had one version only.
func TestSoleVersionLetsStreamsGoOn(t *testing.T) {
	f := newStreamFleet(t, 2)
	endpoints := f.startVersions("v1", "v2")
	f.setVersions(endpoints, "v1")
	f.followForLong()
	f.setVersions(endpoints, "v1")
	f.restart("gw-north-0")
	f.setVersions(endpoints, "v1")
	for _, at := range []string{"gw-north-0", "gw-north-1"} {
		got := f.regions[at].takeUp("b"+at, "a", 2)
		require.Equal(t, "id: 3\ndata: v1\n\nid: 4\ndata: v1\n\n", got.body)
	}
	f.setVersions(endpoints, "v1", "v2")
	require.Equal(t, http.StatusServiceUnavailable, f.regions["gw-north-1"].takeUp("c", "another", 2).status)
	f.setVersions(endpoints, "v2")
	require.Equal(t, http.StatusServiceUnavailable, f.regions["gw-north-1"].takeUp("d", "another", 2).status, "v1 has just left")
}

// TestStreamsWithoutAFirstAttemptAreNotTakenForEachOther guards against callers who take up
// streams without naming an attempt, and get the version of another such stream.
func TestStreamsWithoutAFirstAttemptAreNotTakenForEachOther(t *testing.T) {
	f := newStreamFleet(t, 1)
	endpoints := f.startVersions("v1", "v2")
	f.setVersions(endpoints, "v1", "v2")
	north := f.regions["gw-north-0"]
	north.edge.KeepStream(streamversion.Record{ID: streamversion.IDOf(""), Service: "s", Version: "v1"}, time.Now())
	require.Equal(t, http.StatusServiceUnavailable, north.takeUp("b", "", 2).status)
}

// TestKeepersSurviveTheLossOfGateways checks that few streams become unknown when a third of the
// gateways of a region are killed at once.
func TestKeepersSurviveTheLossOfGateways(t *testing.T) {
	const (
		gateways = 20
		streams  = 2000
	)
	random := rand.New(rand.NewPCG(1, 1))
	network := &streamNetwork{gateways: make(map[string]*Edge)}
	edges := make(map[string]*Edge)
	for i := range gateways {
		id := strconv.Itoa(i)
		g := fleet.NewGateways(fleet.Gateway{ID: id, Region: "north"}, time.Now())
		for j := range gateways {
			if j != i {
				other := strconv.Itoa(j)
				g.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: other, Incarnation: "1", Region: "north", GrantAddress: other}, Seq: 1}, time.Now())
			}
		}
		edges[id] = &Edge{Config: Config{Gateways: g, Registry: fleet.NewRegistry(testSite.Regions), Streams: streamversion.NewRecords(), StreamPeers: network}}
		network.set(id, edges[id])
	}
	for i := range streams {
		edges[strconv.Itoa(i%gateways)].Streams.Begin(streamversion.Record{ID: streamversion.IDOf(strconv.Itoa(i)), Service: "s", Version: "v1"}, time.Now())
	}
	for _, e := range edges {
		e.tellStreams(time.Now())
	}
	for _, i := range random.Perm(gateways)[:gateways/3] {
		network.set(strconv.Itoa(i), nil)
	}
	known, asked := 0, 0
	for i := range streams {
		if network.get(strconv.Itoa(i%gateways)) != nil {
			continue
		}
		asked++
		id := streamversion.IDOf(strconv.Itoa(i))
		for j := range gateways {
			taker := network.get(strconv.Itoa(j))
			if taker == nil {
				continue
			}
			local, _ := taker.keepersAsked(id, time.Now())
			for _, g := range local {
				if e := network.get(g.ID); e != nil {
					if v, _ := e.LookupStream(id, "s", time.Now()); v != "" {
						known++
						break
					}
				}
			}
			break
		}
	}
	require.Greater(t, asked, streams/4)
	require.Greater(t, float64(known), 0.9*float64(asked), "%d of %d", known, asked)
}
