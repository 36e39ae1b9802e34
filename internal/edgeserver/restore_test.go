package edgeserver_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/platform"
	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// pausableStore holds calls back while pause is locked, as happens to a process that
// stands still: none of them fails.
type pausableStore struct {
	store.Store
	pause *sync.RWMutex
}

func (s *pausableStore) Range(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
	s.pause.RLock()
	defer s.pause.RUnlock()
	return s.Store.Range(ctx, prefix, after, stale)
}

func (s *pausableStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	s.pause.RLock()
	defer s.pause.RUnlock()
	return s.Store.KeepAlive(ctx, lease)
}

func (s *pausableStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	s.pause.RLock()
	defer s.pause.RUnlock()
	return s.Store.Watch(ctx, prefix, after, wait)
}

// newRestoredSystem starts a system of one gateway and two endpoints, and makes a copy of
// its store. The second endpoint begins to serve the path after that.
func newRestoredSystem(t *testing.T) (s *system, copied platformtest.Copy) {
	s = newSystem(t)
	e := s.startEndpoint("i-1", "app", "north-a")
	s.setRoute("/q/", "app")
	g := s.startGateway("n1", "north-a")
	s.eventually(startupLimit, "serves", func() bool { return g.ready() && g.call("/q/x") == http.StatusOK })
	copied = s.store.Copy()
	s.writeHeartbeats(e, 50)
	return s, copied
}

// writeHeartbeats moves the store's revision on.
func (s *system) writeHeartbeats(e *platformtest.FakeEndpoint, n int) {
	for range n {
		require.NoError(s.t, e.WriteHeartbeat())
	}
}

// restoreUnnoticed restores the store while no call of a gateway is under way. written
// writes again what the operator and the endpoints had written.
func (s *system) restoreUnnoticed(copied platformtest.Copy, written func()) {
	// The gateways read what was written since the copy.
	time.Sleep(1500 * time.Millisecond)
	s.pause.Lock()
	defer s.pause.Unlock()
	s.store.Restore(copied)
	written()
	s.writeHeartbeats(s.endpoints["i-1"], 100)
}

// TestChangeIsInForceAfterUnnoticedRestore guards against a watch that goes on from a
// revision of the time before the store was restored.
func TestChangeIsInForceAfterUnnoticedRestore(t *testing.T) {
	t.Parallel()
	s, copied := newRestoredSystem(t)
	s.restoreUnnoticed(copied, func() { s.setRoute("/new/", "app") })
	s.eventually(3*time.Second, "the change is in force", func() bool { return s.gateways["n1"].call("/new/x") == http.StatusOK })
}

// TestEndpointsAreFollowedAfterUnnoticedRestore is the same for the endpoints' entries.
func TestEndpointsAreFollowedAfterUnnoticedRestore(t *testing.T) {
	t.Parallel()
	s, copied := newRestoredSystem(t)
	g := s.gateways["n1"]
	var added *platformtest.FakeEndpoint
	s.restoreUnnoticed(copied, func() {
		added = s.startEndpoint("i-2", "app", "north-a")
		s.endpoints["i-1"].SetEntryField("state", "draining")
	})
	s.eventually(3*time.Second, "the new endpoint serves", func() bool {
		return g.call("/q/x") == http.StatusOK && len(added.Executions()) > 0
	})
	before := len(s.endpoints["i-1"].Executions())
	for range 20 {
		require.Equal(t, http.StatusOK, g.call("/q/x"))
	}
	require.Len(t, s.endpoints["i-1"].Executions(), before, "the leaving endpoint gets no requests")
}

// TestEvacuationOutlastsRestore guards against an evacuation that the restored copy lacks
// and that ends until the operator has written it again.
func TestEvacuationOutlastsRestore(t *testing.T) {
	t.Parallel()
	s, copied := newRestoredSystem(t)
	g := s.gateways["n1"]
	s.store.StartEvacuation("north-a")
	s.eventually(3*time.Second, "the evacuation is in force", func() bool { return g.call("/q/x") == http.StatusServiceUnavailable })
	s.restoreUnnoticed(copied, func() {})
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		require.Equal(t, http.StatusServiceUnavailable, g.call("/q/x"))
		time.Sleep(20 * time.Millisecond)
	}
	s.store.StartEvacuation("north-a")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		require.Equal(t, http.StatusServiceUnavailable, g.call("/q/x"))
		time.Sleep(20 * time.Millisecond)
	}
	s.store.EndEvacuation("north-a")
	s.eventually(5*time.Second, "the evacuation ends", func() bool { return g.call("/q/x") == http.StatusOK })
}

// TestGoneEndpointStaysGoneAfterRestore guards against the entry of a gone endpoint that
// comes back with the restored copy.
func TestGoneEndpointStaysGoneAfterRestore(t *testing.T) {
	t.Parallel()
	s, _ := newRestoredSystem(t)
	g := s.gateways["n1"]
	gone := s.startEndpoint("i-2", "app", "north-a")
	s.eventually(3*time.Second, "the endpoint serves", func() bool {
		return g.call("/q/x") == http.StatusOK && len(gone.Executions()) > 0
	})
	copied := s.store.Copy()
	gone.Deregister()
	s.eventually(3*time.Second, "the endpoint gets no requests", func() bool {
		before := len(gone.Executions())
		for range 10 {
			g.call("/q/x")
		}
		return len(gone.Executions()) == before
	})
	before := len(gone.Executions())
	s.restoreUnnoticed(copied, func() {})
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		require.Equal(t, http.StatusOK, g.call("/q/x"))
		time.Sleep(10 * time.Millisecond)
	}
	require.Len(t, gone.Executions(), before)
	require.NoError(t, gone.WriteHeartbeat())
	s.eventually(3*time.Second, "an endpoint that writes again is used", func() bool {
		g.call("/q/x")
		return len(gone.Executions()) > before
	})
}

// TestGatewayEntriesAreWrittenAgainAfterRestore guards against a gateway that renews a lease
// which the restored store has lost or given to another one.
func TestGatewayEntriesAreWrittenAgainAfterRestore(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.startEndpoint("i-1", "app", "north-a")
	s.setRoute("/q/", "app")
	copied := s.store.Copy()
	s.startGateway("n1", "north-a")
	s.startGateway("n2", "north-a")
	const prefix = "hickorystage/gateways/"
	listed := func() bool { return slices.Equal(s.store.Keys(prefix), []string{prefix + "n1", prefix + "n2"}) }
	s.eventually(startupLimit, "the entries are written", listed)
	s.restoreUnnoticed(copied, func() {
		other := platform.NewStore(s.storeAddress, platform.StoreOptions{})
		for id := range 2 {
			lease, _, err := other.Grant(t.Context(), time.Hour)
			require.NoError(t, err)
			require.EqualValues(t, 1+id, lease.Number, "the leases are given out again")
		}
	})
	s.eventually(5*time.Second, "the entries are written again", listed)
}
