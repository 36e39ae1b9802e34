package configsync_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller/configsync"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
)

const (
	oneWay       = 55 * time.Millisecond
	exchangeTick = 500 * time.Millisecond
	inForceLimit = 9 * time.Second
)

// fleet is a store, regions with a path to it each, and their gateways.
type fleet struct {
	t        *testing.T
	store    *kv.Store
	regions  []*region
	mu       sync.Mutex
	life     tomb.Tomb
	revision uint64
	parent   string
	// took is how long each gateway took to hold each published revision or a
	// higher one.
	published map[uint64]time.Time
	took      []time.Duration
	// peerBytes counts the bytes of the snapshots that peers sent.
	peerBytes int
}

// region is a region's path to the store and its gateways.
type region struct {
	name     string
	server   *kv.Server
	listener *memnet.Listener
	gateways []*gateway
	// cutOff says that no peer of another region can be reached.
	cutOff bool
}

type gateway struct {
	fleet  *fleet
	region *region
	id     string
	board  *blackboard.Board
	life   *tomb.Tomb
	// noStore makes dials to the store fail; silentPeer makes the gateway
	// never answer peers.
	noStore    bool
	silentPeer bool
	// spoil makes it claim far higher revisions and spoil its snapshots.
	spoil bool
}

// newFleet starts sizes[i] gateways in region i. The store stands in the first.
func newFleet(t *testing.T, sizes ...int) *fleet {
	f := &fleet{t: t, store: kv.NewStore(), published: map[uint64]time.Time{}}
	// Calls under way and idle connections end within a minute.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	for i, n := range sizes {
		f.regions = append(f.regions, f.newRegion(i, n))
	}
	f.life.Go(f.exchange)
	t.Cleanup(f.stop)
	return f
}

func (f *fleet) newRegion(index, gateways int) *region {
	r := &region{name: fmt.Sprintf("r%02d", index), server: kv.New(kv.Limits{}), listener: memnet.Listen("store")}
	r.server.Store = f.store
	handler := r.server.Handler()
	if index > 0 {
		handler = farAway(handler)
	}
	httpServer := &http.Server{Handler: handler}
	go func() { _ = httpServer.Serve(r.server.Faults.Listener(r.listener)) }()
	f.t.Cleanup(func() { _ = httpServer.Close() })
	for i := range gateways {
		g := &gateway{fleet: f, region: r, id: fmt.Sprintf("%s-g%02d", r.name, i)}
		r.gateways = append(r.gateways, g)
		g.start()
	}
	return r
}

// farAway adds the network's delay each way.
func farAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(oneWay)
		rec := httptest.NewRecorder()
		next.ServeHTTP(rec, r)
		time.Sleep(oneWay)
		for k, v := range rec.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	})
}

func (f *fleet) stop() {
	for _, g := range f.all() {
		g.stop()
	}
	f.life.Kill(nil)
	_ = f.life.Wait()
}

func (f *fleet) all() []*gateway {
	var out []*gateway
	for _, r := range f.regions {
		out = append(out, r.gateways...)
	}
	return out
}

// start starts the gateway with an empty blackboard.
func (g *gateway) start() {
	self := blackboard.Self{ID: g.id, Region: g.region.name, PeerAddress: g.id, Incarnation: time.Now().String()}
	board := blackboard.New(self)
	life := &tomb.Tomb{}
	store := platform.NewHTTPStore("http://store", platform.Options{Dial: g.dialStore})
	c := configsync.New(configsync.Config{
		Board: board, Store: store, Peers: g, Parse: parse, Log: log.New(io.Discard),
	})
	g.fleet.mu.Lock()
	g.board, g.life = board, life
	g.fleet.mu.Unlock()
	life.Go(func() error { return c.Run(life) })
	life.Go(func() error { return g.observe(board, life) })
}

func (g *gateway) stop() {
	g.life.Kill(nil)
	_ = g.life.Wait()
}

