package memory

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const mb = 1 << 20

func open(t *testing.T, a *Account, class Class, bytes int64) *Holder {
	h := a.Open(class)
	require.NoError(t, h.Reserve(bytes))
	return h
}

// TestLimitBindsAllClasses guards against bytes of one class that are not counted against
// the others.
func TestLimitBindsAllClasses(t *testing.T) {
	a := NewAccount(100)
	for class := range classCount {
		h := open(t, a, class, 25)
		require.NoError(t, h.Complete())
	}
	require.Equal(t, Usage{InUse: 100, Limit: 100, Head: 25, Body: 25, Response: 25, Forward: 25}, a.Usage())
	err := a.Open(Body).Reserve(1)
	var exhausted *ExhaustedError
	require.ErrorAs(t, err, &exhausted)
	require.Equal(t, &ExhaustedError{Class: Body, Bytes: 1, InUse: 100, Limit: 100}, exhausted)
}

// TestSmallRequestsKeepAShare guards against a crowd of large bodies that shuts out small
// ones: a quarter of the account is left to them.
func TestSmallRequestsKeepAShare(t *testing.T) {
	a := NewAccount(8 * mb)
	for range 6 {
		require.NoError(t, open(t, a, Body, mb).Complete())
	}
	require.Error(t, a.Open(Body).Reserve(SmallBytes+1), "the share of large ones is used up")
	for range 2 * mb / SmallBytes {
		require.NoError(t, open(t, a, Body, SmallBytes).Complete())
	}
	require.Error(t, a.Open(Body).Reserve(1))
}

// TestGrowingHolderBecomesLarge guards against a large body that is read piece by piece from
// the share of small ones.
func TestGrowingHolderBecomesLarge(t *testing.T) {
	a := NewAccount(8 * mb)
	require.NoError(t, open(t, a, Body, 6*mb).Complete())
	growing := open(t, a, Body, SmallBytes)
	require.Error(t, growing.Reserve(1))
	require.Equal(t, int64(6*mb+SmallBytes), a.Usage().InUse, "a refused reservation takes nothing")
}

// TestSingleLargeRequestFits guards against refusing a request within the configured limits
// in calm, because it alone is larger than the share of large ones.
func TestSingleLargeRequestFits(t *testing.T) {
	a := NewAccount(8 * mb)
	open(t, a, Body, SmallBytes)
	h := open(t, a, Body, 7*mb)
	require.NoError(t, h.Complete())
	require.Error(t, a.Open(Body).Reserve(mb/2))
}

// TestLargestIncompleteIsEvicted checks the order of evictions, and that nothing is evicted
// for a holder that would be as large, or if that makes no room.
func TestLargestIncompleteIsEvicted(t *testing.T) {
	a := NewAccount(8 * mb)
	var evicted []string
	openNamed := func(name string, bytes int64) *Holder {
		h := open(t, a, Body, bytes)
		h.OnEvict(func() { evicted = append(evicted, name) })
		return h
	}
	smaller, larger := openNamed("smaller", 2*mb), openNamed("larger", 3*mb)
	require.NoError(t, open(t, a, Forward, mb).Complete())
	require.Error(t, a.Open(Body).Reserve(3*mb), "none is larger")
	require.Empty(t, evicted)
	require.NoError(t, a.Open(Body).Reserve(mb))
	require.Equal(t, []string{"larger"}, evicted)
	var err *EvictedError
	require.ErrorAs(t, larger.Reserve(1), &err)
	require.Equal(t, &EvictedError{Class: Body, Bytes: 3 * mb, InUse: 6 * mb, Limit: 8 * mb}, err)
	require.ErrorAs(t, larger.Complete(), &err)
	require.NoError(t, smaller.Complete())
	larger.Close()
	require.Equal(t, int64(4*mb), a.Usage().InUse, "an evicted holder gives back its bytes once")
}

// TestSmallRequestEvictsFromAFullAccount checks that small requests which fill the whole
// account don't shut out others for as long as they stay incomplete.
func TestSmallRequestEvictsFromAFullAccount(t *testing.T) {
	a := NewAccount(8 * SmallBytes)
	for range 8 {
		open(t, a, Head, SmallBytes)
	}
	h := a.Open(Head)
	require.NoError(t, h.Reserve(SmallBytes/2))
	require.Equal(t, int64(7.5*SmallBytes), a.Usage().InUse)
}

// TestCompleteHoldersStay guards against the eviction of a request that may be running, or
// of a response.
func TestCompleteHoldersStay(t *testing.T) {
	a := NewAccount(4 * mb)
	require.NoError(t, open(t, a, Body, mb).Complete())
	open(t, a, Response, 2*mb)
	require.Error(t, a.Open(Body).Reserve(mb))
}

// TestChargeExceedsTheLimit checks that a response that is there is counted, whatever the
// limit, and that others are refused for it.
func TestChargeExceedsTheLimit(t *testing.T) {
	a := NewAccount(100)
	h := a.Open(Response)
	h.Charge(150)
	require.Equal(t, int64(150), a.Usage().InUse)
	require.Error(t, a.Open(Body).Reserve(1))
	h.Close()
	h.Charge(10)
	require.Zero(t, a.Usage().InUse, "a closed holder takes nothing")
	require.ErrorIs(t, h.Reserve(1), ErrClosed)
}

// TestSetLimit checks that a lower limit evicts at the next reservation, as much as needed.
func TestSetLimit(t *testing.T) {
	a := NewAccount(0)
	for range 4 {
		open(t, a, Body, mb)
	}
	a.SetLimit(2 * mb)
	require.Equal(t, int64(4*mb), a.Usage().InUse)
	require.NoError(t, a.Open(Body).Reserve(1000))
	require.Equal(t, int64(mb+1000), a.Usage().InUse)
}

// TestOnEvictAfterTheEviction guards against a reader that is not interrupted because its
// body was evicted before it could say how.
func TestOnEvictAfterTheEviction(t *testing.T) {
	a := NewAccount(4 * mb)
	h := open(t, a, Body, 4*mb)
	require.NoError(t, a.Open(Body).Reserve(mb))
	calls := 0
	h.OnEvict(func() { calls++ })
	require.Equal(t, 1, calls)
}

// TestOnEvictMayUseTheAccount guards against a deadlock if the evicted reader's function
// closes its holder.
func TestOnEvictMayUseTheAccount(t *testing.T) {
	a := NewAccount(4 * mb)
	h := open(t, a, Body, 4*mb)
	h.OnEvict(h.Close)
	require.NoError(t, a.Open(Body).Reserve(mb))
	require.Equal(t, int64(mb), a.Usage().InUse)
}

// TestConcurrentHolders is for the race detector, and checks that nothing is left.
func TestConcurrentHolders(t *testing.T) {
	a := NewAccount(2 * mb)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := range 200 {
				h := a.Open(Class(i) % classCount)
				h.OnEvict(func() { h.Release(1) })
				for range 4 {
					if h.Reserve(int64(n*1000)) != nil {
						break
					}
				}
				_ = h.Complete()
				h.Release(100)
				h.Close()
			}
		})
	}
	wg.Wait()
	require.Equal(t, Usage{Limit: 2 * mb}, a.Usage())
}

// BenchmarkRequest measures what the account costs a request with a body and a response.
func BenchmarkRequest(b *testing.B) {
	a := NewAccount(100 * mb)
	b.ReportAllocs()
	for b.Loop() {
		body, response := a.Open(Body), a.Open(Response)
		_ = body.Reserve(2000)
		_ = body.Complete()
		_ = response.Reserve(500)
		body.Close()
		response.Close()
	}
}
