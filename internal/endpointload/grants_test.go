package endpointload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/placement"
)

func coordinatedQuery(session, unique uint64) Query {
	q := query(session, unique)
	q.Coordinated = true
	return q
}

// TestGrantsCountAtOnce checks that a coordinator counts its grants before any
// gateway reports the request, and does not report them as its own load.
func TestGrantsCountAtOnce(t *testing.T) {
	l := New()
	l.RecordGrant("e", 0, job(10, 11), start)
	c := candidate(t, l, coordinatedQuery(10, 12), start)
	require.Equal(t, defaultPrefill(10_000), c.QueuedPrefill)
	require.InDelta(t, defaultPrefill(10_000).Seconds()/2, c.PrefillUtilization, 1e-6)
	require.Equal(t, 1, c.Waiting)
	require.Equal(t, 10_400, c.KVTokens)
	require.Equal(t, 5_000, c.CachedTokens, "the shared prefix is being prefilled there")
	require.Zero(t, candidate(t, l, query(10, 12), start).QueuedPrefill)
	require.Empty(t, l.Loads(start), "the gateway that got the grant reports the load")
}

// TestGrantedPromptsPrefillInPriorityOrder simulates an engine that spends
// prefillShare of its time on prefill.
func TestGrantedPromptsPrefillInPriorityOrder(t *testing.T) {
	l := New()
	low := job(10, 11)
	high := job(20, 21)
	high.Priority = 0
	l.RecordGrant("e", 0, low, start)
	l.RecordGrant("e", 0, high, start)
	q := coordinatedQuery(30, 31)
	require.Equal(t, 2*defaultPrefill(10_000), candidate(t, l, q, start).QueuedPrefill)
	highQuery := q
	highQuery.Priority = 0
	require.Equal(t, defaultPrefill(10_000), candidate(t, l, highQuery, start).QueuedPrefill)
	halfway := at(time.Duration(float64(defaultPrefill(10_000)) / 2 / prefillShare))
	require.InDelta(t, defaultPrefill(10_000)/2, candidate(t, l, highQuery, halfway).QueuedPrefill, float64(time.Millisecond))
	require.InDelta(t, 3*defaultPrefill(10_000)/2, candidate(t, l, q, halfway).QueuedPrefill, float64(time.Millisecond))
	require.Zero(t, candidate(t, l, q, at(time.Second)).QueuedPrefill)
	require.Equal(t, 2, candidate(t, l, q, at(time.Second)).Waiting, "both responses are being generated")
	require.Zero(t, candidate(t, l, q, at(time.Minute)).Waiting)
	require.Zero(t, candidate(t, l, q, at(time.Minute)).KVTokens)
}

// TestReportedGrantsCountOnce checks that a granted request doesn't count again once
// the region's sums include it, and that requests without a grant count too.
func TestReportedGrantsCountOnce(t *testing.T) {
	l := New()
	for n := range uint64(3) {
		l.RecordGrant("e", 0, job(10, 11+n), start)
	}
	requests := func(reported, kvTokens int) (int, int) {
		l.ApplyRegionLoads("north", []EndpointLoad{{ID: "e", Running: reported, KVTokens: kvTokens}}, start)
		c := candidate(t, l, coordinatedQuery(20, 21), start)
		return c.Running + c.Waiting, c.KVTokens
	}
	const shared, own = 5_000, 5_400
	for reported, want := range map[int]int{0: 3, 2: 3, 3: 3, 5: 5} {
		count, kvTokens := requests(reported, reported*(shared+own))
		require.Equal(t, want, count, "%d reported", reported)
		require.Equal(t, shared+3*own+(want-3)*(shared+own), kvTokens, "a shared prefix is kept once; %d reported", reported)
	}
}

// TestShortRequestsFreeTheirSlots plays 32 short requests a second at an endpoint of
// 16 slots, where each takes 0.3 s, as its coordinator sees it: the region's sums
// arrive each 0.6 s and are 0.3 s old. The endpoint has about 10 requests at a time
// and must never look as if it had no place for another one.
func TestShortRequestsFreeTheirSlots(t *testing.T) {
	const (
		slots    = 16
		interval = time.Second / 32
		duration = 300 * time.Millisecond
		sumEvery = 600 * time.Millisecond
		sumAge   = 300 * time.Millisecond
	)
	l := New()
	short := Job{Service: "chat", PromptTokens: 300, OutputTokens: 30}
	inFlightAt := func(now time.Time) int {
		count := 0
		for n := 0; ; n++ {
			sent := start.Add(time.Duration(n) * interval)
			if sent.After(now) {
				return count
			}
			if now.Before(sent.Add(duration)) {
				count++
			}
		}
	}
	lastSum := start
	for n := range 200 {
		now := start.Add(time.Duration(n) * interval)
		if now.Sub(lastSum) >= sumEvery {
			lastSum = now
			l.ApplyRegionLoads("north", []EndpointLoad{{ID: "e", Running: inFlightAt(now.Add(-sumAge))}}, now)
		}
		q := coordinatedQuery(20, 21)
		q.Slots = slots
		d := placement.DecideGrant(placement.Request{
			PromptTokens: short.PromptTokens, OutputTokens: short.OutputTokens,
			TimeToObjective: 600 * time.Millisecond, TimeToDeadline: 4 * time.Second,
		}, []placement.Candidate{candidate(t, l, q, now)}, 300*time.Millisecond)
		require.Equal(t, placement.Serve, d.Kind, "request %d: %s", n, d.Reason)
		l.RecordGrant("e", 0, short, now)
		sent := l.Begin("e", 0, short, now)
		sent.RecordFirstOutput(now.Add(duration / 10))
		sent.End(Succeeded, now.Add(duration))
	}
}

// TestLongerReportedQueueReplacesGrantedQueue checks that the queue reported by
// gateways counts if the endpoint is slower than estimated.
func TestLongerReportedQueueReplacesGrantedQueue(t *testing.T) {
	l := New()
	l.RecordGrant("e", 0, job(10, 11), start)
	l.ApplyGatewayLoads("g2", []EndpointLoad{{ID: "e", Waiting: 1, QueuedPrefillMillis: []int{0, 900}}}, start)
	require.Equal(t, 900*time.Millisecond, candidate(t, l, coordinatedQuery(20, 21), start).QueuedPrefill)
}

// TestRegionUtilizationDoesNotDecayBetweenReports guards against
// underestimating the utilization of a remote region's endpoints while its next
// report is on the way.
func TestRegionUtilizationDoesNotDecayBetweenReports(t *testing.T) {
	l := New()
	l.ApplyRegionLoads("south", []EndpointLoad{{ID: "far", Running: 1, RecentPrefillMillis: 1000}}, start)
	q := query(10, 11)
	q.ID, q.Remote = "far", true
	require.InDelta(t, 0.5, candidate(t, l, q, at(time.Second)).PrefillUtilization, 1e-6)
}

func TestSegmentEncoding(t *testing.T) {
	body, err := Segment{PrefixHash: 1 << 63, Tokens: 512}.MarshalJSON()
	require.NoError(t, err)
	var p Segment
	require.NoError(t, p.UnmarshalJSON(body))
	require.Equal(t, Segment{PrefixHash: 1 << 63, Tokens: 512}, p)
	for _, text := range []string{`""`, `"x"`, `"x -1"`, `7`, `"! 3"`} {
		require.Error(t, p.UnmarshalJSON([]byte(text)), text)
	}
}
