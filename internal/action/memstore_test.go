package action_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// memStore is the key-value service of a world.
type memStore struct {
	w      *world
	mu     sync.Mutex
	until  time.Time
	items  map[string]*memItem
	leases map[string]time.Time
	calls  int
}

type memItem struct {
	entry platform.Entry
	ends  time.Time
}

// away makes the store refuse every call for d.
func (s *memStore) away(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

func (s *memStore) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until)
}

func (s *memStore) get(key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.live(key); it != nil {
		return it.entry, nil
	}
	return platform.Entry{}, &platform.NotFoundError{Key: key}
}

// live returns the item of key unless its lease has ended.
func (s *memStore) live(key string) *memItem {
	it := s.items[key]
	if it == nil || (!it.ends.IsZero() && time.Now().After(it.ends)) {
		return nil
	}
	return it
}

func (s *memStore) put(key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actual := uint64(0)
	if it := s.live(key); it != nil {
		actual = it.entry.Version
	}
	if opts.IfVersion != nil && *opts.IfVersion != actual {
		return platform.Entry{}, &platform.ConflictError{Key: key, Actual: actual}
	}
	e := platform.Entry{Key: key, Value: value, Version: actual + 1}
	s.items[key] = &memItem{entry: e, ends: s.leases[string(opts.Lease)]}
	return e, nil
}

// storeOf is the store as a node reaches it.
type storeOf struct {
	platform.Store
	n *node
}

// call runs one store call.
func (s storeOf) call(ctx context.Context, step action.Step, op string, write bool, effect func() error) error {
	st := s.n.w.store
	st.mu.Lock()
	st.calls++
	st.mu.Unlock()
	err := s.n.remote(ctx, step, func() error {
		if st.isAway() || s.n.alone() {
			return &platform.UnavailableError{Op: op}
		}
		return effect()
	})
	if _, lost := err.(*lostError); lost {
		return &platform.UnavailableError{Op: op, MaybeApplied: write, Cause: err}
	}
	return err
}

func (s storeOf) Get(ctx context.Context, key string) (e platform.Entry, err error) {
	step := action.StepClaimRead
	out := make(chan platform.Entry, 2)
	err = s.call(ctx, step, "get", false, func() error {
		e, err := s.n.w.store.get(key)
		out <- e
		return err
	})
	if err != nil {
		return e, err
	}
	return <-out, nil
}

func (s storeOf) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (e platform.Entry, err error) {
	out := make(chan platform.Entry, 2)
	err = s.call(ctx, putStep(key, opts), "put", true, func() error {
		e, err := s.n.w.store.put(key, value, opts)
		out <- e
		return err
	})
	if err != nil {
		return e, err
	}
	return <-out, nil
}

// putStep tells which step of the protocol a write is.
func putStep(key string, opts platform.PutOptions) action.Step {
	switch {
	case opts.IfVersion == nil:
		return action.StepSealStore
	case *opts.IfVersion == 0:
		return action.StepClaimWrite
	default:
		return action.StepOutcomeWrite
	}
}

func (s storeOf) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	out := make(chan platform.LeaseID, 2)
	err := s.call(ctx, "grant", "grant", true, func() error {
		out <- s.n.w.store.grant(ttl)
		return nil
	})
	if err != nil {
		return "", err
	}
	return <-out, nil
}

func (s *memStore) grant(ttl time.Duration) platform.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := platform.LeaseID(strconv.Itoa(len(s.leases) + 1))
	s.leases[string(id)] = time.Now().Add(ttl)
	return id
}

func (s storeOf) List(_ context.Context, prefix string) (out []platform.Entry, err error) {
	st := s.n.w.store
	st.mu.Lock()
	defer st.mu.Unlock()
	for key := range st.items {
		if it := st.live(key); it != nil && strings.HasPrefix(key, prefix) {
			out = append(out, it.entry)
		}
	}
	return out, nil
}

func (s storeOf) Delete(_ context.Context, key string, ifVersion *uint64) error {
	st := s.n.w.store
	st.mu.Lock()
	defer st.mu.Unlock()
	if it := st.live(key); it == nil || it.entry.Version != *ifVersion {
		return &platform.ConflictError{Key: key}
	}
	delete(st.items, key)
	return nil
}
