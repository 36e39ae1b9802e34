package pace

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const millisecond = time.Millisecond

// inTimeSample is a response in time.
var inTimeSample = Sample{Expected: 100 * millisecond, Actual: 100 * millisecond, Objective: time.Second}

// lateSample is a response after twice the expected time and more.
var lateSample = Sample{Expected: 100 * millisecond, Actual: 400 * millisecond, Objective: time.Second}

// TestWindowDoublesInRounds guards against a window that grows so slowly that an endpoint
// with many slots stays idle for long.
func TestWindowDoublesInRounds(t *testing.T) {
	tr, now := New(), epoch
	require.True(t, tr.Begin("e", 1, Started, now))
	var rooms []int
	for range 5 {
		room := tr.Room("e", 1, 0, now)
		rooms = append(rooms, room)
		require.Equal(t, 1, tr.Room("e", 1, room-1, now))
		now = now.Add(100 * millisecond)
		for range room {
			tr.Record("e", 1, inTimeSample, now)
		}
	}
	require.Equal(t, []int{4, 8, 16, 32, 64}, rooms)
}

// TestUnusedWindowDoesNotGrow guards against a window that opens by a few responses that
// say nothing about many requests at once.
func TestUnusedWindowDoesNotGrow(t *testing.T) {
	tr, now := New(), epoch
	tr.Begin("e", 1, Started, now)
	for range 100 {
		tr.Room("e", 1, 0, now)
		tr.Record("e", 1, inTimeSample, now)
	}
	require.Equal(t, initialSize, tr.Room("e", 1, 0, now))
}

// TestWindowShrinksOncePerRound guards against a window that one slow round, whose
// responses all come late, closes altogether.
func TestWindowShrinksOncePerRound(t *testing.T) {
	tr, now := New(), epoch
	tr.Begin("e", 1, Started, now)
	for range 12 {
		tr.Room("e", 1, 11, now)
		tr.Record("e", 1, inTimeSample, now)
	}
	require.Equal(t, 16, tr.Room("e", 1, 0, now))
	now = now.Add(400 * millisecond)
	require.Equal(t, Shrunk, tr.Record("e", 1, lateSample, now).Kind)
	for range 11 {
		require.Zero(t, tr.Record("e", 1, lateSample, now.Add(10*millisecond)))
	}
	// 12 were in flight.
	require.Equal(t, 8, tr.Room("e", 1, 0, now))
	require.Equal(t, Shrunk, tr.Record("e", 1, lateSample, now.Add(500*millisecond)).Kind)
}

// TestResultsCloseWindow checks what each result leaves of a window of eight that is in
// use.
func TestResultsCloseWindow(t *testing.T) {
	for name, c := range map[string]struct {
		sample Sample
		want   int
	}{
		"in time":               {inTimeSample, 9},
		"late":                  {lateSample, 5},
		"after the objective":   {Sample{Expected: 900 * millisecond, Actual: 1200 * millisecond, Objective: time.Second}, 5},
		"refused":               {Sample{Result: Refused}, 6},
		"failed":                {Sample{Result: Failed}, 4},
		"ended":                 {Sample{Result: Unreachable}, 1},
		"abandoned, late":       {Sample{Expected: 100 * millisecond, Actual: 2 * time.Second, Objective: time.Second, Result: Abandoned}, 5},
		"caller gone at once":   {Sample{Expected: 100 * millisecond, Actual: 10 * millisecond, Objective: time.Second, Result: Abandoned}, 8},
		"four gateways, inTime": {Sample{Expected: 100 * millisecond, Actual: 100 * millisecond, Count: 4}, 12},
	} {
		t.Run(name, func(t *testing.T) {
			tr, now := New(), epoch
			tr.Begin("e", 1, Started, now)
			for range 4 {
				tr.Room("e", 1, 7, now)
				tr.Record("e", 1, inTimeSample, now)
			}
			require.Equal(t, 8, tr.Room("e", 1, 0, now))
			tr.Record("e", 1, c.sample, now)
			require.Equal(t, c.want, tr.Room("e", 1, 0, now))
		})
	}
}

// TestWrongExpectationsDecideLittle guards against an endpoint whose reported load is
// wrong: it must neither be left idle though callers get their responses in good time, nor
// flooded though they don't.
func TestWrongExpectationsDecideLittle(t *testing.T) {
	for name, c := range map[string]struct {
		sample Sample
		late   bool
	}{
		"reports no load, fast enough": {Sample{Expected: millisecond, Actual: 240 * millisecond, Objective: time.Second}, false},
		"reports no load, slow":        {Sample{Expected: millisecond, Actual: 260 * millisecond, Objective: time.Second}, true},
		"reports much load":            {Sample{Expected: 10 * time.Second, Actual: 1001 * millisecond, Objective: time.Second}, true},
		"reports much load, in time":   {Sample{Expected: 10 * time.Second, Actual: 999 * millisecond, Objective: time.Second}, false},
		"no objective left":            {Sample{Expected: 100 * millisecond, Actual: 240 * millisecond, Objective: -time.Second}, false},
		"no objective left, slow":      {Sample{Expected: 100 * millisecond, Actual: 260 * millisecond, Objective: -time.Second}, true},
	} {
		require.Equal(t, c.late, c.sample.isLate(), name)
	}
}

