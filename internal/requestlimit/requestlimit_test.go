package requestlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func perSecond(limit float64) *float64 { return &limit }

// at returns the time so many seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestLimitLastsUntilAResponseWithoutIt(t *testing.T) {
	l := New()
	require.False(t, l.Record("e", 1, nil, at(0), at(1)))
	require.True(t, l.Record("e", 1, perSecond(2), at(0), at(1)))
	require.False(t, l.Record("e", 1, perSecond(3), at(0), at(2)), "it is known")
	require.False(t, l.Record("e", 1, nil, at(1.5), at(3)), "the request is older than the limit")
	got, ok := l.Get("e", 1, at(4))
	require.True(t, ok)
	require.Equal(t, Limit{ID: "e", Incarnation: 1, PerSecond: 3, AgeMillis: 2000}, got)
	_, ok = l.Get("e", 2, at(4))
	require.False(t, ok, "another incarnation has said nothing")
	require.True(t, l.Record("e", 1, nil, at(2.5), at(5)))
	_, ok = l.Get("e", 1, at(5))
	require.False(t, ok)
	require.Len(t, l.News(at(6)), 1)
	require.Empty(t, l.All(at(6)))
	l.Forget("e")
	require.Empty(t, l.News(at(6)))
}

func TestApplyKeepsWhatIsNewer(t *testing.T) {
	l := New()
	require.True(t, l.Apply(Limit{ID: "e", Incarnation: 1, PerSecond: 2, AgeMillis: 500}, at(1)))
	require.False(t, l.Apply(Limit{ID: "e", Incarnation: 1, Lifted: true, AgeMillis: 900}, at(1)), "older")
	require.True(t, l.Apply(Limit{ID: "e", Incarnation: 1, Lifted: true, AgeMillis: 100}, at(1)))
	require.False(t, l.Apply(Limit{ID: "e", Incarnation: 1, PerSecond: 2, AgeMillis: 400}, at(1)), "older")
	require.True(t, l.Apply(Limit{ID: "e", Incarnation: 2, PerSecond: 2}, at(2)), "restarted")
	for _, invalid := range []Limit{{}, {ID: "f", AgeMillis: -1}, {ID: "f", PerSecond: -2}, {ID: "f", Incarnation: 1, Lifted: true}} {
		require.False(t, l.Apply(invalid, at(3)))
	}
	require.Len(t, l.All(at(3)), 1)
}

// taken lets requests ask for permits every 10 ms from one time to another, and returns
// how many got one.
func taken(l *Tracker, share, from, to float64) int {
	n := 0
	for now := at(from); now.Before(at(to)); now = now.Add(10 * time.Millisecond) {
		if _, ok := l.TryTake("e", share, now); ok {
			n++
		}
	}
	return n
}

func TestPermitsKeepToTheLimit(t *testing.T) {
	l := New()
	l.Record("e", 1, perSecond(4), at(0), at(0))
	require.Zero(t, taken(l, 1, 0, 0.24), "nothing is given out for the time before")
	require.InDelta(t, 40, taken(l, 1, 0.25, 10.25), 1)
	require.InDelta(t, 2, taken(l, 1, 60, 60.01)+taken(l, 1, 60.01, 60.02), 0, "a pause saves up a quarter of a second and one")
	require.InDelta(t, 10, taken(l, 0.25, 60.02, 70.02), 1)
	l.Resign("e")
	require.Zero(t, taken(l, 1, 80, 80.24), "another gateway gave out permits meanwhile")
	l.Record("e", 1, perSecond(0), at(81), at(81))
	require.InDelta(t, 10, taken(l, 1, 81, 181), 1, "somebody finds out when it is lifted")
	l.Record("e", 1, nil, at(182), at(183))
	require.Equal(t, 100, taken(l, 1, 183, 184), "no limit")
}

func TestRequestsWithoutPermitComeBackOneAfterTheOther(t *testing.T) {
	l := New()
	l.Record("e", 1, perSecond(10), at(0), at(0))
	last := time.Duration(0)
	for range 10 {
		hold, ok := l.TryTake("e", 1, at(0))
		require.False(t, ok)
		require.Greater(t, hold, last)
		last = hold
	}
	for range 100 {
		hold, _ := l.TryTake("e", 1, at(0))
		require.LessOrEqual(t, hold, maxHold)
	}
	l.Hold("e", time.Second, at(0))
	require.Equal(t, 400*time.Millisecond, l.Remaining("e", 1, at(0.6)))
	require.Zero(t, l.Remaining("e", 2, at(0.6)))
	require.Zero(t, l.Remaining("e", 1, at(2)))
	l.Record("e", 1, nil, at(0.1), at(0.7))
	require.Zero(t, l.Remaining("e", 1, at(0.8)), "the limit is lifted")
}

func TestEndpointsOfLongAgoAreDropped(t *testing.T) {
	l := New()
	for i := range maxEndpoints + 1 {
		l.Record(string(rune(1000+i)), 1, perSecond(1), at(0), at(float64(i)))
	}
	require.Less(t, len(l.endpoints), 100)
}
