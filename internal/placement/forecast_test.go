package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamRequest returns a long request of which 42 outputs are expected.
func streamRequest() Request {
	req := longRequest()
	req.Outputs, req.TimeToEnd = 42, 12*time.Second
	return req
}

// busyEngine returns an engine with so many requests that each output takes perOutput.
func busyEngine(id string, perOutput time.Duration) Candidate {
	c := idleEngine(id)
	c.Running, c.TimePerOutput = 30, perOutput
	return c
}

// TestRequestEndsBeforeItsDeadline checks that a request goes where its response is
// expected to end in time, in all three ways of deciding, and nowhere else.
func TestRequestEndsBeforeItsDeadline(t *testing.T) {
	slow, fast := busyEngine("slow", 350*time.Millisecond), busyEngine("fast", 150*time.Millisecond)
	slow.Rank = 2
	slow.CachedTokens = 5_400
	fast.Rank = 1
	for _, stale := range []bool{false, true} {
		req := streamRequest()
		req.StaleView = stale
		d := decide(t, req, slow, fast)
		require.Equal(t, "fast", d.Candidate.ID, "stale %v", stale)
		require.InDelta(t, 41*150*time.Millisecond, d.Forecast, float64(time.Second))
		d = decide(t, req, slow)
		require.Equal(t, Refuse, d.Kind)
		require.Equal(t, EndsTooLate, d.Reason)
		require.Greater(t, d.RetryAfter, minRetryAfter)
		require.LessOrEqual(t, d.RetryAfter, maxForecastRetry)
	}
	d := DecideGrant(streamRequest(), []Candidate{slow}, time.Second)
	require.Equal(t, EndsTooLate, d.Reason)
	require.Equal(t, "fast", DecideGrant(streamRequest(), []Candidate{slow, fast}, time.Second).Candidate.ID)
}

// TestRequestDoesNotDelayOthers checks that no request goes where its prefill would push one
// in flight past its deadline.
func TestRequestDoesNotDelayOthers(t *testing.T) {
	tight := busyEngine("tight", 50*time.Millisecond)
	tight.HasSlack, tight.Slack = true, 100*time.Millisecond
	for _, stale := range []bool{false, true} {
		req := streamRequest()
		req.StaleView = stale
		d := decide(t, req, tight)
		require.Equal(t, DelaysOthers, d.Reason, "its prefill takes 240 ms")
		require.Positive(t, d.RetryAfter)
		short := shortRequest()
		short.Outputs, short.TimeToEnd, short.StaleView = 3, 3*time.Second, stale
		require.Equal(t, Serve, decide(t, short, tight).Kind, "its prefill takes 48 ms")
		tight.Slack = -time.Second
		require.Equal(t, DelaysOthers, decide(t, short, tight).Reason)
		tight.Slack = 100 * time.Millisecond
	}
}

// TestForecastIsNoObstacleWithoutCause checks the requests that the forecast lets pass
// whatever it says: those of which a part has been sent, and those to idle engines.
func TestForecastIsNoObstacleWithoutCause(t *testing.T) {
	slow := busyEngine("slow", time.Second)
	slow.HasSlack, slow.Slack = true, -time.Second
	req := streamRequest()
	req.ResponseStarted = true
	require.Equal(t, Serve, decide(t, req, slow).Kind)
	idle := slow
	idle.Running = 0
	require.Equal(t, Serve, decide(t, streamRequest(), idle).Kind)
	for _, unknown := range []func(*Request, *Candidate){
		func(r *Request, _ *Candidate) { r.Outputs = 0 },
		func(r *Request, _ *Candidate) { r.TimeToEnd = 0 },
		func(_ *Request, c *Candidate) { c.TimePerOutput = 0 },
	} {
		r, c := streamRequest(), slow
		unknown(&r, &c)
		require.Equal(t, Serve, decide(t, r, c).Kind)
	}
}

// TestForecastWellInsideTheDeadlineChangesNothing guards against a forecast that moves
// requests which need none: random loads are decided as they are without it.
func TestForecastWellInsideTheDeadlineChangesNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 0))
	for range 3000 {
		var plain, known []Candidate
		for i := range 1 + random.IntN(12) {
			c := idleEngine(fmt.Sprint(i))
			c.Region = []string{"north", "south", "west"}[random.IntN(3)]
			c.Remote = c.Region != "north"
			c.Running, c.Waiting = random.IntN(70), random.IntN(10)
			c.QueuedPrefill = time.Duration(random.IntN(900)) * time.Millisecond
			c.PrefillUtilization, c.KVTokens, c.Rank = random.Float64(), random.IntN(400_000), random.Uint64()
			plain = append(plain, c)
			c.TimePerOutput = time.Duration(1+random.IntN(60)) * time.Millisecond
			c.HasSlack, c.Slack = random.IntN(2) == 0, time.Duration(300+random.IntN(5000))*time.Millisecond
			known = append(known, c)
		}
		req := longRequest()
		if random.IntN(2) == 0 {
			req = shortRequest()
		}
		req.StaleView, req.HashFraction, req.LocalRefused = random.IntN(2) == 0, random.Float64(), random.IntN(2) == 0
		forecast := req
		forecast.Outputs, forecast.TimeToEnd = 1+random.IntN(40), 12*time.Second
		want, got := Decide(req, plain), Decide(forecast, known)
		require.Equal(t, want.Kind, got.Kind)
		require.Equal(t, want.Candidate.ID, got.Candidate.ID)
		require.Equal(t, want.Reason, got.Reason)
		require.Equal(t, want.RetryAfter, got.RetryAfter)
		limit := time.Duration(random.IntN(1200)) * time.Millisecond
		want, got = DecideGrant(req, plain, limit), DecideGrant(forecast, known, limit)
		require.Equal(t, want.Candidate.ID, got.Candidate.ID)
		require.Equal(t, want.Reason, got.Reason)
	}
}

// TestLongResponsesNeedRoomForTheirEnd guards against an engine that gets more than it has
// memory for, because the caller's hint of the length is too low.
func TestLongResponsesNeedRoomForTheirEnd(t *testing.T) {
	c := idleEngine("e")
	c.Running, c.KVTokens = 20, 347_000
	req := longRequest()
	require.Equal(t, Serve, decide(t, req, c).Kind)
	req.LongOutputTokens = 2_000
	require.Equal(t, Full, decide(t, req, c).Reason)
	req.OutputTokens, req.LongOutputTokens = 2_000, 400
	require.Equal(t, Serve, decide(t, req, c).Kind, "hints that are too high are known as such")
}

// TestPlainServicesWithManySlotsAreDecidedAsBefore checks that the longer queue of
// coordinated endpoints applies to no other.
func TestPlainServicesWithManySlotsAreDecidedAsBefore(t *testing.T) {
	req := Request{TimeToObjective: 300 * time.Millisecond, TimeToDeadline: 3 * time.Second}
	c := Candidate{ID: "e", Slots: 6, Running: 6, Waiting: 3, ServiceTime: 15 * time.Millisecond}
	require.Equal(t, Full, decide(t, req, c).Reason)
	c.MaxWaiting = 12
	require.Equal(t, Serve, decide(t, req, c).Kind)
	c.Waiting = 12
	d := DecideGrant(req, []Candidate{c}, req.TimeToObjective)
	require.Equal(t, Full, d.Reason)
	c.ServiceTime = 300 * time.Millisecond
	require.Greater(t, DecideGrant(req, []Candidate{c}, req.TimeToObjective).RetryAfter, 600*time.Millisecond, "13 requests at 20 a second")
}
