package memory

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelHolder is a holder with what is known of it from outside.
type modelHolder struct {
	*Holder
	held               int64
	incomplete, closed bool
	evictions          int
}

// TestAccountKeepsItsBooks drives an account with random operations, and checks after each
// one that it holds what its holders hold, that the limit and the share of large holders
// are kept, that only incomplete holders larger than the asking one are evicted, and in the
// end that nothing is left.
func TestAccountKeepsItsBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 40).Draw(t, "limit") * SmallBytes
		a := NewAccount(limit)
		var all []*modelHolder
		pick := func(t *rapid.T) *modelHolder {
			if len(all) == 0 {
				all = append(all, &modelHolder{Holder: a.Open(Response)})
			}
			return rapid.SampledFrom(all).Draw(t, "holder")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				class := Class(rapid.IntRange(0, int(classCount)-1).Draw(t, "class"))
				m := &modelHolder{Holder: a.Open(class), incomplete: class != Response}
				m.OnEvict(func() { m.evictions++ })
				all = append(all, m)
			},
			"reserve": func(t *rapid.T) { checkReserve(t, all, pick(t)) },
			"release": func(t *rapid.T) {
				m, n := pick(t), rapid.Int64Range(0, SmallBytes).Draw(t, "bytes")
				m.Release(n)
				m.held -= min(n, m.held)
			},
			"complete": func(t *rapid.T) {
				m := pick(t)
				require.Equal(t, m.closed, m.Complete() != nil)
				m.incomplete = false
			},
			"close": func(t *rapid.T) {
				m := pick(t)
				m.Close()
				m.held, m.incomplete, m.closed = 0, false, true
			},
			"": func(t *rapid.T) { checkBooks(t, a, all) },
		})
		for _, m := range all {
			m.Close()
		}
		require.Equal(t, Usage{Limit: limit}, a.Usage())
	})
}

// checkReserve reserves for m and updates the model of all holders.
func checkReserve(t *rapid.T, all []*modelHolder, m *modelHolder) {
	n := rapid.Int64Range(1, 4*SmallBytes).Draw(t, "bytes")
	want := m.held + n
	err := m.Reserve(n)
	largestLeft := int64(0)
	var evicted []*modelHolder
	for _, o := range all {
		if o.evictions > 0 && !o.closed {
			evicted = append(evicted, o)
			require.True(t, o.incomplete, "a complete holder was evicted")
			require.Greater(t, o.held, want, "a holder was evicted that is not larger")
			require.Equal(t, 1, o.evictions)
		} else if o.incomplete && o != m {
			largestLeft = max(largestLeft, o.held)
		}
	}
	for _, o := range evicted {
		require.GreaterOrEqual(t, o.held, largestLeft, "a larger one was left")
		o.held, o.incomplete, o.closed = 0, false, true
	}
	var exhausted *ExhaustedError
	switch {
	case err == nil:
		require.False(t, m.closed)
		m.held += n
	case errors.As(err, &exhausted):
		require.LessOrEqual(t, largestLeft, want, "refused although a larger one could have been evicted")
	default:
		require.True(t, m.closed)
	}
}

// checkBooks compares an account with the model of its holders.
func checkBooks(t *rapid.T, a *Account, all []*modelHolder) {
	var inUse, large int64
	var byClass [classCount]int64
	larges := 0
	for _, m := range all {
		inUse += m.held
		byClass[m.class] += m.held
		if m.held > SmallBytes {
			large += m.held
			larges++
		}
	}
	u := a.Usage()
	require.Equal(t, inUse, u.InUse)
	require.Equal(t, byClass, [classCount]int64{u.Head, u.Body, u.Response, u.Forward})
	require.LessOrEqual(t, inUse, u.Limit)
	if larges > 1 {
		require.LessOrEqual(t, large, u.Limit-u.Limit/smallShare)
	}
}
