package peerlist

import (
	"context"
	"encoding/json"
	"io"
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
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/store"
)

// fakeStore holds the list of gateways. Leases end when they are not renewed.
type fakeStore struct {
	store.Store
	mu     sync.Mutex
	items  map[string]store.Item
	leases map[store.LeaseID]time.Time
	next   store.LeaseID
	down   bool
	calls  int
}

func (s *fakeStore) enter() error {
	s.calls++
	if s.down {
		return &store.UnavailableError{Op: "call", Cause: io.EOF}
	}
	for l, ends := range s.leases {
		if time.Now().After(ends) {
			s.end(l)
		}
	}
	return nil
}

func (s *fakeStore) end(l store.LeaseID) {
	delete(s.leases, l)
	for key, i := range s.items {
		if store.LeaseID(i.CreateRevision) == l {
			delete(s.items, key)
		}
	}
}

func (s *fakeStore) Range(_ context.Context, prefix, after string, _ bool) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return store.Page{}, err
	}
	var p store.Page
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, i)
		}
	}
	return p, nil
}

func (s *fakeStore) Commit(_ context.Context, t store.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return 0, err
	}
	for _, w := range t.Writes {
		s.items[w.Key] = store.Item{Key: w.Key, Value: w.Value, CreateRevision: uint64(w.Lease)}
	}
	return 1, nil
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return 0, 0, err
	}
	s.next++
	s.leases[s.next] = time.Now().Add(ttl)
	return s.next, ttl, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, l store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return err
	}
	if _, ok := s.leases[l]; !ok {
		return &store.LeaseEndedError{Lease: l}
	}
	s.leases[l] = time.Now().Add(leaseTime)
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, l store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return err
	}
	s.end(l)
	return nil
}

func (s *fakeStore) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.enter()
	return len(s.items)
}

func (s *fakeStore) set(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func run(t *testing.T, test func(c *Controller, s *fakeStore, stop func())) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{items: make(map[string]store.Item), leases: make(map[store.LeaseID]time.Time)}
		g := fleet.NewGateways(fleet.Gateway{ID: "self", Region: "north"})
		c := New(blackboard.NewEdge(&settings.Site{}), s, g, log.New(io.Discard))
		var tb tomb.Tomb
		tb.Go(func() error { return c.Run(&tb) })
		stop := func() {
			tb.Kill(nil)
			require.NoError(t, tb.Wait())
		}
		defer stop()
		test(c, s, stop)
	})
}

func TestAHubIsListedWhileItLives(t *testing.T) {
	run(t, func(c *Controller, s *fakeStore, stop func()) {
		time.Sleep(settleTime + time.Second)
		require.Equal(t, 1, s.listed())
		time.Sleep(time.Minute)
		require.Equal(t, 1, s.listed())
		s.set(func() { clear(s.items) })
		time.Sleep(lookInterval + renewInterval)
		require.Equal(t, 1, s.listed(), "taken away without a word")
		s.set(func() { s.down = true })
		time.Sleep(2 * leaseTime)
		s.set(func() { s.down = false })
		time.Sleep(2 * renewInterval)
		require.Equal(t, 1, s.listed(), "back after an outage in which the lease ended")
		c.board.Lifecycle.Set(blackboard.Draining)
		time.Sleep(time.Millisecond)
		require.Zero(t, s.listed())
		stop()
	})
}

func TestTheListNamesOthers(t *testing.T) {
	run(t, func(c *Controller, s *fakeStore, _ func()) {
		value, err := json.Marshal(fleet.Gateway{ID: "other", Region: "south", HeartbeatAddress: "10.0.0.1:1"})
		require.NoError(t, err)
		s.set(func() {
			s.items[prefix+"other"] = store.Item{Key: prefix + "other", Value: value}
			s.items[prefix+"broken"] = store.Item{Key: prefix + "broken", Value: []byte("{")}
		})
		time.Sleep(searchInterval + time.Millisecond)
		require.Equal(t, []string{"south"}, c.gateways.Regions())
	})
}

// TestOthersThanHubsAreNotListed checks that most gateways cost the store
// little more than a look now and then.
func TestOthersThanHubsAreNotListed(t *testing.T) {
	run(t, func(c *Controller, s *fakeStore, _ func()) {
		for i := range 600 {
			for _, id := range []string{"a", "b"} {
				g := fleet.Gateway{ID: id, Incarnation: "1", Region: "north", MachineCapacity: 9}
				c.gateways.ApplyStatus(fleet.GatewayStatus{Gateway: g, Seq: uint64(i + 1)}, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.set(func() {
			require.Empty(t, s.items)
			require.LessOrEqual(t, s.calls, int(time.Minute/lookInterval)+3)
		})
	})
}
