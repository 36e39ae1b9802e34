package heartbeat

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// fakeNetwork carries datagrams with a delay, random loss and partitions.
type fakeNetwork struct {
	// link limits what each gateway sends; its zero value doesn't.
	link linkLimit
	// backlogs holds by sender when its link will have sent all that is queued.
	backlogs    map[string]time.Time
	overflows   int
	mu          sync.Mutex
	conns       map[string]*packetConn
	loss        float64
	partitioned map[string]bool
	rng         *rand.Rand
	bytes       int
	tooLong     int
	// rewrite, if not nil, replaces what a gateway sends.
	rewrite func(from string, body []byte) []byte
}

type fakeDatagram struct {
	from net.Addr
	body []byte
}

const datagramDelay = 2 * time.Millisecond

// maxUDPPayload is the size of the largest datagram that UDP over IPv4 carries.
const maxUDPPayload = 65_507

var errMessageTooLong = errors.New("message too long")

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{conns: make(map[string]*packetConn), partitioned: make(map[string]bool), backlogs: make(map[string]time.Time), rng: rand.New(rand.NewPCG(1, 2))}
}

func (d *fakeNetwork) listen(address string) *packetConn {
	c := &packetConn{net: d, address: address, in: make(chan fakeDatagram, 4096), closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[address] = c
	return c
}

func (d *fakeNetwork) setPartitioned(address string, partitioned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitioned[address] = partitioned
}

func (d *fakeNetwork) setLoss(loss float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loss = loss
}

func (d *fakeNetwork) recordTooLong() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tooLong++
}

// tooLongCount returns the number of datagrams that were too long to be sent.
func (d *fakeNetwork) tooLongCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tooLong
}

// sent returns the number of bytes sent so far.
func (d *fakeNetwork) sent() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

// linkLimit limits the link of a machine: the rate at which it sends, and the bytes that
// may wait for that. What doesn't fit is dropped.
type linkLimit struct {
	bytesPerSecond, queuedBytes int
}

// enqueue queues a datagram on the sender's link and reports whether it fits.
func (d *fakeNetwork) enqueue(from string, size int) bool {
	if d.link.bytesPerSecond == 0 {
		return true
	}
	now := time.Now()
	backlog := max(d.backlogs[from].Sub(now), 0)
	if int(backlog.Seconds()*float64(d.link.bytesPerSecond))+size > d.link.queuedBytes {
		d.overflows++
		return false
	}
	d.backlogs[from] = now.Add(backlog + time.Duration(size)*time.Second/time.Duration(d.link.bytesPerSecond))
	return true
}

// overflowCount returns the number of datagrams that a full link dropped.
func (d *fakeNetwork) overflowCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overflows
}

func (d *fakeNetwork) setRewrite(rewrite func(from string, body []byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rewrite = rewrite
}

func (d *fakeNetwork) setLink(limit linkLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.link = limit
}

func (d *fakeNetwork) send(from, to string, body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += len(body)
	if !d.enqueue(from, len(body)) {
		return
	}
	c, ok := d.conns[to]
	if !ok || d.partitioned[from] || d.partitioned[to] || d.rng.Float64() < d.loss {
		return
	}
	body = append([]byte(nil), body...)
	if d.rewrite != nil {
		body = d.rewrite(from, body)
	}
	sent := fakeDatagram{body: body}
	if address, err := netip.ParseAddrPort(from); err == nil {
		sent.from = net.UDPAddrFromAddrPort(address)
	}
	time.AfterFunc(datagramDelay, func() {
		select {
		case c.in <- sent:
		default:
		}
	})
}

type packetConn struct {
	net.PacketConn
	net     *fakeNetwork
	address string
	in      chan fakeDatagram
	once    sync.Once
	closed  chan struct{}
}

func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		return copy(p, d.body), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if len(p) > maxUDPPayload {
		c.net.recordTooLong()
		return 0, errMessageTooLong
	}
	c.net.send(c.address, to.String(), p)
	return len(p), nil
}

func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// node is one gateway and its heartbeat controller.
type node struct {
	*Controller
	id, region, address string
	tomb                *tomb.Tomb
}

// testFleet is a set of gateways on one network.
type testFleet struct {
	t       *testing.T
	net     *fakeNetwork
	seeds   []string
	nodes   []*node
	started int
}

// addGateways starts n gateways in a region.
func (f *testFleet) addGateways(region string, n int) {
	for range n {
		f.started++
		id := fmt.Sprintf("%s-%d", region, f.started)
		f.startGateway(id, region, fmt.Sprintf("10.0.%d.%d:7660", f.started/200, f.started%200+1))
	}
}

