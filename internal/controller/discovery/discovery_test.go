package discovery

import (
	"context"
	"io"
	"net"
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

// fakeSource is a store of endpoint entries that can be made unavailable.
type fakeSource struct {
	mu        sync.Mutex
	entries   map[string]fleet.Endpoint
	era       uint64
	revision  uint64
	changed   []fleet.Entry
	down      bool
	compacted bool
	calls     int
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

func (s *fakeSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// list returns the entries that the store holds.
func (s *fakeSource) list() []fleet.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked()
}

func (s *fakeSource) listLocked() []fleet.Entry {
	var out []fleet.Entry
	for id, e := range s.entries {
		out = append(out, fleet.Entry{ID: id, Endpoint: &e})
	}
	return out
}

func (s *fakeSource) Read(context.Context) ([]fleet.Entry, store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, store.Revision{}, &store.UnavailableError{Op: "read", Cause: io.EOF}
	}
	out := s.listLocked()
	s.changed = nil
	return out, store.Revision{Era: s.era, Number: max(s.revision, 1)}, nil
}

func (s *fakeSource) Watch(_ context.Context, after store.Revision, _ time.Duration) ([]fleet.Entry, store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.down:
		return nil, store.Revision{}, &store.UnavailableError{Op: "watch", Cause: io.EOF}
	case s.compacted:
		s.compacted = false
		return nil, store.Revision{}, &store.CompactedError{After: after}
	}
	out := s.changed
	s.changed = nil
	return out, store.Revision{Era: s.era, Number: max(s.revision, 1)}, nil
}

func endpoint(id string) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "north-a", Slots: 1}
}

// testDiscovery is the discovery controller of one gateway, running in virtual
// time.
type testDiscovery struct {
	t          *testing.T
	source     *fakeSource
	controller *Controller
	removed    []string
}

func run(t *testing.T, test func(d *testDiscovery)) {
	synctest.Test(t, func(t *testing.T) {
		d := &testDiscovery{t: t, source: &fakeSource{entries: make(map[string]fleet.Endpoint)}}
		d.controller = New(Config{
			Board:       blackboard.NewEdge(&settings.PlatformSettings{}),
			Registry:    fleet.NewRegistry(map[string]string{"north-a": "north"}),
			Gateways:    fleet.NewGateways(fleet.Gateway{ID: "self", Region: "north"}, time.Now()),
			StoreStatus: fleet.NewLatestStoreStatus(),
			Source:      d.source,
			OnRemoved:   func(id, _ string) { d.removed = append(d.removed, id) },
			Logger:      log.New(io.Discard),
		})
		var tb tomb.Tomb
		tb.Go(func() error { return d.controller.Run(&tb) })
		defer func() {
			tb.Kill(nil)
			require.NoError(t, tb.Wait())
		}()
		test(d)
	})
}

func (d *testDiscovery) usable() int {
	return len(d.controller.Registry.Usable("s", time.Second, time.Now()))
}

// applyStoreReaderStatus makes another gateway the store reader of the region.
// status is its store status, nil to announce none.
func (d *testDiscovery) applyStoreReaderStatus(seq uint64, status *fleet.StoreStatus) {
	gateway := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9}
	d.controller.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: gateway, Seq: seq}, time.Now())
	if status != nil {
		d.controller.StoreStatus.Set("reader", *status, time.Now())
	}
}

func TestStoreReaderFollowsTheStore(t *testing.T) {
	run(t, func(d *testDiscovery) {
		d.source.set(endpoint("a"))
		time.Sleep(time.Second)
		require.True(t, d.controller.Board.EndpointsDiscovered.Get())
		d.source.set(endpoint("b"))
		time.Sleep(readInterval + pollInterval)
		require.Equal(t, 2, d.usable())
		d.source.remove("a")
		time.Sleep(readInterval + pollInterval)
		require.Equal(t, 1, d.usable())
		require.Equal(t, []string{"a"}, d.removed)
		d.source.mu.Lock()
		d.source.compacted = true
		d.source.mu.Unlock()
		d.source.set(endpoint("c"))
		time.Sleep(readInterval + 2*pollInterval)
		require.Equal(t, 2, d.usable(), "a read of all entries includes the compacted changes")
		before := d.source.callCount()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, d.source.callCount()-before, int(time.Minute/readInterval)+1)
	})
}

