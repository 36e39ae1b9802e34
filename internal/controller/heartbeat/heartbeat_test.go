package heartbeat

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// datagrams is a network of datagrams with a delay, loss and cuts.
type datagrams struct {
	mu    sync.Mutex
	conns map[string]*packetConn
	loss  float64
	cut   map[string]bool
	rng   *rand.Rand
	bytes int
}

const delay = 2 * time.Millisecond

func newDatagrams() *datagrams {
	return &datagrams{conns: make(map[string]*packetConn), cut: make(map[string]bool), rng: rand.New(rand.NewPCG(1, 2))}
}

func (d *datagrams) listen(address string) *packetConn {
	c := &packetConn{net: d, address: address, in: make(chan []byte, 4096), closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[address] = c
	return c
}

func (d *datagrams) setCut(address string, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut[address] = cut
}

func (d *datagrams) setLoss(loss float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loss = loss
}

// sent returns the number of bytes sent so far.
func (d *datagrams) sent() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

func (d *datagrams) send(from, to string, body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += len(body)
	c, ok := d.conns[to]
	if !ok || d.cut[from] || d.cut[to] || d.rng.Float64() < d.loss {
		return
	}
	body = append([]byte(nil), body...)
	time.AfterFunc(delay, func() {
		select {
		case c.in <- body:
		default:
		}
	})
}

type packetConn struct {
	net.PacketConn
	net     *datagrams
	address string
	in      chan []byte
	once    sync.Once
	closed  chan struct{}
}

func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case body := <-c.in:
		return copy(p, body), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.net.send(c.address, to.String(), p)
	return len(p), nil
}

func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// node is one gateway with its beats.
type node struct {
	*Controller
	id, region, address string
	tomb                *tomb.Tomb
}

// town is a number of gateways on one network.
type town struct {
	t     *testing.T
	net   *datagrams
	seeds []string
	nodes []*node
	start int
}

// add starts n gateways in a region.
func (tw *town) add(region string, n int) {
	for range n {
		tw.start++
		id := fmt.Sprintf("%s-%d", region, tw.start)
		tw.boot(id, region, fmt.Sprintf("10.0.%d.%d:7660", tw.start/200, tw.start%200+1))
	}
}

func (tw *town) boot(id, region, address string) *node {
	tw.start++
	board := blackboard.NewEdge(&settings.Site{})
	board.Lifecycle.Set(blackboard.Serving)
	n := &node{id: id, region: region, address: address, tomb: new(tomb.Tomb)}
	n.Controller = New(Config{
		Board:          board,
		Gateways:       fleet.NewGateways(fleet.Gateway{ID: id, Incarnation: fmt.Sprint("inc", tw.start, "-", id), Region: region, HeartbeatAddress: address, PeerAddress: address}),
		Loads:          endpointload.New(),
		StoreStatus:    fleet.NewLatestStoreStatus(),
		OwnStoreStatus: func(time.Time) fleet.StoreStatus { return fleet.StoreStatus{ConfigVersion: 5} },
		Conn:           tw.net.listen(address),
		Seeds:          tw.seeds,
		Logger:         log.New(io.Discard),
	})
	tw.nodes = append(tw.nodes, n)
	n.tomb.Go(func() error { return n.Run(n.tomb) })
	return n
}

// kill ends a gateway without a word.
func (tw *town) kill(n *node) {
	tw.net.setCut(n.address, true)
	n.tomb.Kill(nil)
	require.NoError(tw.t, n.tomb.Wait())
	tw.net.setCut(n.address, false)
	for i, o := range tw.nodes {
		if o == n {
			tw.nodes = append(tw.nodes[:i], tw.nodes[i+1:]...)
			return
		}
	}
}

func (tw *town) run(test func()) {
	defer func() {
		for len(tw.nodes) > 0 {
			tw.kill(tw.nodes[0])
		}
	}()
	test()
}

// knowAll says whether every gateway believes exactly in those that run.
func (tw *town) knowAll() string {
	for _, n := range tw.nodes {
		want := map[string]int{}
		for _, o := range tw.nodes {
			if o != n {
				want[o.region]++
			}
		}
		for region, count := range want {
			if got := len(n.Gateways.Alive(region, time.Now())); got != count {
				return fmt.Sprintf("%s believes in %d gateways of %s, not %d", n.id, got, region, count)
			}
		}
	}
	return ""
}

// settled waits until all know all, for at most limit.
func (tw *town) settled(limit time.Duration) {
	for end := time.Now().Add(limit); tw.knowAll() != "" && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	require.Empty(tw.t, tw.knowAll())
}

// towns are small and large fleets.
var towns = map[string]map[string]int{
	"small": {"north": 3, "south": 2, "west": 2},
	"large": {"north": 12, "south": 13, "west": 9},
}

func eachTown(t *testing.T, test func(tw *town)) {
	for name, regions := range towns {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tw := &town{t: t, net: newDatagrams(), seeds: []string{"10.0.0.2:7660", "10.0.0.3:7660"}}
				tw.run(func() {
					for _, region := range []string{"north", "south", "west"} {
						tw.add(region, regions[region])
					}
					tw.settled(5 * time.Second)
					test(tw)
				})
			})
		})
	}
}