func (f *testFleet) startGateway(id, region, address string) *node {
	f.started++
	board := blackboard.NewEdge(&settings.PlatformSettings{})
	board.Lifecycle.Set(blackboard.Serving)
	n := &node{id: id, region: region, address: address, tomb: new(tomb.Tomb)}
	n.Controller = New(Config{
		Board:             board,
		Quarantine:        quarantine.New(),
		RequestQuarantine: quarantine.NewOfRequests(),
		Limits:            requestlimit.New(),
		Registry:          fleet.NewRegistry(nil),
		Gateways:          fleet.NewGateways(fleet.Gateway{ID: id, Incarnation: fmt.Sprint("inc", f.started, "-", id), Region: region, HeartbeatAddress: address, PeerAddress: address}, time.Now()),
		Loads:             endpointload.New(),
		StoreStatus:       fleet.NewLatestStoreStatus(),
		OwnStoreStatus:    func(time.Time) fleet.StoreStatus { return fleet.StoreStatus{ConfigVersion: 5} },
		Conn:              f.net.listen(address),
		Seeds:             f.seeds,
		Logger:            log.New(io.Discard),
	})
	f.nodes = append(f.nodes, n)
	n.tomb.Go(func() error { return n.Run(n.tomb) })
	return n
}

// kill stops a gateway without letting it announce that.
func (f *testFleet) kill(n *node) {
	f.net.setPartitioned(n.address, true)
	n.tomb.Kill(nil)
	require.NoError(f.t, n.tomb.Wait())
	f.net.setPartitioned(n.address, false)
	for i, o := range f.nodes {
		if o == n {
			f.nodes = append(f.nodes[:i], f.nodes[i+1:]...)
			return
		}
	}
}

func (f *testFleet) run(test func()) {
	defer func() {
		for len(f.nodes) > 0 {
			f.kill(f.nodes[0])
		}
	}()
	test()
}

// viewMismatch compares the numbers of gateways that each gateway sees alive with
// those that run. It returns the first difference, or "" if there is none.
func (f *testFleet) viewMismatch() string {
	for _, n := range f.nodes {
		want := map[string]int{}
		for _, o := range f.nodes {
			if o != n {
				want[o.region]++
			}
		}
		for region, count := range want {
			if got := len(n.Gateways.Alive(region, time.Now())); got != count {
				return fmt.Sprintf("%s sees %d gateways of %s alive, not %d", n.id, got, region, count)
			}
		}
	}
	return ""
}

// requireSettled requires that within limit every gateway sees all others alive.
func (f *testFleet) requireSettled(limit time.Duration) {
	for end := time.Now().Add(limit); f.viewMismatch() != "" && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	require.Empty(f.t, f.viewMismatch())
}

// fleetSizes holds the numbers of gateways by region. The regions of the small
// fleet form full meshes, those of the large one don't.
var fleetSizes = map[string]map[string]int{
	"small": {"north": 3, "south": 2, "west": 2},
	"large": {"north": 12, "south": 13, "west": 9},
}

func forEachFleetSize(t *testing.T, test func(f *testFleet)) {
	for name, regions := range fleetSizes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &testFleet{t: t, net: newFakeNetwork(), seeds: []string{"10.0.0.2:7660", "10.0.0.3:7660"}}
				f.run(func() {
					for _, region := range []string{"north", "south", "west"} {
						f.addGateways(region, regions[region])
					}
					f.requireSettled(5 * time.Second)
					test(f)
				})
			})
		})
	}
}

// TestGatewaysDiscoverEachOther also checks that gateways stay alive in each
// other's view, and that there are at most two hubs per region.
func TestGatewaysDiscoverEachOther(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			require.Empty(f.t, f.viewMismatch())
		}
		hubs := map[string]bool{}
		for _, n := range f.nodes {
			if n.Gateways.IsHub(time.Now()) {
				hubs[n.id] = true
			}
			if status, _, _, _ := n.StoreStatus.Get(); !n.Gateways.IsStoreReader(time.Now()) {
				require.Equal(f.t, uint64(5), status.ConfigVersion, "the store status of the store reader reaches all")
			}
		}
		require.LessOrEqual(f.t, len(hubs), 6)
	})
}

func TestKilledHubsAreNoLongerAlive(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		for range 2 {
			hub := f.nodes[0].Gateways.Hubs("south", time.Now())[0]
			for _, n := range f.nodes {
				if n.id == hub {
					f.kill(n)
					break
				}
			}
			f.requireSettled(6 * time.Second)
		}
	})
}