func (g *gateway) dialStore(ctx context.Context, network, address string) (net.Conn, error) {
	g.fleet.mu.Lock()
	refused := g.noStore
	g.fleet.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	return g.region.listener.Dial(ctx, network, address)
}

// observe fails the test when the gateway's revision goes down, and notes how
// long each revision took.
func (g *gateway) observe(board *blackboard.Board, life *tomb.Tomb) error {
	var last uint64
	for {
		state, changed := board.Intent.Watch()
		if state.Revision < last {
			g.fleet.t.Errorf("%s went from revision %d back to %d", g.id, last, state.Revision)
		}
		g.fleet.note(last, state.Revision)
		last = state.Revision
		select {
		case <-changed:
		case <-life.Dying():
			return nil
		}
	}
}

func (f *fleet) note(from, to uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == 0 {
		return
	}
	for r := from + 1; r <= to; r++ {
		f.took = append(f.took, time.Since(f.published[r]))
	}
}

// parse is a parser that refuses files that say so.
func parse(files []revision.File) (*intent.Intent, error) {
	for _, f := range files {
		if strings.Contains(string(f.Content), "invalid") {
			return nil, &revision.InvalidError{Reason: f.Name}
		}
	}
	return &intent.Intent{}, nil
}

// publish puts the next revision into the store.
func (f *fleet) publish(contents ...string) uint64 {
	f.mu.Lock()
	f.revision++
	next := f.revision
	f.published[next] = time.Now()
	f.mu.Unlock()
	raw := f.write(next, f.parent, append(contents, fmt.Sprintf("file of revision %d", next))...)
	f.parent = revision.Digest(raw)
	return next
}

// write writes blobs and a head, whatever the store holds.
func (f *fleet) write(rev uint64, parent string, contents ...string) []byte {
	head := revision.Head{Revision: rev, ChangeID: fmt.Sprint("change-", rev), Parent: parent, At: time.Now()}
	for i, content := range contents {
		digest := revision.Digest([]byte(content))
		head.Files = append(head.Files, revision.FileRef{Name: fmt.Sprintf("%02d.yaml", i), SHA256: digest})
		_, err := f.store.Put(revision.BlobKey(digest), []byte(content), platform.PutOptions{})
		require.NoError(f.t, err)
	}
	raw, err := head.Encode()
	require.NoError(f.t, err)
	_, err = f.store.Put(revision.HeadKey, raw, platform.PutOptions{})
	require.NoError(f.t, err)
	return raw
}

// requireInForce checks that the gateways hold the revision within the limit
// from now, and returns how long the last one took.
func (f *fleet) requireInForce(rev uint64, gateways []*gateway) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		missing := f.below(rev, gateways)
		if len(missing) == 0 {
			return time.Since(start)
		}
		if time.Since(start) > inForceLimit {
			require.Empty(f.t, missing, "without revision %d after %s", rev, inForceLimit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) below(rev uint64, gateways []*gateway) []string {
	var out []string
	for _, g := range gateways {
		if g.held() < rev {
			out = append(out, fmt.Sprintf("%s at %d", g.id, g.held()))
		}
	}
	return out
}

func (g *gateway) held() uint64 {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	return g.board.Intent.Get().Revision
}

// set changes the fleet under its lock.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// restart replaces the gateway by one with an empty blackboard.
func (g *gateway) restart() {
	g.stop()
	time.Sleep(time.Second)
	g.start()
}

// cutHolders cuts the region's holders from the store, but for one gateway.
func (f *fleet) cutHolders(r *region) {
	cut := 0
	for _, g := range r.gateways {
		if g.holdsWatch() && cut < len(r.gateways)-1 {
			cut++
			f.set(func() { g.noStore = true })
		}
	}
	require.NoError(f.t, r.server.Faults.Set(fault.Setting{Kind: fault.Silent}))
}

// holdsWatch says whether the gateway is among its region's two holders.
func (g *gateway) holdsWatch() bool {
	ahead := 0
	for _, other := range g.region.gateways {
		if configsync.HolderScore(other.id) > configsync.HolderScore(g.id) {
			ahead++
		}
	}
	return ahead < configsync.WatchHolders
}

func (f *fleet) calls() int64 {
	var total int64
	for _, r := range f.regions {
		for _, n := range r.server.Calls().Calls {
			total += n
		}
	}
	return total
}

// logTimes logs the times from a publication to a gateway's adoption.
func (f *fleet) logTimes() {
	f.t.Logf("time to in force: p50 %s, p99 %s, max %s", f.quantile(0.5), f.quantile(0.99), f.quantile(1))
}

// quantile returns the q-quantile of the times to in force.
func (f *fleet) quantile(q float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.took) == 0 {
		return 0
	}
	sort.Slice(f.took, func(i, j int) bool { return f.took[i] < f.took[j] })
	return f.took[int(q*float64(len(f.took)-1))]
}