// TestLapsedEntriesAreUsedDuringTheGrace covers a store outage in which all entries
// expire.
func TestLapsedEntriesAreUsedDuringTheGrace(t *testing.T) {
	run(t, func(d *testDiscovery) {
		d.source.set(endpoint("a"))
		d.source.set(endpoint("b"))
		time.Sleep(time.Second)
		d.source.setDown(true)
		time.Sleep(10 * time.Second)
		require.Equal(t, 2, d.usable(), "endpoints stay usable during the outage")
		require.True(t, d.controller.Gateways.IsStoreUnreachable(time.Now()))
		d.source.remove("a")
		d.source.remove("b")
		d.source.setDown(false)
		time.Sleep(readInterval + pollInterval)
		require.Equal(t, 2, d.usable())
		require.False(t, d.controller.Gateways.IsStoreUnreachable(time.Now()))
		d.source.set(endpoint("a"))
		time.Sleep(fleet.ReregistrationGrace + readInterval + pollInterval)
		require.Equal(t, 1, d.usable(), "b is gone")
		d.source.remove("a")
		time.Sleep(readInterval + pollInterval)
		require.Zero(t, d.usable(), "deletions after the grace apply at once")
	})
}

// TestStoreIsNotReadWhileThePeerReadsIt checks that a gateway that is not the store
// reader makes no calls while the status of the store reader is fresh, and reads
// the store itself soon after the last status.
func TestStoreIsNotReadWhileThePeerReadsIt(t *testing.T) {
	run(t, func(d *testDiscovery) {
		d.source.set(endpoint("a"))
		time.Sleep(2 * time.Second)
		fingerprint := d.controller.Registry.Fingerprint()
		before := d.source.callCount()
		for seq := uint64(1); seq <= 100; seq++ {
			d.applyStoreReaderStatus(seq, &fleet.StoreStatus{EndpointsFingerprint: fingerprint, EndpointsAgeMillis: 300})
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, d.source.callCount(), before+1)
		d.source.remove("a")
		for seq := uint64(101); seq <= 130; seq++ {
			d.applyStoreReaderStatus(seq, nil)
			time.Sleep(100 * time.Millisecond)
		}
		require.Zero(t, d.usable(), "the deletion is known within 3 s of the store reader's last status")
	})
}

// TestShortStoreFailureIsNoOutage checks that entries deleted during a store failure
// shorter than fleet.StoreOutageAfter, such as a change of the store reader, are removed
// without a grace.
func TestShortStoreFailureIsNoOutage(t *testing.T) {
	run(t, func(d *testDiscovery) {
		d.source.set(endpoint("a"))
		time.Sleep(time.Second)
		d.source.setDown(true)
		time.Sleep(time.Second)
		d.source.remove("a")
		d.source.setDown(false)
		time.Sleep(readInterval + pollInterval)
		require.Zero(t, d.usable())
	})
}

func TestRegistryIsOutOfDateWithoutTheStore(t *testing.T) {
	run(t, func(d *testDiscovery) {
		isOutOfDate := func() bool { return d.controller.Registry.IsOutOfDate(time.Now()) }
		require.True(t, isOutOfDate(), "nothing has been read")
		d.source.set(endpoint("a"))
		time.Sleep(time.Second)
		require.False(t, isOutOfDate())
		d.source.setDown(true)
		time.Sleep(fleet.StoreOutageAfter + readInterval)
		require.True(t, isOutOfDate())
		fingerprint := d.controller.Registry.Fingerprint()
		d.applyStoreReaderStatus(1, &fleet.StoreStatus{EndpointsFingerprint: fingerprint, EndpointsAgeMillis: 300})
		time.Sleep(2 * pollInterval)
		require.False(t, isOutOfDate(), "the store reader has the same entries")
		time.Sleep(fleet.StoreOutageAfter)
		require.True(t, isOutOfDate())
	})
}

// TestRegistryThatCannotBeFetchedIsOutOfDate covers a gateway that hears the store reader,
// but can't connect to it.
func TestRegistryThatCannotBeFetchedIsOutOfDate(t *testing.T) {
	c, _ := newControllerBesideReader(t, &fakeSource{down: true}, func() []fleet.Endpoint { return nil })
	c.Board.EndpointsDiscovered.Set(true)
	unreachable := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9, PeerAddress: "127.0.0.1:1"}
	c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: unreachable, Seq: 2}, time.Now())
	c.StoreStatus.Set("reader", fleet.StoreStatus{EndpointsFingerprint: 1}, time.Now())
	c.refresh(context.Background(), time.Now())
	require.True(t, c.Registry.IsOutOfDate(time.Now()))
}

// newControllerBesideReader returns a controller in whose view another gateway is
// the store reader. That gateway serves the result of endpoints over HTTP.
func newControllerBesideReader(t *testing.T, source *fakeSource, endpoints func() []fleet.Endpoint) (*Controller, fleet.Gateway) {
	server := httptest.NewServer(peerfetch.Handler(peerfetch.Sources{
		Endpoints: endpoints,
		Routes:    func() []byte { return nil },
	}))
	t.Cleanup(server.Close)
	c := New(Config{
		Board:       blackboard.NewEdge(&settings.PlatformSettings{}),
		Registry:    fleet.NewRegistry(map[string]string{"north-a": "north"}),
		Gateways:    fleet.NewGateways(fleet.Gateway{ID: "self", Region: "north"}, time.Now()),
		StoreStatus: fleet.NewLatestStoreStatus(),
		Source:      source,
		Client:      peerfetch.NewClient(nil, nil),
		OnRemoved:   func(string, string) {},
		Logger:      log.New(io.Discard),
	})
	gateway := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: gateway, Seq: 1}, time.Now())
	c.StoreStatus.Set("reader", fleet.StoreStatus{EndpointsAgeMillis: 60_000}, time.Now())
	return c, gateway
}

