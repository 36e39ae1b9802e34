package connlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

// add adds a connection that must be admitted without an eviction.
func add(t *testing.T, table *Table, group Group, second int) *Conn {
	c, evicted := table.Add(group, at(second), at(-100))
	require.NotNil(t, c)
	require.Empty(t, evicted)
	return c
}

// TestLongestReceivingIsEvicted guards against closing a connection whose request is being
// answered, or a fresh one in place of a stalled one.
func TestLongestReceivingIsEvicted(t *testing.T) {
	table := NewTable(4)
	answered := add(t, table, Callers, 0)
	stalled := add(t, table, Internal, 1)
	again := add(t, table, Internal, 2)
	table.Answering(answered)
	table.Answering(again)
	table.Receiving(stalled, at(3))
	table.Receiving(again, at(4))
	add(t, table, Callers, 5)

	c, evicted := table.Add(Callers, at(6), at(-100))
	require.NotNil(t, c)
	require.Equal(t, []*Conn{stalled}, evicted, "receiving since 1, also after more bytes")
	_, evicted = table.Add(Internal, at(7), at(-100))
	require.Equal(t, []*Conn{again}, evicted, "the second head began at 4")
	require.Equal(t, 4, table.Open())
	require.False(t, table.Remove(stalled), "evicted connections are removed once")
}

// TestRefusedAtTheLimit checks that nothing is closed if all connections are answered or
// idle, but for those that their clients don't use again.
func TestRefusedAtTheLimit(t *testing.T) {
	table := NewTable(4)
	var conns []*Conn
	for n := range 3 {
		conns = append(conns, add(t, table, Callers, n))
		table.Answering(conns[n])
	}
	c, evicted := table.Add(Callers, at(4), at(-100))
	require.Nil(t, c, "callers take at most three quarters")
	require.Empty(t, evicted)
	table.Answering(add(t, table, Internal, 5))
	table.Idle(conns[1], at(6))
	c, _ = table.Add(Internal, at(16), at(5))
	require.Nil(t, c, "an idle connection that may be used again stays")
	c, evicted = table.Add(Internal, at(16), at(6))
	require.NotNil(t, c)
	require.Equal(t, []*Conn{conns[1]}, evicted)
}

// TestLowerLimitMakesRoom checks that a lower limit is reached with the next connection, and
// that removed connections make room.
func TestLowerLimitMakesRoom(t *testing.T) {
	table := NewTable(0)
	var conns []*Conn
	for n := range 20 {
		conns = append(conns, add(t, table, Callers, n))
	}
	table.SetLimit(8)
	_, evicted := table.Add(Callers, at(30), at(0))
	require.Equal(t, conns[:15], evicted, "six of eight are for callers")
	require.True(t, table.Remove(conns[19]))
	add(t, table, Callers, 31)
	require.Equal(t, 6, table.Open())
}

// TestRequestsTakeASecondPlace guards against requests that leave no descriptor for their
// connections to endpoints: beginning one makes room, or is refused.
func TestRequestsTakeASecondPlace(t *testing.T) {
	table := NewTable(8)
	first, second, third := add(t, table, Callers, 0), add(t, table, Callers, 1), add(t, table, Callers, 2)
	begin := func(c *Conn, hasBody, want bool, wantEvicted ...*Conn) {
		evicted, ok := table.Begin(c, hasBody, at(3), at(-100))
		require.Equal(t, want, ok)
		require.Equal(t, wantEvicted, evicted)
	}
	begin(first, false, true)
	begin(third, true, true)
	require.Equal(t, 5, table.Taken())
	fourth := add(t, table, Callers, 4)
	begin(fourth, false, true, second)
	require.Equal(t, 6, table.Taken())
	table.Answering(third)
	table.End(first)
	table.Idle(first, at(5))
	fifth := add(t, table, Callers, 6)
	begin(fifth, false, false)
	table.End(fifth)
	require.Equal(t, 6, table.Taken())

	// A body is unfinished since its head began.
	table = NewTable(8)
	older, newer := add(t, table, Callers, 0), add(t, table, Callers, 1)
	begin(older, true, true)
	for n := range 3 {
		add(t, table, Callers, 4+n)
	}
	_, evicted := table.Add(Callers, at(9), at(-100))
	require.Equal(t, []*Conn{older}, evicted)
	require.Equal(t, 5, table.Taken())
	begin(newer, true, true)
	require.Equal(t, 6, table.Taken())
}

// TestPlaces guards against bounds that ignore one of the figures, and against none where
// the other is unknown.
func TestPlaces(t *testing.T) {
	require.Equal(t, 2304, Places(3075, 144<<20), "by memory")
	require.Equal(t, 800, Places(1000, 144<<20), "by descriptors")
	require.Equal(t, 800, Places(1000, 0))
	require.Equal(t, 2304, Places(0, 144<<20))
	require.Equal(t, 1, Places(100, 0))
	require.Zero(t, Places(0, 0))
}

// TestBuffersStayWithinTheirBudget checks that connections in calm get the usual size, and
// the sum for a crowd.
func TestBuffersStayWithinTheirBudget(t *testing.T) {
	var b Buffers
	require.Equal(t, largestBuffer, b.Take(), "unknown memory doesn't bind")
	b.Give(largestBuffer)
	b.SetMemory(144 << 20)
	var sizes []int
	for range Places(3075, 144<<20) {
		sizes = append(sizes, b.Take())
	}
	for n := range 60 {
		require.Equal(t, largestBuffer, sizes[n])
	}
	require.Less(t, b.inUse, int64(144<<20/bufferShare+len(sizes)*2*smallestBuffer))
	require.Equal(t, smallestBuffer, sizes[len(sizes)-1])
	for _, size := range sizes {
		b.Give(size)
	}
	require.Zero(t, b.inUse)
}
