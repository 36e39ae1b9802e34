package routesync

import (
	"context"
	"io"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/standin/adoptions"
	"github.com/hickorystage/hickorystage/internal/store"
)

// fakeSource is a store of what operators wrote. It can be unavailable, leave
// watches without a response, and compact its changes.
type fakeSource struct {
	mu              sync.Mutex
	version         uint64
	evacuated       map[string]bool
	era, revision   uint64
	changes         []Change
	compactedBefore uint64
	changed         chan struct{}
	down            bool
	silent          bool
	// staleVersion is the older version that Read returns; 0 for the current one.
	staleVersion uint64
	calls        int
}

func newFakeSource() *fakeSource {
	return &fakeSource{evacuated: make(map[string]bool), revision: 1, changed: make(chan struct{})}
}

func table(version uint64) *route.Table {
	t := route.NewTable(version, nil, nil, route.Limits{})
	t.Raw = []byte(strconv.FormatUint(version, 10))
	return t
}

func (s *fakeSource) addChange(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, c)
	if c.Routes != nil {
		s.version = c.Routes.Version
	} else {
		s.evacuated[c.DataCentre] = c.Evacuate
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) set(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *fakeSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeSource) Read(context.Context) ([]Change, store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, store.Revision{}, &store.UnavailableError{Op: "read", Cause: io.EOF}
	}
	var out []Change
	version := s.version
	if s.staleVersion > 0 {
		version = s.staleVersion
	}
	if version > 0 {
		out = append(out, Change{Routes: table(version)})
	}
	for dc, on := range s.evacuated {
		if on {
			out = append(out, Change{DataCentre: dc, Evacuate: true})
		}
	}
	return out, store.Revision{Era: s.era, Number: s.revision}, nil
}

func (s *fakeSource) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]Change, store.Revision, error) {
	s.mu.Lock()
	s.calls++
	down, silent, changed := s.down, s.silent, s.changed
	if !down && !silent && after.Number < s.revision {
		defer s.mu.Unlock()
		if after.Number < s.compactedBefore {
			return nil, store.Revision{}, &store.CompactedError{After: after}
		}
		n := int(s.revision - after.Number)
		return s.changes[len(s.changes)-n:], store.Revision{Era: s.era, Number: s.revision}, nil
	}
	s.mu.Unlock()
	if down {
		return nil, store.Revision{}, &store.UnavailableError{Op: "watch", Cause: io.EOF}
	}
	if silent {
		changed = nil
	}
	select {
	case <-changed:
		return s.Watch(ctx, after, 0)
	case <-time.After(wait):
		if silent {
			return nil, store.Revision{}, &store.UnavailableError{Op: "watch", Cause: context.DeadlineExceeded}
		}
		return nil, after, nil
	case <-ctx.Done():
		return nil, store.Revision{}, ctx.Err()
	}
}

func (s *fakeSource) ReadConfig(ctx context.Context) ([]Change, store.Revision, error) {
	changes, revision, err := s.Read(ctx)
	return slices.DeleteFunc(changes, func(c Change) bool { return c.Routes == nil }), revision, err
}

func (s *fakeSource) Decode(raw []byte) (*route.Table, error) {
	n, err := strconv.ParseUint(string(raw), 10, 64)
	return table(n), err
}

// sinceClock is a freshness.Clock that starts at a time.
type sinceClock struct{ start time.Time }

func (c sinceClock) Now() freshness.Instant { return freshness.Instant(time.Since(c.start)) }

func newController(t adoptions.Reporter, s Source) *Controller {
	return New(Config{
		Board:       blackboard.NewEdge(&settings.PlatformSettings{}),
		Gateways:    fleet.NewGateways(fleet.Gateway{ID: "self", Region: "north"}, time.Now()),
		StoreStatus: fleet.NewLatestStoreStatus(),
		Source:      s,
		Client:      peerfetch.NewClient(nil, nil),
		Proofs:      freshness.NewTracker(RewriteTime),
		Clock:       sinceClock{time.Now()},
		Logger:      log.New(adoptions.Watch(t, "gateway", io.Discard)),
	})
}

