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

// fakeStore holds the list of gateways. Leases that are not renewed expire.
type fakeStore struct {
	store.Store
	mu          sync.Mutex
	items       map[string]store.Item
	leases      map[store.LeaseID]time.Time
	lastLease   store.LeaseID
	unavailable bool
	calls       int
}

func (s *fakeStore) countCall() error {
	s.calls++
	if s.unavailable {
		return &store.UnavailableError{Op: "call", Cause: io.EOF}
	}
	for l, ends := range s.leases {
		if time.Now().After(ends) {
			s.endLease(l)
		}
	}
	return nil
}

func (s *fakeStore) endLease(l store.LeaseID) {
	delete(s.leases, l)
	for key, i := range s.items {
		if i.CreateRevision.Number == l.Number {
			delete(s.items, key)
		}
	}
}

func (s *fakeStore) Range(_ context.Context, prefix, after string, _ bool) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall(); err != nil {
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

func (s *fakeStore) Commit(_ context.Context, t store.Txn) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall(); err != nil {
		return store.Revision{}, err
	}
	for _, w := range t.Writes {
		s.items[w.Key] = store.Item{Key: w.Key, Value: w.Value, CreateRevision: store.Revision{Number: w.Lease.Number}}
	}
	return store.Revision{Number: 1}, nil
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall(); err != nil {
		return store.LeaseID{}, 0, err
	}
	s.lastLease.Number++
	s.leases[s.lastLease] = time.Now().Add(ttl)
	return s.lastLease, ttl, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, l store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall(); err != nil {
		return err
	}
	if _, ok := s.leases[l]; !ok {
		return &store.LeaseEndedError{Lease: l}
	}
	s.leases[l] = time.Now().Add(leaseTTL)
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, l store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall(); err != nil {
		return err
	}
	s.endLease(l)
	return nil
}

func (s *fakeStore) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.countCall()
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
		g := fleet.NewGateways(fleet.Gateway{ID: "self", Region: "north"}, time.Now())
		c := New(blackboard.NewEdge(&settings.PlatformSettings{}), s, g, log.New(io.Discard))
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

func TestHubStaysListedWhileItRuns(t *testing.T) {
	run(t, func(c *Controller, s *fakeStore, stop func()) {
		time.Sleep(listingDelay + time.Second)
		require.Equal(t, 1, s.listed())
		time.Sleep(time.Minute)
		require.Equal(t, 1, s.listed())
		s.set(func() { clear(s.items) })
		time.Sleep(readListInterval + renewInterval)
		require.Equal(t, 1, s.listed(), "a deleted entry is written again")
		s.set(func() { s.unavailable = true })
		time.Sleep(2 * leaseTTL)
		s.set(func() { s.unavailable = false })
		time.Sleep(2 * renewInterval)
		require.Equal(t, 1, s.listed(), "the entry is written again after an outage in which the lease expired")
		c.board.Lifecycle.Set(blackboard.Draining)
		time.Sleep(time.Millisecond)
		require.Zero(t, s.listed())
		stop()
	})
}

func TestListedGatewaysBecomeKnown(t *testing.T) {
	run(t, func(c *Controller, s *fakeStore, _ func()) {
		value, err := json.Marshal(fleet.Gateway{ID: "other", Region: "south", HeartbeatAddress: "10.0.0.1:1"})
		require.NoError(t, err)
		s.set(func() {
			s.items[keyPrefix+"other"] = store.Item{Key: keyPrefix + "other", Value: value}
			s.items[keyPrefix+"broken"] = store.Item{Key: keyPrefix + "broken", Value: []byte("{")}
		})
		time.Sleep(searchInterval + time.Millisecond)
		require.Equal(t, []string{"south"}, c.gateways.Regions())
	})
}

// TestOnlyHubsAreListed checks that a gateway that is no hub writes no entry and
// calls the store for little more than the periodic reads of the list.
func TestOnlyHubsAreListed(t *testing.T) {
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
			require.LessOrEqual(t, s.calls, int(time.Minute/readListInterval)+3)
		})
	})
}
