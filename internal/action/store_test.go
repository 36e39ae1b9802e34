package action_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
)

// countingStore is an in-memory store without network or faults that counts its
// calls.
type countingStore struct {
	platform.Store
	kv    *kv.Store
	calls atomic.Int64
}

func newCountingStore() *countingStore { return &countingStore{kv: kv.NewStore()} }

func (s *countingStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.calls.Add(1)
	return s.kv.Get(key)
}

func (s *countingStore) Put(_ context.Context, key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	s.calls.Add(1)
	return s.kv.Put(key, value, opts)
}

func (s *countingStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	s.calls.Add(1)
	return s.kv.Grant(ttl), nil
}

func (s *countingStore) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	s.calls.Add(1)
	return s.kv.List(prefix), nil
}

func (s *countingStore) Delete(_ context.Context, key string, opts platform.DeleteOptions) error {
	s.calls.Add(1)
	return s.kv.Delete(key, opts)
}

func (s *countingStore) Era() platform.Era { return s.kv.Era() }

// nodeStore is a node's connection to the cluster's store.
type nodeStore struct {
	*countingStore
	n *node
}

// storeCall runs one store call and injects the fault of its step, if any.
func storeCall[T any](ctx context.Context, s nodeStore, step action.Step, write bool, effect func() (T, error)) (out T, err error) {
	results := make(chan T, 2)
	eras := make(chan platform.Era, 2)
	err = s.n.callRemote(ctx, step, func() error {
		if s.n.cluster.isStoreDown() || s.n.isUnreachable() {
			return &platform.UnavailableError{Op: string(step)}
		}
		v, err := effect()
		eras <- s.countingStore.Era()
		results <- v
		return err
	})
	if _, lost := err.(*lostError); lost {
		return out, &platform.UnavailableError{Op: string(step), MaybeApplied: write, Cause: err}
	}
	select {
	case era := <-eras:
		s.n.learnEra(era)
	default:
	}
	if err != nil {
		return out, err
	}
	return <-results, nil
}

// learnEra records the era that a response has named.
func (n *node) learnEra(era platform.Era) {
	n.withLock(func() {
		if era.Number > n.era.Number {
			n.era = era
		}
	})
}

// Era returns the era that the node's last call has seen.
func (s nodeStore) Era() (era platform.Era) {
	s.n.withLock(func() { era = s.n.era })
	return era
}

func (s nodeStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	return storeCall(ctx, s, action.StepClaimRead, false, func() (platform.Entry, error) {
		return s.countingStore.Get(ctx, key)
	})
}

func (s nodeStore) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	return storeCall(ctx, s, putStep(opts), true, func() (platform.Entry, error) {
		return s.countingStore.Put(ctx, key, value, opts)
	})
}

// putStep returns the step of the protocol to which a write belongs.
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

// grantStep is the grant of a lease. It is not one of action.Steps, since a
// claim is written even if no lease is granted.
const grantStep action.Step = "grant"

func (s nodeStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return storeCall(ctx, s, grantStep, true, func() (platform.LeaseID, error) {
		return s.countingStore.Grant(ctx, ttl)
	})
}