// errNoAnswer is what a peer's failure looks like.
var errNoAnswer = errors.New("no answer")

// FetchSnapshot implements configsync.PeerSource.
func (g *gateway) FetchSnapshot(ctx context.Context, address string, minRevision uint64) ([]byte, error) {
	return g.FetchDelta(ctx, address, minRevision, nil)
}

// FetchDelta implements configsync.DeltaSource.
func (g *gateway) FetchDelta(ctx context.Context, address string, minRevision uint64, have []string) ([]byte, error) {
	peer, reachable := g.fleet.find(g, address)
	if !reachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	if peer.region != g.region {
		time.Sleep(2 * oneWay)
	}
	state := peer.board.Intent.Get()
	if state.Revision < minRevision && !peer.spoil {
		return nil, errNoAnswer
	}
	raw, err := revision.Reduce(state.Snapshot, have)
	g.fleet.set(func() { g.fleet.peerBytes += len(raw) })
	if peer.spoil {
		raw = bytes.ReplaceAll(raw, []byte(`"head"`), []byte(`"Head "`))
	}
	return raw, err
}

func (f *fleet) find(from *gateway, address string) (*gateway, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.all() {
		if g.id == address {
			far := g.region != from.region && (g.region.cutOff || from.region.cutOff)
			return g, g.life.Alive() && !g.silentPeer && !far
		}
	}
	return nil, false
}

// exchange delivers the gateways' revisions to each other twice a second, and
// one summary of each region to the others.
func (f *fleet) exchange() error {
	for {
		select {
		case <-time.After(exchangeTick):
		case <-f.life.Dying():
			return nil
		}
		f.mu.Lock()
		for _, r := range f.regions {
			f.exchangeWithin(r)
			f.exchangeAcross(r)
		}
		f.mu.Unlock()
	}
}

func (f *fleet) exchangeWithin(r *region) {
	for _, from := range r.gateways {
		if !from.life.Alive() {
			continue
		}
		state := blackboard.PeerState{
			ID: from.id, Region: r.name, Address: from.id,
			Revision: from.board.Intent.Get().Revision, Heard: time.Now(),
		}
		if from.spoil {
			state.Revision += 1000
		}
		for _, to := range r.gateways {
			if to != from {
				to.board.Peers.Set(from.id, state)
			}
		}
	}
}

func (f *fleet) exchangeAcross(from *region) {
	summary := blackboard.RegionSummary{Region: from.name, Heard: time.Now()}
	for _, g := range from.gateways {
		summary.Revision = max(summary.Revision, g.board.Intent.Get().Revision)
	}
	for _, g := range from.gateways {
		if g.board.Intent.Get().Revision == summary.Revision && len(summary.Gateways) < 2 {
			summary.Gateways = append(summary.Gateways, blackboard.GatewayAddress{ID: g.id, Peer: g.id})
		}
	}
	for _, to := range f.regions {
		if to == from || to.cutOff || from.cutOff {
			continue
		}
		for _, g := range to.gateways {
			g.board.Regions.Set(from.name, summary)
		}
	}
}
