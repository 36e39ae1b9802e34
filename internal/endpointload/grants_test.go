package endpointload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	require.Zero(t, candidate(t, l, q, at(time.Second)).Waiting, "the gateways' own reports include it by now")
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
