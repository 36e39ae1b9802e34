package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/store"
)

// fakeSource is a store of entries that can be away.
type fakeSource struct {
	mu       sync.Mutex
	entries  map[string]fleet.Endpoint
	revision uint64
	changed  []fleet.Entry
	down     bool
	compact  bool
	calls    int
}

func (s *fakeSource) set(e fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[e.ID] = e
	s.changed = append(s.changed, fleet.Entry{ID: e.ID, Endpoint: &e})
}

func (s *fakeSource) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.entries, id)
	s.changed = append(s.changed, fleet.Entry{ID: id, Deleted: true})
}

func (s *fakeSource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeSource) Read(context.Context) ([]fleet.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, &store.UnavailableError{Op: "read", Cause: io.EOF}
	}
	var out []fleet.Entry
	for id, e := range s.entries {
		out = append(out, fleet.Entry{ID: id, Endpoint: &e})
	}
	s.changed = nil
	return out, max(s.revision, 1), nil
}

func (s *fakeSource) Watch(_ context.Context, after uint64, _ time.Duration) ([]fleet.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.down:
		return nil, 0, &store.UnavailableError{Op: "watch", Cause: io.EOF}
	case s.compact:
		s.compact = false
		return nil, 0, &store.CompactedError{After: after}
	}
	out := s.changed
	s.changed = nil
	return out, max(s.revision, 1), nil
}

func endpoint(id string) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "north-a", Slots: 1}
}

// world is one gateway's discovery in virtual time.
type world struct {
	t      *testing.T
	source *fakeSource
	c      *Controller
	gone   []string
}

func run(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, source: &fakeSource{entries: make(map[string]fleet.Endpoint)}}
		w.c = New(Config{
			Board:       blackboard.NewEdge(&settings.Site{}),
			Registry:    fleet.NewRegistry(map[string]string{"north-a": "north"}),
			Gateways:    fleet.NewGateways(fleet.Gateway{ID: "self", Region: "north"}),
			StoreStatus: fleet.NewLatestStoreStatus(),
			Source:      w.source,
			OnRemoved:   func(id, _ string) { w.gone = append(w.gone, id) },
			Logger:      log.New(io.Discard),
		})
		var tb tomb.Tomb
		tb.Go(func() error { return w.c.Run(&tb) })
		test(w)
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
}

func (w *world) usable() int { return len(w.c.Registry.Usable("s", time.Second, time.Now())) }

// hearOther makes another gateway the region's reader.
func (w *world) hearOther(seq uint64, word *fleet.StoreStatus) {
	g := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9}
	w.c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: g, Seq: seq}, time.Now())
	if word != nil {
		w.c.StoreStatus.Set("reader", *word, time.Now())
	}
}

func TestReaderFollowsTheStore(t *testing.T) {
	run(t, func(w *world) {
		w.source.set(endpoint("a"))
		time.Sleep(time.Second)
		require.True(t, w.c.Board.Discovered.Get())
		w.source.set(endpoint("b"))
		time.Sleep(readInterval + tick)
		require.Equal(t, 2, w.usable())
		w.source.remove("a")
		time.Sleep(readInterval + tick)
		require.Equal(t, 1, w.usable())
		require.Equal(t, []string{"a"}, w.gone)
		w.source.mu.Lock()
		w.source.compact = true
		w.source.mu.Unlock()
		w.source.set(endpoint("c"))
		time.Sleep(readInterval + 2*tick)
		require.Equal(t, 2, w.usable(), "a whole read brings what was forgotten")
		before := w.source.count()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, w.source.count()-before, int(time.Minute/readInterval)+1)
	})
}

// TestLapsedEntriesAreWaitedFor plays an outage in which all entries lapse.
func TestLapsedEntriesAreWaitedFor(t *testing.T) {
	run(t, func(w *world) {
		w.source.set(endpoint("a"))
		w.source.set(endpoint("b"))
		time.Sleep(time.Second)
		w.source.setDown(true)
		time.Sleep(10 * time.Second)
		require.Equal(t, 2, w.usable(), "what was known is still used")
		require.True(t, w.c.Gateways.IsStoreUnreachable(time.Now()))
		w.source.remove("a")
		w.source.remove("b")
		w.source.setDown(false)
		time.Sleep(readInterval + tick)
		require.Equal(t, 2, w.usable())
		require.False(t, w.c.Gateways.IsStoreUnreachable(time.Now()))
		w.source.set(endpoint("a"))
		time.Sleep(fleet.ReregistrationGrace + readInterval + tick)
		require.Equal(t, 1, w.usable(), "b is gone")
		w.source.remove("a")
		time.Sleep(readInterval + tick)
		require.Zero(t, w.usable(), "later removals count at once")
	})
}