// TestGatewaysFindEachOther also checks that they stay known for a while, and
// that few speak for a region.
func TestGatewaysFindEachOther(t *testing.T) {
	eachTown(t, func(tw *town) {
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			require.Empty(tw.t, tw.knowAll())
		}
		hubs := map[string]bool{}
		for _, n := range tw.nodes {
			if n.Gateways.IsHub(time.Now()) {
				hubs[n.id] = true
			}
			if word, _, _, _ := n.StoreStatus.Get(); !n.Gateways.IsStoreReader(time.Now()) {
				require.Equal(tw.t, uint64(5), word.ConfigVersion, "the word of the reader reaches all")
			}
		}
		require.LessOrEqual(tw.t, len(hubs), 6)
	})
}

func TestKilledGatewaysAreMissed(t *testing.T) {
	eachTown(t, func(tw *town) {
		for range 2 {
			hub := tw.nodes[0].Gateways.Hubs("south", time.Now())[0]
			for _, n := range tw.nodes {
				if n.id == hub {
					tw.kill(n)
					break
				}
			}
			tw.settled(6 * time.Second)
		}
	})
}

func TestReplacedGatewaysAreKnownAgain(t *testing.T) {
	eachTown(t, func(tw *town) {
		n := tw.nodes[len(tw.nodes)-1]
		tw.kill(n)
		tw.boot(n.id, n.region, n.address)
		tw.settled(4 * time.Second)
	})
}

// TestLeavingIsHeardAtOnce checks a stop that is announced.
func TestLeavingIsHeardAtOnce(t *testing.T) {
	eachTown(t, func(tw *town) {
		n := tw.nodes[0]
		n.Gateways.SetLeaving()
		n.Board.Lifecycle.Set(blackboard.Draining)
		time.Sleep(1200 * time.Millisecond)
		for _, o := range tw.nodes[1:] {
			for _, s := range o.Gateways.Alive(n.region, time.Now()) {
				require.NotEqual(tw.t, n.id, s.ID, o.id)
			}
		}
	})
}

// TestLossDoesNotMatter loses one datagram in twenty and counts the times that a
// gateway takes another one for gone.
func TestLossDoesNotMatter(t *testing.T) {
	eachTown(t, func(tw *town) {
		tw.net.setLoss(0.05)
		beliefs, wrong := 0, 0
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range tw.nodes {
				alive := 0
				for _, region := range []string{"north", "south", "west"} {
					alive += len(n.Gateways.Alive(region, time.Now()))
				}
				beliefs += len(tw.nodes) - 1
				wrong += len(tw.nodes) - 1 - alive
			}
		}
		require.LessOrEqual(tw.t, wrong*1000, beliefs)
	})
}

// TestCutGatewaysComeBack cuts one gateway off and joins it again.
func TestCutGatewaysComeBack(t *testing.T) {
	eachTown(t, func(tw *town) {
		n := tw.nodes[1]
		tw.net.setCut(n.address, true)
		time.Sleep(8 * time.Second)
		require.Empty(tw.t, n.Gateways.Alive(n.region, time.Now()))
		require.True(tw.t, n.Gateways.IsStoreReader(time.Now()), "alone, it acts for itself")
		tw.net.setCut(n.address, false)
		tw.settled(4 * time.Second)
	})
}

// TestWorkIsKnownEverywhere lets each gateway of a region have one request at
// an endpoint, and checks the sums that the others believe in.
func TestWorkIsKnownEverywhere(t *testing.T) {
	eachTown(t, func(tw *town) {
		now := time.Now()
		senders := 0
		for _, n := range tw.nodes {
			if n.region == "north" {
				senders++
				n.Loads.Begin("e", 0, endpointload.Job{Service: "s", PromptTokens: 100, OutputTokens: 10}, now).RecordFirstOutput(now)
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range tw.nodes {
			c, ok := n.Loads.Candidate(endpointload.Query{ID: "e", Service: "s", Remote: n.region != "north"}, time.Now())
			require.True(tw.t, ok)
			require.Equal(tw.t, senders, c.Running, n.id)
		}
	})
}

// TestBeatsAreSmall checks what beats cost a gateway of a large idle fleet.
func TestBeatsAreSmall(t *testing.T) {
	eachTown(t, func(tw *town) {
		before := tw.net.sent()
		const seconds = 20
		time.Sleep(seconds * time.Second)
		each := (tw.net.sent() - before) / seconds / len(tw.nodes)
		tw.t.Logf("%d bytes a second and gateway", each)
		require.Less(tw.t, each, 9_000)
	})
}

func TestMalformedBeatsAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tw := &town{t: t, net: newDatagrams()}
		tw.run(func() {
			tw.add("north", 1)
			for _, text := range []string{"", "{", `{"from":7}`, `{"rows":["x"]}`, "\x00\xff", `{"digests":[{"region":"north"}]}`} {
				tw.net.send("10.9.9.9:1", tw.nodes[0].address, []byte(text))
			}
			time.Sleep(time.Second)
			require.Empty(t, tw.nodes[0].Gateways.Regions())
		})
	})
}