// TestStartAsksOnlyWhoKnows covers a start of all gateways at once, in which the
// store reader has not read anything yet.
func TestStartAsksOnlyWhoKnows(t *testing.T) {
	source := &fakeSource{entries: map[string]fleet.Endpoint{"a": endpoint("a")}}
	c, _ := newControllerBesideReader(t, source, func() []fleet.Endpoint { return nil })
	now := time.Now()
	c.refresh(context.Background(), now)
	require.True(t, c.Board.EndpointsDiscovered.Get())
	require.Len(t, c.Registry.Usable("s", time.Second, now), 1, "read from the store, since the store reader has no entries")
}

// TestEntriesAreFetchedFromTheStoreReader fetches entries over HTTP while the store
// is unavailable.
func TestEntriesAreFetchedFromTheStoreReader(t *testing.T) {
	c, gateway := newControllerBesideReader(t, &fakeSource{down: true}, func() []fleet.Endpoint {
		return []fleet.Endpoint{endpoint("x"), endpoint("y")}
	})
	now := time.Now()
	c.refresh(context.Background(), now)
	require.True(t, c.Board.EndpointsDiscovered.Get(), "a gateway that starts while the store is unavailable asks its peers")
	require.Len(t, c.Registry.Usable("s", time.Second, now), 2)
	_, err := c.Client.FetchRoutes(context.Background(), gateway.PeerAddress)
	var status *peerfetch.StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusNotFound, status.Status)
}

// TestStoreReaderStartsWithoutTheStore has a gateway start that reads the store for its
// region, while only a gateway of another region has what the store held.
func TestStoreReaderStartsWithoutTheStore(t *testing.T) {
	source := &fakeSource{down: true}
	known := &fleet.StoreStatus{ConfigVersion: 3, EndpointsAgeMillis: 60_000, OperatorsAgeMillis: 60_000}
	server := httptest.NewServer(peerfetch.Handler(peerfetch.Sources{
		Endpoints:   func() []fleet.Endpoint { return []fleet.Endpoint{endpoint("x")} },
		StoreStatus: func() *fleet.StoreStatus { return known },
	}))
	t.Cleanup(server.Close)
	c := New(Config{
		Board:       blackboard.NewEdge(&settings.PlatformSettings{}),
		Registry:    fleet.NewRegistry(map[string]string{"north-a": "north", "south-a": "south"}),
		Gateways:    fleet.NewGateways(fleet.Gateway{ID: "self", Region: "south"}, time.Now()),
		StoreStatus: fleet.NewLatestStoreStatus(),
		Source:      source,
		Client:      peerfetch.NewClient(nil, nil),
		OnRemoved:   func(string, string) {},
		Logger:      log.New(io.Discard),
	})
	peer := fleet.GatewayStatus{Gateway: fleet.Gateway{ID: "peer", Incarnation: "1", Region: "north", PeerAddress: strings.TrimPrefix(server.URL, "http://")}, Seq: 1, Ready: true}
	c.Gateways.ApplyStatus(peer, time.Now())
	c.refresh(context.Background(), time.Now())
	require.False(t, c.Board.EndpointsDiscovered.Get(), "the store is asked first")
	c.refresh(context.Background(), time.Now())
	require.True(t, c.Board.EndpointsDiscovered.Get())
	require.Len(t, c.Registry.Usable("s", time.Second, time.Now()), 1)
	require.True(t, c.Registry.IsOutOfDate(time.Now()), "nobody has read the store lately")
	status, from, _, _ := c.StoreStatus.Get()
	require.Equal(t, "peer", from)
	require.Equal(t, known.ConfigVersion, status.ConfigVersion, "for the configuration")
}

// TestEntriesMissingAfterRestoreAreKeptForAWhile has the store come back from a copy that
// lacks an endpoint, without having been away for long.
func TestEntriesMissingAfterRestoreAreKeptForAWhile(t *testing.T) {
	run(t, func(d *testDiscovery) {
		d.source.era = 1
		d.source.set(endpoint("a"))
		d.source.set(endpoint("b"))
		time.Sleep(2 * readInterval)
		d.source.mu.Lock()
		d.source.era, d.source.compacted = 2, true
		delete(d.source.entries, "b")
		d.source.mu.Unlock()
		time.Sleep(readInterval + pollInterval)
		_, known := d.controller.Registry.Get("b")
		require.True(t, known, "the endpoint has time to write its entry again")
		time.Sleep(2 * fleet.ReregistrationGrace)
		_, known = d.controller.Registry.Get("b")
		require.False(t, known)
		_, known = d.controller.Registry.Get("a")
		require.True(t, known)
	})
}

