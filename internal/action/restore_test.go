package action_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// restoredStore is a store with gateways that use it, and a copy of it to be restored.
type restoredStore struct {
	t *testing.T
	*countingStore
	dispatcher *countingDispatcher
}

func newRestoredStore(t *testing.T) *restoredStore {
	return &restoredStore{t: t, countingStore: newCountingStore(), dispatcher: &countingDispatcher{}}
}

func (s *restoredStore) startGateway(incarnation string, d action.Dispatcher) *action.Manager {
	m := action.New(action.Config{Incarnation: incarnation, Dispatcher: d, Store: s.countingStore})
	s.t.Cleanup(func() { require.NoError(s.t, m.Stop()) })
	return m
}

var ownCall = action.Call{Customer: "c", Key: "mine", Service: "booking", Name: "confirm", Body: []byte("x")}

// requireClosed requires that the call is refused since its claim may have been lost.
func (s *restoredStore) requireClosed(m *action.Manager) {
	s.t.Helper()
	_, err := m.Do(s.t.Context(), ownCall)
	refusal := failure.AsRefusal(err)
	require.Equal(s.t, failure.CodeStoreRestored, refusal.Code)
	require.Equal(s.t, failure.Unknown, refusal.Outcome, "it may have run before the restore")
	require.NotEmpty(s.t, refusal.Ticket)
}

func (s *restoredStore) requireRan(m *action.Manager) {
	s.t.Helper()
	resp, err := m.Do(s.t.Context(), ownCall)
	require.NoError(s.t, err)
	require.Equal(s.t, failure.Ran, resp.Outcome)
	require.Equal(s.t, map[string]int{actionIDOf(s.dispatcher): 1}, s.dispatcher.runs)
}

// actionIDOf returns the id of the only action that ran.
func actionIDOf(d *countingDispatcher) string {
	for id := range d.runs {
		return id
	}
	return ""
}

// TestGatewayWritesItsClaimsAgainAfterARestore guards against keys whose outcome stays unknown
// although the gateway that ran them still runs. The lease of the first outcome has ended with
// the restore.
func TestGatewayWritesItsClaimsAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, closedMeanwhile := range []bool{false, true} {
			requireClaimsWrittenAgain(t, closedMeanwhile)
		}
	})
}

func requireClaimsWrittenAgain(t *testing.T, closedMeanwhile bool) {
	s := newRestoredStore(t)
	a, b := s.startGateway("a", s.dispatcher), s.startGateway("b", s.dispatcher)
	copied := s.kv.Dump()
	s.requireRan(a)
	synctest.Wait()
	a.WritePendingOutcomes(t.Context(), 10)
	s.kv.Restore(copied)
	if closedMeanwhile {
		s.requireClosed(b)
		s.requireClosed(b)
	}
	for range 3 {
		a.WritePendingOutcomes(t.Context(), 10)
	}
	s.requireRan(b)
	s.requireRan(a)
	calls := s.calls.Load()
	a.WritePendingOutcomes(t.Context(), 10)
	require.Equal(t, calls+1, s.calls.Load(), "only the question for the era is repeated")
}

// TestRepeatAfterAnAnswerGetsNoOldAnswer guards against a key that is answered once more from a
// record that its answer has ended.
func TestRepeatAfterAnAnswerGetsNoOldAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 500 {
			requireClaimsWrittenAgain(t, true)
		}
	})
}

// lateStore is a store that acknowledges the first outcome only when release is closed.
type lateStore struct {
	*countingStore
	written, release chan struct{}
	once             sync.Once
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	entry, err := s.countingStore.Put(ctx, key, value, opts)
	if opts.IfVersion != nil && *opts.IfVersion != 0 {
		s.once.Do(func() {
			close(s.written)
			<-s.release
		})
	}
	return entry, err
}

// TestOutcomeAcknowledgedAfterARestoreIsWrittenAgain guards against an outcome that the store
// has lost and that counts as stored, since its write is acknowledged after the restore is noted.
func TestOutcomeAcknowledgedAfterARestoreIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore(t)
		late := &lateStore{countingStore: s.countingStore, written: make(chan struct{}), release: make(chan struct{})}
		a := action.New(action.Config{Incarnation: "a", Dispatcher: s.dispatcher, Store: late})
		t.Cleanup(func() { require.NoError(t, a.Stop()) })
		b := s.startGateway("b", s.dispatcher)
		copied := s.kv.Dump()
		s.requireRan(a)
		<-late.written
		s.kv.Restore(copied)
		a.WritePendingOutcomes(t.Context(), 0)
		close(late.release)
		synctest.Wait()
		for range 3 {
			a.WritePendingOutcomes(t.Context(), 10)
		}
		s.requireRan(b)
	})
}

// TestClaimOfARunningActionOutlastsARestore restores the store while the action runs.
func TestClaimOfARunningActionOutlastsARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore(t)
		finish := make(chan struct{})
		a := s.startGateway("a", dispatchFunc(func(r action.DispatchRequest) (action.EndpointResponse, error) {
			resp, err := s.dispatcher.Dispatch(t.Context(), r)
			<-finish
			return resp, err
		}))
		b := s.startGateway("b", s.dispatcher)
		copied := s.kv.Dump()
		done := make(chan error, 1)
		go func() {
			_, err := a.Do(t.Context(), ownCall)
			done <- err
		}()
		synctest.Wait()
		s.kv.Restore(copied)
		s.requireClosed(b)
		a.WritePendingOutcomes(t.Context(), 10)
		close(finish)
		require.NoError(t, <-done)
		synctest.Wait()
		for range 3 {
			a.WritePendingOutcomes(t.Context(), 10)
		}
		s.requireRan(b)
	})
}

// TestOutcomeAskedAfterARestoreIsNotNotRun guards against "not run" for a key whose claim the
// store has lost, and against a key that runs after its outcome was asked.
func TestOutcomeAskedAfterARestoreIsNotNotRun(t *testing.T) {
	s := newRestoredStore(t)
	copied := s.kv.Dump()
	s.requireRan(s.startGateway("a", s.dispatcher))
	s.kv.Restore(copied)
	b := s.startGateway("b", s.dispatcher)
	rec, err := b.Outcome(t.Context(), action.Query{Customer: ownCall.Customer, Key: ownCall.Key})
	require.NoError(t, err)
	require.Equal(t, failure.Unknown, rec.Outcome)
	require.Equal(t, failure.CodeStoreRestored, rec.Reason)
	s.requireClosed(b)
}

// TestOwnKeysRunAgainOnceNoClaimCanBeMissing guards against a store in which no own key ever
// runs again: claims that it has lost would have ended after some time.
func TestOwnKeysRunAgainOnceNoClaimCanBeMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore(t)
		s.kv.Restore(nil)
		time.Sleep(action.DefaultLimits().StoredClaimRetention)
		a := s.startGateway("a", s.dispatcher)
		_, err := a.Do(t.Context(), action.Call{Customer: "c", Key: "other", Service: "booking", Name: "confirm"})
		require.Error(t, err, "claims share a lease for an hour")
		time.Sleep(time.Hour)
		s.requireRan(a)
	})
}