func run(t *testing.T, test func(c *Controller, s *fakeSource)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSource()
		c := newController(t, s)
		var tb tomb.Tomb
		tb.Go(func() error { return c.Run(&tb) })
		test(c, s)
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
}

func version(c *Controller) uint64 {
	if r := c.Board.Routes.Get(); r != nil {
		return r.Version
	}
	return 0
}

func TestChangesApplyAtOnce(t *testing.T) {
	run(t, func(c *Controller, s *fakeSource) {
		s.addChange(Change{Routes: table(7)})
		time.Sleep(time.Second)
		require.Equal(t, uint64(7), version(c))
		s.addChange(Change{Routes: table(9)})
		s.addChange(Change{DataCentre: "north-a", Evacuate: true})
		time.Sleep(time.Millisecond)
		require.Equal(t, uint64(9), version(c))
		require.Equal(t, map[string]bool{"north-a": true}, c.Board.Evacuated.Get())
		s.addChange(Change{DataCentre: "north-a"})
		time.Sleep(time.Millisecond)
		require.Empty(t, c.Board.Evacuated.Get())
		before := s.callCount()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, s.callCount()-before, int(time.Minute/watchWait)+1)
	})
}

func TestEvacuationsAreKnownAsOfTheLastRead(t *testing.T) {
	run(t, func(c *Controller, s *fakeSource) {
		age := func() time.Duration { return time.Since(c.Board.EvacuatedKnownAt.Get()) }
		s.addChange(Change{Routes: table(7)})
		for range 10 {
			time.Sleep(time.Second)
			require.LessOrEqual(t, age(), watchWait)
		}
		s.set(func() { s.down = true })
		time.Sleep(10 * time.Second)
		require.Greater(t, age(), 8*time.Second)
		reader := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9, PeerAddress: "127.0.0.1:1"}
		c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: reader, Seq: 1}, time.Now())
		status := fleet.StoreStatus{ConfigVersion: 9, Evacuated: []string{"north-a"}, OperatorsAgeMillis: 300}
		c.StoreStatus.Set("nobody", status, time.Now())
		time.Sleep(time.Second)
		require.LessOrEqual(t, age(), 1300*time.Millisecond, "as of the store reader's last read")
		require.Equal(t, map[string]bool{"north-a": true}, c.Board.Evacuated.Get(), "though the configuration can't be fetched")
	})
}

// TestOlderStatusTakesNoEvacuationBack covers a gateway that learned of an evacuation by
// itself, then hears what the store reader had read before.
func TestOlderStatusTakesNoEvacuationBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(t, newFakeSource())
		c.adopt(table(7))
		c.setEvacuated(map[string]bool{"north-a": true}, time.Now())
		follow := func(age time.Duration) {
			c.StoreStatus.Set("reader", fleet.StoreStatus{ConfigVersion: 7, OperatorsAgeMillis: age.Milliseconds()}, time.Now())
			status, from, _, _ := c.StoreStatus.Get()
			c.followStoreReader(status, from)
		}
		time.Sleep(100 * time.Millisecond)
		follow(200 * time.Millisecond)
		require.Equal(t, map[string]bool{"north-a": true}, c.Board.Evacuated.Get())
		follow(50 * time.Millisecond)
		require.Empty(t, c.Board.Evacuated.Get())
	})
}

// TestInvalidAndOlderVersionsAreRejected checks that an undecodable and an older
// version leave the current one in force.
func TestInvalidAndOlderVersionsAreRejected(t *testing.T) {
	run(t, func(c *Controller, s *fakeSource) {
		s.addChange(Change{Routes: table(7)})
		time.Sleep(time.Second)
		c.apply(Change{Err: io.ErrUnexpectedEOF})
		c.apply(Change{Routes: table(6)})
		require.Equal(t, uint64(7), version(c))
	})
}