// TestOthersReadForThisOne checks that a gateway that is not the reader makes
// no calls while it hears that the store is read, and reads itself soon after
// that word ends.
func TestOthersReadForThisOne(t *testing.T) {
	run(t, func(w *world) {
		w.source.set(endpoint("a"))
		time.Sleep(2 * time.Second)
		fingerprint := w.c.Registry.Fingerprint()
		before := w.source.count()
		for seq := uint64(1); seq <= 100; seq++ {
			w.hearOther(seq, &fleet.StoreStatus{EndpointsFingerprint: fingerprint, EndpointsAgeMillis: 300})
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, w.source.count(), before+1)
		w.source.remove("a")
		for seq := uint64(101); seq <= 130; seq++ {
			w.hearOther(seq, nil)
			time.Sleep(100 * time.Millisecond)
		}
		require.Zero(t, w.usable(), "known within 3 s of the reader's last read")
	})
}

// TestShortSilenceIsNoOutage checks that entries removed while another gateway
// took over the reading are gone at once.
func TestShortSilenceIsNoOutage(t *testing.T) {
	run(t, func(w *world) {
		w.source.set(endpoint("a"))
		time.Sleep(time.Second)
		w.source.setDown(true)
		time.Sleep(time.Second)
		w.source.remove("a")
		w.source.setDown(false)
		time.Sleep(readInterval + tick)
		require.Zero(t, w.usable())
	})
}

// besideReader returns a controller that hears of a reader which gives the
// endpoints of the given function over a real connection.
func besideReader(t *testing.T, source *fakeSource, endpoints func() []fleet.Endpoint) (*Controller, fleet.Gateway) {
	server := httptest.NewServer(peerfetch.Handler(peerfetch.Sources{
		Endpoints: endpoints,
		Routes:    func() []byte { return nil },
	}))
	t.Cleanup(server.Close)
	c := New(Config{
		Board:       blackboard.NewEdge(&settings.Site{}),
		Registry:    fleet.NewRegistry(map[string]string{"north-a": "north"}),
		Gateways:    fleet.NewGateways(fleet.Gateway{ID: "self", Region: "north"}),
		StoreStatus: fleet.NewLatestStoreStatus(),
		Source:      source,
		Client:      peerfetch.NewClient(nil),
		OnRemoved:   func(string, string) {},
		Logger:      log.New(io.Discard),
	})
	g := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: g, Seq: 1}, time.Now())
	c.StoreStatus.Set("reader", fleet.StoreStatus{EndpointsAgeMillis: 60_000}, time.Now())
	return c, g
}

// TestStartAsksOnlyWhoKnows plays a start at the same time as the others': the
// region's reader has not read anything yet.
func TestStartAsksOnlyWhoKnows(t *testing.T) {
	source := &fakeSource{entries: map[string]fleet.Endpoint{"a": endpoint("a")}}
	c, _ := besideReader(t, source, func() []fleet.Endpoint { return nil })
	now := time.Now()
	c.step(context.Background(), now)
	require.True(t, c.Board.Discovered.Get())
	require.Len(t, c.Registry.Usable("s", time.Second, now), 1, "read in the store, as the reader knows nothing")
}

// TestFetch takes entries from another gateway over a real connection.
func TestFetch(t *testing.T) {
	c, g := besideReader(t, &fakeSource{down: true}, func() []fleet.Endpoint {
		return []fleet.Endpoint{endpoint("x"), endpoint("y")}
	})
	now := time.Now()
	c.step(context.Background(), now)
	require.True(t, c.Board.Discovered.Get(), "a gateway that starts while the store is away asks the others")
	require.Len(t, c.Registry.Usable("s", time.Second, now), 2)
	_, err := c.Client.FetchRoutes(context.Background(), g.PeerAddress)
	var status *peerfetch.StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusNotFound, status.Status)
}
