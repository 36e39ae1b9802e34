package action_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
)

// countedStore is the stand-in's store without network or faults.
type countedStore struct {
	platform.Store
	kv    *kv.Store
	calls atomic.Int64
}

func newCountedStore() *countedStore { return &countedStore{kv: kv.NewStore()} }

func (s *countedStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.calls.Add(1)
	return s.kv.Get(key)
}

func (s *countedStore) Put(_ context.Context, key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	s.calls.Add(1)
	return s.kv.Put(key, value, opts)
}

func (s *countedStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	s.calls.Add(1)
	return s.kv.Grant(ttl), nil
}

func (s *countedStore) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	s.calls.Add(1)
	return s.kv.List(prefix), nil
}

func (s *countedStore) Delete(_ context.Context, key string, ifVersion *uint64) error {
	s.calls.Add(1)
	return s.kv.Delete(key, ifVersion)
}

// storeOf is the world's store as a node reaches it.
type storeOf struct {
	*countedStore
	n *node
}

// storeCall runs one store call with its faults.
func storeCall[T any](ctx context.Context, s storeOf, step action.Step, write bool, effect func() (T, error)) (out T, err error) {
	results := make(chan T, 2)
	err = s.n.remote(ctx, step, func() error {
		if s.n.w.storeIsAway() || s.n.alone() {
			return &platform.UnavailableError{Op: string(step)}
		}
		v, err := effect()
		results <- v
		return err
	})
	if _, lost := err.(*lostError); lost {
		return out, &platform.UnavailableError{Op: string(step), MaybeApplied: write, Cause: err}
	}
	if err != nil {
		return out, err
	}
	return <-results, nil
}

func (s storeOf) Get(ctx context.Context, key string) (platform.Entry, error) {
	return storeCall(ctx, s, action.StepClaimRead, false, func() (platform.Entry, error) {
		return s.countedStore.Get(ctx, key)
	})
}

func (s storeOf) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	return storeCall(ctx, s, putStep(opts), true, func() (platform.Entry, error) {
		return s.countedStore.Put(ctx, key, value, opts)
	})
}

// putStep tells which step of the protocol a write is.
func putStep(opts platform.PutOptions) action.Step {
	switch {
	case opts.IfVersion == nil:
		return action.StepSealStore
	case *opts.IfVersion == 0:
		return action.StepClaimWrite
	default:
		return action.StepOutcomeWrite
	}
}

// grantStep is the grant of a lease; it is not a step of its own, since a
// claim goes on without.
const grantStep action.Step = "grant"

func (s storeOf) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return storeCall(ctx, s, grantStep, true, func() (platform.LeaseID, error) {
		return s.countedStore.Grant(ctx, ttl)
	})
}