// TestEndpointProvesItself checks that the window goes once it has not been a limit for
// a while, and that time alone proves nothing.
func TestEndpointProvesItself(t *testing.T) {
	tr, now := New(), epoch
	tr.Begin("e", 1, Started, now)
	require.LessOrEqual(t, tr.Room("e", 1, initialSize, now), 0)
	now = now.Add(provenTime)
	for range provenResponses - 1 {
		require.Zero(t, tr.Record("e", 1, inTimeSample, now))
	}
	require.Equal(t, Change{Kind: Proved, Cause: Started, Size: 11, Age: provenTime}, tr.Record("e", 1, inTimeSample, now))
	require.Equal(t, Unlimited, tr.Room("e", 1, 1000, now))
	require.False(t, tr.HasWindow("e", 1, now))
	tr.Begin("f", 1, Started, now)
	require.Equal(t, initialSize, tr.Room("f", 1, 0, now.Add(20*time.Second)), "nothing came from it")
	require.Equal(t, Unlimited, tr.Room("f", 1, 0, now.Add(maxAge)), "it doesn't count as started for ever")
}

// TestEndpointThatDiesAgainBeginsWithLess checks the window after a relapse, by a new
// incarnation and by the same one, and that one incarnation tells nothing of another.
func TestEndpointThatDiesAgainBeginsWithLess(t *testing.T) {
	tr, now := New(), epoch
	tr.Begin("e", 1, Started, now)
	for range 12 {
		tr.Room("e", 1, 15, now)
		tr.Record("e", 1, inTimeSample, now)
	}
	require.Equal(t, 16, tr.Room("e", 1, 0, now))
	require.True(t, tr.Begin("e", 2, Started, now))
	require.Equal(t, 1, tr.Room("e", 2, 0, now))
	require.False(t, tr.MayExceed("e", 2, 1, false, now))
	require.Zero(t, tr.Record("e", 1, lateSample, now))
	require.Equal(t, Unlimited, tr.Room("e", 1, 100, now))
	for range 7 {
		tr.Room("e", 2, 7, now)
		tr.Record("e", 2, inTimeSample, now)
	}
	require.Equal(t, 8, tr.Room("e", 2, 0, now))
	for range 4 {
		tr.Record("e", 2, inTimeSample, now)
	}
	require.Equal(t, 9, tr.Room("e", 2, 0, now), "by steps from half of what it held when it died")
	require.False(t, tr.Begin("e", 2, Started, now), "the cold start of one incarnation ends once")
	require.False(t, tr.Begin("e", 1, Recovered, now), "an older incarnation")
	require.True(t, tr.Begin("e", 2, Recovered, now))
	require.Equal(t, 1, tr.Room("e", 2, 0, now))
	require.True(t, tr.Begin("e", 3, Returned, now.Add(relapseTime)))
	require.Equal(t, initialSize, tr.Room("e", 3, 0, now.Add(relapseTime)))
}

// TestWindowGivesWay checks when a request may exceed the window.
func TestWindowGivesWay(t *testing.T) {
	tr, now := New(), epoch
	require.True(t, tr.MayExceed("e", 1, 100, true, now))
	tr.Begin("e", 1, Started, now)
	tr.Room("e", 1, 3, now)
	require.True(t, tr.MayExceed("e", 1, 100, true, now), "nothing speaks against it")
	now = now.Add(time.Second)
	tr.Room("e", 1, 3, now)
	tr.Record("e", 1, lateSample, now)
	require.True(t, tr.MayExceed("e", 1, 100, false, now), "the other endpoints are late too")
	require.True(t, tr.MayExceed("e", 1, 5, true, now))
	require.False(t, tr.MayExceed("e", 1, 6, true, now))
	tr.Record("e", 1, Sample{Result: Refused}, now)
	require.False(t, tr.MayExceed("e", 1, 1, false, now))
	require.True(t, tr.MayExceed("e", 1, 100, true, now.Add(shrunkHold)))
}

// TestStateIsBounded guards against windows of endpoints that come and go.
func TestStateIsBounded(t *testing.T) {
	tr := New()
	for i := range maxWindows + 10 {
		tr.Begin(fmt.Sprint(i), 1, Started, epoch)
	}
	require.Len(t, tr.windows, maxWindows)
	require.False(t, tr.Begin("e", 1, Started, epoch))
	require.Equal(t, Unlimited, tr.Room("e", 1, 100, epoch))
	require.True(t, tr.Begin("e", 1, Started, epoch.Add(maxAge)))
	require.Len(t, tr.windows, 1)
	tr.Forget("e")
	require.Equal(t, Unlimited, tr.Room("e", 1, 100, epoch.Add(maxAge)))
}

// TestConcurrentUse is for the race detector.
func TestConcurrentUse(t *testing.T) {
	tr := New()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			id := fmt.Sprint(i % 2)
			for n := range 500 {
				now := epoch.Add(time.Duration(n) * millisecond)
				tr.Begin(id, int64(n/100), Recovered, now)
				tr.Room(id, int64(n/100), n%8, now)
				tr.MayExceed(id, int64(n/100), n%8, true, now)
				tr.Record(id, int64(n/100), Sample{Actual: time.Duration(n) * millisecond, Result: Result(n % 5)}, now)
				tr.HasWindow(id, int64(n/100), now)
			}
		})
	}
	wg.Wait()
}