// TestChangesApplySoonAfterStoreFaults checks that a change is in force within 3 s
// after the store is able to return it.
func TestChangesApplySoonAfterStoreFaults(t *testing.T) {
	faults := map[string]struct{ begin, end func(s *fakeSource) }{
		"down":      {func(s *fakeSource) { s.down = true }, func(s *fakeSource) { s.down = false }},
		"silent":    {func(s *fakeSource) { s.silent = true }, func(s *fakeSource) { s.silent = false }},
		"compacted": {func(*fakeSource) {}, func(s *fakeSource) { s.compactedBefore = s.revision }},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, func(c *Controller, s *fakeSource) {
				s.addChange(Change{Routes: table(7)})
				time.Sleep(time.Second)
				s.set(func() { fault.begin(s) })
				time.Sleep(5 * time.Second)
				s.addChange(Change{Routes: table(8)})
				s.set(func() { fault.end(s) })
				time.Sleep(3 * time.Second)
				require.Equal(t, uint64(8), version(c))
				require.True(t, c.Board.StoreUnreachableSince.Get().IsZero())
			})
		})
	}
}

// TestVersionsNeverGoBack checks that the version in force never decreases while
// reads are stale, watches fail, and peers offer older and newer versions.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newFakeSource()
		c := newController(t, s)
		highest, seen := uint64(0), uint64(0)
		for range 60 {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				highest++
				s.addChange(Change{Routes: table(highest)})
			case 1:
				s.staleVersion = uint64(rapid.IntRange(0, int(highest)).Draw(rt, "stale"))
			case 2:
				c.watchFrom = store.Revision{}
			case 3:
				s.compactedBefore = s.revision
			case 4:
				c.adopt(table(uint64(rapid.IntRange(1, int(highest)+1).Draw(rt, "told"))))
			case 5:
				s.down = !s.down
			}
			before := s.revision
			if c.watchFrom.IsZero() || c.watchFrom.Number < before {
				_ = c.refresh(context.Background(), time.Now())
			}
			require.GreaterOrEqual(rt, version(c), seen)
			seen = version(c)
		}
	})
}

// TestStoreIsNotWatchedWhileThePeerWatchesIt checks that a gateway that is not the
// store reader makes no calls while the status of the store reader is fresh.
func TestStoreIsNotWatchedWhileThePeerWatchesIt(t *testing.T) {
	var mu sync.Mutex
	fetchedVersion := uint64(7)
	server := httptest.NewServer(peerfetch.Handler(peerfetch.Sources{
		Endpoints: func() []fleet.Endpoint { return nil },
		Routes: func() []byte {
			mu.Lock()
			defer mu.Unlock()
			return []byte(strconv.FormatUint(fetchedVersion, 10))
		},
	}))
	defer server.Close()
	s := newFakeSource()
	s.down = true
	c := newController(t, s)
	gateway := fleet.Gateway{ID: "reader", Incarnation: "1", Region: "north", MachineCapacity: 9, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	applyStatus := func(seq, routes uint64, evacuated ...string) {
		c.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: gateway, Seq: seq}, time.Now())
		c.StoreStatus.Set("reader", fleet.StoreStatus{ConfigVersion: routes, Evacuated: evacuated}, time.Now())
	}
	var tb tomb.Tomb
	applyStatus(1, 7)
	tb.Go(func() error { return c.Run(&tb) })
	require.Eventually(t, func() bool { return version(c) == 7 }, 2*time.Second, time.Millisecond)
	mu.Lock()
	fetchedVersion = 8
	mu.Unlock()
	applyStatus(2, 8, "north-a")
	require.Eventually(t, func() bool { return version(c) == 8 && c.Board.Evacuated.Get()["north-a"] }, time.Second, time.Millisecond)
	require.Zero(t, s.callCount())
	require.Eventually(t, func() bool { return s.callCount() > 0 }, 2*fleet.StaleAfter(0), 10*time.Millisecond, "the store is called once the status is stale")
	tb.Kill(nil)
	require.NoError(t, tb.Wait())
}