func TestRestartedGatewayIsAliveAgain(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		n := f.nodes[len(f.nodes)-1]
		f.kill(n)
		f.startGateway(n.id, n.region, n.address)
		f.requireSettled(4 * time.Second)
	})
}

// TestLeavingGatewayIsDroppedAtOnce checks that a gateway that announces its
// shutdown is not alive to any other after 1.2 s, before it counts as silent.
func TestLeavingGatewayIsDroppedAtOnce(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		n := f.nodes[0]
		n.Gateways.SetLeaving()
		n.Board.Lifecycle.Set(blackboard.Draining)
		time.Sleep(1200 * time.Millisecond)
		for _, o := range f.nodes[1:] {
			for _, s := range o.Gateways.Alive(n.region, time.Now()) {
				require.NotEqual(f.t, n.id, s.ID, o.id)
			}
		}
	})
}

// TestDatagramLossRarelyHidesAGateway drops one datagram in twenty and checks that
// a gateway sees another one as not alive in at most one of 1000 samples.
func TestDatagramLossRarelyHidesAGateway(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		f.net.setLoss(0.05)
		views, missing := 0, 0
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range f.nodes {
				alive := 0
				for _, region := range []string{"north", "south", "west"} {
					alive += len(n.Gateways.Alive(region, time.Now()))
				}
				views += len(f.nodes) - 1
				missing += len(f.nodes) - 1 - alive
			}
		}
		require.LessOrEqual(f.t, missing*1000, views)
	})
}

// TestPartitionedGatewayRejoins cuts one gateway off the network and reconnects it.
func TestPartitionedGatewayRejoins(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		n := f.nodes[1]
		f.net.setPartitioned(n.address, true)
		time.Sleep(8 * time.Second)
		require.Empty(f.t, n.Gateways.Alive(n.region, time.Now()))
		require.True(f.t, n.Gateways.IsStoreReader(time.Now()), "an isolated gateway reads the store itself")
		f.net.setPartitioned(n.address, false)
		f.requireSettled(4 * time.Second)
	})
}

// TestInFlightRequestsAreKnownToAllGateways starts one request of each gateway of a
// region at one endpoint, and checks the number of requests that every gateway
// sees there.
func TestInFlightRequestsAreKnownToAllGateways(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		now := time.Now()
		senders := 0
		for _, n := range f.nodes {
			if n.region == "north" {
				senders++
				n.Loads.Begin("e", 0, endpointload.Job{Service: "s", PromptTokens: 100, OutputTokens: 10}, now).RecordFirstOutput(now)
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			c, ok := n.Loads.Candidate(endpointload.Query{ID: "e", Service: "s", Remote: n.region != "north"}, time.Now())
			require.True(f.t, ok)
			require.Equal(f.t, senders, c.Running, n.id)
		}
	})
}

// TestProbesLeaveLoadsAlone guards against a hub that forgets the load of a gateway for
// which it looks dead, as over a link that passes one way only: such a gateway sends it
// probes without loads.
func TestProbesLeaveLoadsAlone(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		hub := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.Gateways.IsHub(time.Now()) })]
		sender := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n != hub && n.region == hub.region })]
		now := time.Now()
		sender.Loads.Begin("e", 0, endpointload.Job{Service: "s", PromptTokens: 100, OutputTokens: 10}, now).RecordFirstOutput(now)
		time.Sleep(time.Second)
		hub.applyMessage(Message{From: sender.ownStatus()}, time.Now())
		c, ok := hub.Loads.Candidate(endpointload.Query{ID: "e", Service: "s"}, time.Now())
		require.True(f.t, ok)
		require.Equal(f.t, 1, c.Running)
	})
}

// TestIdleHeartbeatTrafficIsSmall bounds the bytes that heartbeats cost a gateway of
// an idle fleet.
func TestIdleHeartbeatTrafficIsSmall(t *testing.T) {
	forEachFleetSize(t, func(f *testFleet) {
		before := f.net.sent()
		const seconds = 20
		time.Sleep(seconds * time.Second)
		each := (f.net.sent() - before) / seconds / len(f.nodes)
		f.t.Logf("%d bytes per second and gateway", each)
		require.Less(f.t, each, 9_000)
	})
}

func TestMalformedHeartbeatsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, net: newFakeNetwork()}
		f.run(func() {
			f.addGateways("north", 1)
			for _, body := range []string{"", "{", `{"from":7}`, `{"rows":["x"]}`, "\x00\xff", `{"digests":[{"region":"north"}]}`} {
				f.net.send("10.9.9.9:1", f.nodes[0].address, []byte(body))
			}
			time.Sleep(time.Second)
			require.Empty(t, f.nodes[0].Gateways.Regions())
		})
	})
}

