package configproof

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
)

const (
	testBound    = 5 * time.Second
	testRewrite  = 3 * time.Second
	localDelay   = time.Millisecond
	storeDelay   = 55 * time.Millisecond
	storeTimeout = 900 * time.Millisecond
	watchTime    = testBound / 10
	storeName    = "store"
)

var errUnreachable = errors.New("unreachable")

// world is a region of gateways with a store in another region. It runs in a synctest
// bubble, with simulated heartbeats, datagrams and calls to the store.
type world struct {
	t       *testing.T
	start   time.Time
	mu      sync.Mutex
	version uint64
	era     uint64
	// ackedAt is when the store acknowledged each version.
	ackedAt map[uint64]time.Duration
	// cuts holds the directions "from>to" in which nothing arrives.
	cuts    map[string]bool
	changed chan struct{}
	nodes   []*node
	// lostPerTen is how many of ten datagrams are lost. delay is the one-way delay between
	// gateways, storeDelay that to the store.
	delay                 atomic.Int64
	lostPerTen, datagrams atomic.Int64
	storeDelay            atomic.Int64
	ctx                   context.Context
	wg                    sync.WaitGroup
}

// node is one gateway.
type node struct {
	world      *world
	id         string
	controller *Controller
	gateways   *fleet.Gateways
	board      *blackboard.Edge
	tracker    *freshness.Tracker
	tomb       *tomb.Tomb

	// thawed is closed unless the gateway is frozen. ended is set once it has ended.
	mu     sync.Mutex
	thawed chan struct{}
	ended  atomic.Bool

	asked, reads, watches atomic.Int64
}

// Now implements freshness.Clock. Each gateway has been up for another time.
func (n *node) Now() freshness.Instant {
	return freshness.Instant(time.Since(n.world.start) + time.Duration(len(n.id))*time.Hour)
}

// newWorld starts a region of gateways, and another one with some more. All have version 1.
func newWorld(t *testing.T, gateways, elsewhere int) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{t: t, start: time.Now(), version: 1, era: 1, ackedAt: map[uint64]time.Duration{1: 0}, cuts: make(map[string]bool), changed: make(chan struct{}), ctx: ctx}
	w.storeDelay.Store(int64(storeDelay))
	w.delay.Store(int64(localDelay))
	for i := range gateways {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("g%d", i), "r", gateways-i))
	}
	for i := range elsewhere {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("o%d", i), "other", 1))
	}
	for _, n := range w.nodes {
		n.run()
	}
	t.Cleanup(func() {
		cancel()
		for _, n := range w.nodes {
			n.thaw()
			n.tomb.Kill(nil)
			_ = n.tomb.Wait()
		}
		w.wg.Wait()
	})
	return w
}

func (w *world) newNode(id, region string, capacity int) *node {
	site := &settings.PlatformSettings{Limits: settings.Limits{RevokeStrict: true, Revocation: testBound}}
	n := &node{
		world: w, id: id, board: blackboard.NewEdge(site), tracker: freshness.NewTracker(testRewrite), tomb: new(tomb.Tomb), thawed: make(chan struct{}),
		gateways: fleet.NewGateways(fleet.Gateway{ID: id, Region: region, GrantAddress: id, MachineCapacity: capacity}, time.Now()),
	}
	close(n.thawed)
	n.adopt(1)
	n.controller = New(Config{Board: n.board, Gateways: n.gateways, Tracker: n.tracker, Clock: n, Peers: n, Configs: n, Logger: log.New(io.Discard)})
	return n
}

func (n *node) run() {
	n.tomb.Go(func() error { return n.controller.Run(n.tomb) })
	n.world.wg.Go(n.beat)
	n.world.wg.Go(n.watchStore)
}

func (n *node) adopt(version uint64) {
	n.board.Routes.Update(func(old *route.Table) (*route.Table, bool) {
		table := route.NewTable(version, nil, nil, route.Limits{})
		table.Accounts, _ = account.NewIndex(nil)
		return table, old == nil || version > old.Version
	})
}

func (n *node) version() uint64 { return n.board.Routes.Get().Version }

func (n *node) sleep(d time.Duration) bool {
	select {
	case <-n.world.ctx.Done():
		return false
	case <-n.tomb.Dying():
		return false
	case <-time.After(d):
	}
	n.waitThawed()
	return !n.ended.Load()
}

func (n *node) waitThawed() {
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	<-thawed
}

// freeze stops the gateway until thaw is called. What is sent to it waits.
func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.thawed:
		n.thawed = make(chan struct{})
	default:
	}
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.thawed:
	default:
		close(n.thawed)
	}
}

// end ends the gateway's process.
func (n *node) end() {
	n.ended.Store(true)
	n.tomb.Kill(nil)
}

// loses reports whether the next datagram is lost.
func (w *world) loses() bool { return w.datagrams.Add(1)*7%10 < w.lostPerTen.Load() }

// arrives reports whether what is sent from one to another arrives.
func (w *world) arrives(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cuts[from+">"+to]
}

// cut stops or resumes what is sent from one to another.
func (w *world) cut(from, to string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[from+">"+to] = on
}

func (w *world) cutStore(n *node, on bool) {
	w.cut(n.id, storeName, on)
	w.cut(storeName, n.id, on)
}

// beat sends heartbeats to all other gateways.
func (n *node) beat() {
	seq := uint64(0)
	for n.sleep(100 * time.Millisecond) {
		seq++
		self := n.gateways.Self()
		for _, o := range n.world.nodes {
			if o != n && !o.ended.Load() && n.world.arrives(n.id, o.id) {
				o.gateways.ApplyStatus(fleet.GatewayStatus{Gateway: self, Seq: seq, Ready: true, StoreUnreachable: n.gateways.IsStoreUnreachable(time.Now())}, time.Now())
			}
		}
	}
}

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// write writes a version to the store.
func (w *world) write() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.ackedAt[w.version] = time.Since(w.start)
	close(w.changed)
	w.changed = make(chan struct{})
}

// check reports how many gateways would serve a request with a key that is sent now, and
// fails the test if one would that lacks a version which was acknowledged more than the
// bound before.
func (w *world) check() (serving int) {
	w.t.Helper()
	now := time.Since(w.start)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		n.mu.Lock()
		thawed := n.thawed
		n.mu.Unlock()
		select {
		case <-thawed:
		default:
			continue
		}
		if n.ended.Load() || !n.tracker.MayServe(n.Now(), testBound) {
			continue
		}
		serving++
		for version, ackedAt := range w.ackedAt {
			if now-ackedAt > testBound {
				require.GreaterOrEqual(w.t, n.version(), version, "%s at %v", n.id, now)
			}
		}
	}
	return serving
}

// maxAge returns the age of the oldest proof.
func (w *world) maxAge() time.Duration {
	var out time.Duration
	for _, n := range w.nodes {
		age, ok := n.tracker.Age(n.Now())
		if !n.ended.Load() && (!ok || age > out) {
			out = age
		}
	}
	return out
}

// pass lets time pass in small steps and calls fn in each.
func (w *world) pass(d time.Duration, fn func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		w.check()
		if fn != nil {
			fn()
		}
	}
}