// TestChangeIsKnownInTimeThoughItCannotBeFetched guards against a gateway that goes on sending
// to an endpoint that is leaving, while a cut in one direction lets it only hear the store
// reader.
func TestChangeIsKnownInTimeThoughItCannotBeFetched(t *testing.T) {
	const bound = 3 * time.Second
	run(t, func(d *testDiscovery) {
		d.controller.Board.Settings.Set(&settings.PlatformSettings{Limits: settings.Limits{EndpointDrain: bound}})
		d.controller.Client = peerfetch.NewClient(func(ctx context.Context, _, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}, nil)
		defer time.Sleep(2 * time.Second) // The last dial gives up.
		seq := uint64(0)
		hear := func(period time.Duration) {
			for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				seq++
				known := fleet.NewRegistry(map[string]string{"north-a": "north"})
				known.Replace(d.source.list(), time.Now())
				d.applyStoreReaderStatus(seq, &fleet.StoreStatus{EndpointsFingerprint: known.Fingerprint(), EndpointsAgeMillis: 100})
			}
		}
		d.source.set(endpoint("a"))
		d.source.set(endpoint("b"))
		hear(2 * time.Second)
		require.Equal(t, 2, d.usable())
		for _, id := range []string{"a", "b"} {
			leaving := endpoint(id)
			leaving.State = fleet.Draining
			d.source.set(leaving)
			before, calls := d.usable(), d.source.callCount()
			hear(time.Second)
			require.Equal(t, calls, d.source.callCount(), "a fetch may fail because a whole region fetches at once")
			hear(bound - time.Second)
			require.Equal(t, before-1, d.usable())
		}
		before := d.source.callCount()
		hear(20 * time.Second)
		require.Equal(t, before, d.source.callCount(), "the store is not called once the entries are the reader's")
	})
}

// TestOnlyChangedEntriesAreFetched guards against a region whose gateways all fetch all entries
// from one gateway at each change, and against a follower that believes changes which don't lead
// it to the entries of the store reader.
func TestOnlyChangedEntriesAreFetched(t *testing.T) {
	reader := fleet.NewRegistry(map[string]string{"north-a": "north"})
	fetched := 0
	var distort func(*fleet.EntryChanges)
	server := httptest.NewServer(peerfetch.Handler(peerfetch.Sources{
		Endpoints: func() []fleet.Endpoint {
			fetched++
			return reader.Entries(time.Now())
		},
		EndpointsSince: func(fingerprint uint64) (fleet.EntryChanges, bool) {
			changes, ok := reader.EntriesSince(fingerprint, time.Now())
			if distort != nil {
				distort(&changes)
			}
			return changes, ok
		},
	}))
	t.Cleanup(server.Close)
	c, gateway := newControllerBesideReader(t, &fakeSource{down: true}, nil)
	gateway.PeerAddress = strings.TrimPrefix(server.URL, "http://")
	c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: gateway, Seq: 2}, time.Now())
	for id := range strings.SplitSeq("abcdefghij", "") {
		e := endpoint(id)
		reader.Apply([]fleet.Entry{{ID: id, Endpoint: &e}}, time.Now())
	}
	follow := func() {
		t.Helper()
		c.StoreStatus.Set("reader", fleet.StoreStatus{EndpointsFingerprint: reader.Fingerprint(), EndpointsAgeMillis: 100}, time.Now())
		c.refresh(context.Background(), time.Now())
		require.Equal(t, reader.Fingerprint(), c.Registry.Fingerprint())
	}
	follow()
	require.Equal(t, 1, fetched)

	leaving := endpoint("a")
	leaving.State = fleet.Draining
	reader.Apply([]fleet.Entry{{ID: "a", Endpoint: &leaving}, {ID: "b", Deleted: true}}, time.Now())
	follow()
	require.Equal(t, 1, fetched, "the changes are enough")
	require.Len(t, c.Registry.Usable("s", time.Second, time.Now()), 8)

	reader.Apply([]fleet.Entry{{ID: "c", Deleted: true}}, time.Now())
	distort = func(changes *fleet.EntryChanges) { changes.Removed = nil }
	follow()
	require.Equal(t, 2, fetched, "the changes lead elsewhere")
	distort = nil

	other := endpoint("x")
	c.Registry.Apply([]fleet.Entry{{ID: "x", Endpoint: &other}}, time.Now())
	follow()
	require.Equal(t, 3, fetched, "the reader never had these entries")
}