// statusReadAge is the greatest age of what the store reader says that it has read: the
// interval between two reads and that between two checks of whether one is due.
const statusReadAge = 1200 * time.Millisecond

// worstStatusAge returns the longest time without a new status of the store reader at
// any gateway.
func (f *testFleet) worstStatusAge(watched time.Duration) time.Duration {
	var worst time.Duration
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range f.nodes {
			if _, _, receivedAt, _ := n.StoreStatus.Get(); !n.Gateways.IsStoreReader(time.Now()) {
				worst = max(worst, time.Since(receivedAt))
			}
		}
	}
	return worst
}

// trafficDelay is the time from the start of a large fleet to its first request.
const trafficDelay = 14 * time.Second

// largeRegionSize is the number of gateways of each of three regions: 300 in all, and
// fewer under the race detector, which takes minutes for them. CI plays both.
func largeRegionSize() int {
	if raceDetector {
		return 25
	}
	return 100
}

// TestHundredsOfGateways starts all gateways at once. All have to find each other
// without a datagram that is too long for UDP, see a hub die and a gateway restart
// within seconds, and stay within the bytes that control may cost a gateway.
func TestHundredsOfGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, net: newFakeNetwork(), seeds: []string{"10.0.0.2:7660", "10.0.0.3:7660"}}
		f.run(func() {
			started := time.Now()
			for _, region := range []string{"north", "south", "west"} {
				f.addGateways(region, largeRegionSize())
			}
			f.requireSettled(trafficDelay)
			t.Logf("settled after %s", time.Since(started))
			time.Sleep(trafficDelay - time.Since(started))
			before := f.net.sent()
			const seconds = 6
			for range seconds {
				time.Sleep(time.Second)
				require.Empty(t, f.viewMismatch(), "gateways must not drop out of each other's view")
			}
			require.LessOrEqual(t, f.worstStatusAge(seconds/2*time.Second), fleet.StaleAfter(0)-statusReadAge, "the store reader's status comes often enough")
			each := (f.net.sent() - before) / (seconds + seconds/2) / len(f.nodes)
			t.Logf("%d bytes per second and gateway", each)
			require.Less(t, each, 9_000)
			hub := f.nodes[0].Gateways.Hubs("south", time.Now())[0]
			f.kill(f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.id == hub })])
			n := f.nodes[len(f.nodes)-1]
			f.kill(n)
			f.startGateway(n.id, n.region, n.address)
			f.requireSettled(6 * time.Second)
			require.Zero(t, f.net.tooLongCount(), "datagrams too long to be sent")
		})
	})
}

// TestHundredsOfGatewaysDontOverflowLinks plays summaries of some 20 KB over links with short queues.
func TestHundredsOfGatewaysDontOverflowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, net: newFakeNetwork(), seeds: []string{"10.0.0.2:7660", "10.0.0.3:7660"}}
		f.run(func() {
			for _, region := range []string{"north", "south", "west"} {
				f.addGateways(region, largeRegionSize())
			}
			f.requireSettled(trafficDelay)
			for i, n := range f.nodes {
				for e := range 4 {
					id := fmt.Sprintf("i-%s%08x", n.region, (i*4+e)%60)
					n.Loads.Begin(id, 0, endpointload.Job{Service: "s", PromptTokens: 5000, OutputTokens: 500}, time.Now()).RecordFirstOutput(time.Now())
				}
			}
			// 200 Mbit/s, and a queue of some 1000 packets.
			f.net.setLink(linkLimit{bytesPerSecond: 25 << 20, queuedBytes: largeRegionSize() * 10 << 10})
			for range 3 {
				time.Sleep(time.Second)
				require.Empty(t, f.viewMismatch(), "gateways must not drop out of each other's view")
			}
			system, deadly := quarantine.HashSegment("s", "system"), quarantine.HashSegment("s", "deadly")
			for i := range 3 {
				n := f.nodes[i*len(f.nodes)/3]
				n.Quarantine.RecordCompletion([]quarantine.Key{system}, time.Now())
				n.Quarantine.RecordCrash([]quarantine.Key{system, deadly}, uint64(i), time.Now(), time.Now())
			}
			f.requireHeldEverywhere(segmentsOf, deadly, true, holdLimit)
			require.Zero(t, f.net.overflowCount(), "datagrams dropped by full links")
		})
	})
}
