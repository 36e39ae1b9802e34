package endpointload

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/placement"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// promptSegments returns a prompt of three segments: one that all prompts
// share, one that those of a session share, and a unique one.
func promptSegments(session, unique uint64) []Segment {
	return []Segment{{PrefixHash: 1, Tokens: 500}, {PrefixHash: session, Tokens: 4_500}, {PrefixHash: unique, Tokens: 5_000}}
}

func job(session, unique uint64) Job {
	return Job{Service: "llm", PromptTokens: 10_000, OutputTokens: 400, Priority: 1, Segments: promptSegments(session, unique), SharedPrefix: session}
}

func query(session, unique uint64) Query {
	return Query{ID: "e", Service: "llm", Segments: promptSegments(session, unique), Priority: 1, Slots: 64, KVCapacity: 400_000}
}

func candidate(t *testing.T, l *Tracker, q Query, now time.Time) placement.Candidate {
	t.Helper()
	c, ok := l.Candidate(q, now)
	require.True(t, ok)
	return c
}

// defaultPrefill returns the prefill time of n tokens before any has been
// observed.
func defaultPrefill(n int) time.Duration { return time.Duration(n) * defaultPrefillPerToken }

func TestLoadOfOneRequest(t *testing.T) {
	l := New()
	e := l.Begin("e", 0, job(10, 11), start)
	c := candidate(t, l, query(20, 21), start)
	require.Equal(t, 1, c.Waiting)
	require.Equal(t, 10_400, c.KVTokens)
	require.Equal(t, defaultPrefill(10_000), c.QueuedPrefill)
	require.Equal(t, 500, c.CachedTokens, "the segment that all prompts share")
	require.InDelta(t, defaultPrefill(10_000).Seconds()/2, c.PrefillUtilization, 1e-6)
	c = candidate(t, l, query(20, 21), at(50*time.Millisecond))
	require.Equal(t, defaultPrefill(10_000)-50*time.Millisecond, c.QueuedPrefill, "part of it has been prefilled")
	e.RecordFirstOutput(at(200 * time.Millisecond))
	c = candidate(t, l, query(10, 31), at(200*time.Millisecond))
	require.Equal(t, 0, c.Waiting)
	require.Equal(t, 1, c.Running)
	require.Zero(t, c.QueuedPrefill)
	require.Equal(t, 5_000, c.CachedTokens)
	e.End(Succeeded, at(time.Second))
	e.End(Failed, at(time.Second))
	c = candidate(t, l, query(10, 31), at(time.Second))
	require.Zero(t, c.Running)
	require.Zero(t, c.KVTokens)
	require.Zero(t, c.FailureRate, "only the first call to End counts")
}

func TestHigherPriorityWaitsForLess(t *testing.T) {
	l := New()
	l.Begin("e", 0, job(10, 11), start)
	q := query(20, 21)
	q.Priority = 0
	require.Zero(t, candidate(t, l, q, start).QueuedPrefill)
}

// TestOverdueRequestLengthensQueue guards against preferring an endpoint that
// accepts requests but never starts a response.
func TestOverdueRequestLengthensQueue(t *testing.T) {
	l := New()
	l.Begin("e", 0, job(10, 11), start)
	require.Greater(t, candidate(t, l, query(20, 21), at(3*time.Second)).QueuedPrefill, time.Second)
}

func TestUnreachableEndpointIsEjected(t *testing.T) {
	l := New()
	now := start
	for _, ejection := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		l.Begin("e", 0, job(10, 11), now).End(Unreachable, now)
		_, ok := l.Candidate(query(10, 11), now.Add(ejection-time.Millisecond))
		require.False(t, ok)
		now = now.Add(ejection)
		require.Zero(t, candidate(t, l, query(10, 11), now).CachedTokens, "the endpoint may have restarted")
	}
	e := l.Begin("e", 0, job(10, 11), now)
	e.RecordFirstOutput(now)
	e.End(Succeeded, now)
	l.Begin("e", 0, job(10, 11), now).End(Unreachable, now)
	_, ok := l.Candidate(query(10, 11), now.Add(minEjection))
	require.True(t, ok, "a response resets the ejection time")
}

func TestFailureRateDecays(t *testing.T) {
	l := New()
	for range 20 {
		l.Begin("e", 0, job(10, 11), start).End(Failed, start)
	}
	require.Greater(t, candidate(t, l, query(10, 11), start).FailureRate, 0.8)
	require.Less(t, candidate(t, l, query(10, 11), at(4*failureTimeConstant)).FailureRate, 0.05)
	l.Begin("e", 0, job(10, 11), start).End(Abandoned, start)
	l.Begin("e", 0, job(10, 11), start).End(Shed, start)
	require.Greater(t, candidate(t, l, query(10, 11), start).FailureRate, 0.8, "neither result counts as success or failure")
}

func TestNewIncarnationResetsAccount(t *testing.T) {
	l := New()
	l.Begin("e", 1, job(10, 11), start)
	q := query(10, 11)
	q.Incarnation = 2
	c := candidate(t, l, q, start)
	require.Zero(t, c.Waiting)
	require.Zero(t, c.CachedTokens)
}

// TestPrefixRetentionDependsOnFreeMemory checks the estimate for an engine that
// spends half of its time on prefill.
func TestPrefixRetentionDependsOnFreeMemory(t *testing.T) {
	require.Equal(t, maxRetention, retentionTime(400_000, 0, defaultPrefillPerToken))
	require.Equal(t, 16*time.Second, retentionTime(400_000, 0.5, defaultPrefillPerToken))
	require.Equal(t, minRetention, retentionTime(0, 0.5, defaultPrefillPerToken))
	l := New()
	l.Begin("e", 0, job(10, 11), start)
	require.Equal(t, 5_000, candidate(t, l, query(10, 12), at(5*time.Second)).CachedTokens)
	require.Zero(t, candidate(t, l, query(10, 12), at(2*time.Minute)).CachedTokens)
}

func TestLearnedPrefillTimeIgnoresContention(t *testing.T) {
	l := New()
	const prefillPerToken = 50 * time.Microsecond
	now := start
	for i := range uint64(200) {
		e := l.Begin("e", 0, job(1000+i, 2000+i), now)
		elapsed := engineOverhead + 10_000*prefillPerToken
		if i%2 == 0 {
			elapsed *= 2 // waited for requests that this gateway doesn't know of
		}
		now = now.Add(elapsed)
		e.RecordFirstOutput(now)
		e.End(Succeeded, now)
		now = now.Add(time.Minute)
	}
	got := candidate(t, l, query(1, 2), now).PrefillTimePerToken
	require.InEpsilon(t, float64(prefillPerToken), float64(got), 0.25)
	e := l.Begin("p", 0, Job{Service: "plain"}, now)
	e.End(Succeeded, now.Add(70*time.Millisecond))
	require.Equal(t, defaultPlainServiceTime+5*time.Millisecond, candidate(t, l, Query{ID: "p", Service: "plain"}, now).ServiceTime)
}

func TestLoadsOfOtherGatewaysCount(t *testing.T) {
	l := New()
	l.Begin("e", 0, job(10, 11), start)
	l.ApplyGatewayLoads("g2", []EndpointLoad{{ID: "e", Running: 3, Waiting: 1, KVTokens: 20_000, QueuedPrefillMillis: []int{0, 150}, RecentPrefillMillis: 400}}, start)
	c := candidate(t, l, query(20, 21), start)
	require.Equal(t, 3, c.Running)
	require.Equal(t, 2, c.Waiting)
	require.Equal(t, 30_400, c.KVTokens)
	require.Equal(t, defaultPrefill(10_000)+150*time.Millisecond, c.QueuedPrefill)
	c = candidate(t, l, query(20, 21), at(100*time.Millisecond))
	require.Equal(t, defaultPrefill(10_000)-100*time.Millisecond+50*time.Millisecond, c.QueuedPrefill, "both queues drain")
	require.Equal(t, 1, candidate(t, l, query(20, 21), at(2*time.Second)).Waiting, "expired reports don't count")
	l.ApplyGatewayLoads("g2", nil, at(2*time.Second))
	require.Equal(t, 1, candidate(t, l, query(20, 21), at(2*time.Second)).Waiting)
}

func TestRegionLoads(t *testing.T) {
	l := New()
	l.Begin("e", 0, job(10, 11), start)
	l.ApplyGatewayLoads("g2", []EndpointLoad{{ID: "e", Running: 1, QueuedPrefillMillis: []int{10}}, {ID: "f", Waiting: 2}}, start)
	l.ApplyRegionLoads("south", []EndpointLoad{{ID: "far", Running: 9}}, start)
	loads := map[string]EndpointLoad{}
	for _, r := range l.RegionLoads(l.Loads(start), start) {
		loads[r.ID] = r
	}
	require.Len(t, loads, 2, "sums of other regions are not included")
	require.Equal(t, 1, loads["e"].Running)
	require.Equal(t, 1, loads["e"].Waiting)
	require.Equal(t, []int{10, 210, 210}, loads["e"].QueuedPrefillMillis)
	require.Equal(t, 9, candidate(t, l, Query{ID: "far", Service: "llm", Remote: true}, start).Running)
	rest := loads["e"].Sub(l.Loads(start)[0])
	require.Equal(t, EndpointLoad{ID: "e", Running: 1, QueuedPrefillMillis: []int{10, 10, 10}}, rest)
}

// TestForwardedRequestCountsUntilReported checks that a request forwarded to
// another region counts until that region's reports include it, and is never
// part of this gateway's own reports.
func TestForwardedRequestCountsUntilReported(t *testing.T) {
	l := New()
	forwarded := job(10, 11)
	forwarded.Forwarded = true
	l.Begin("far", 0, forwarded, start)
	require.Empty(t, l.Loads(start))
	q := query(10, 12)
	q.ID, q.Remote, q.MaxReportAge = "far", true, 500*time.Millisecond
	c := candidate(t, l, q, start)
	require.Equal(t, 1, c.Waiting)
	require.Equal(t, 5_000, c.CachedTokens)
	require.Positive(t, c.QueuedPrefill)
	require.Zero(t, candidate(t, l, q, at(600*time.Millisecond)).Waiting)
}

func TestCachedPrefixesAreShared(t *testing.T) {
	a, b := New(), New()
	a.Begin("e", 0, job(10, 11), start)
	a.Begin("e", 0, job(10, 12), at(time.Second))
	require.Equal(t, []CachedPrefix{{ID: "e", PrefixHash: 10}}, a.CachedPrefixes(2*time.Second, at(time.Second)), "a repeated prefix is not logged again at once")
	require.Empty(t, a.CachedPrefixes(time.Second, at(2*time.Second)))
	candidate(t, b, query(10, 21), start)
	b.ApplyCachedPrefixes(a.CachedPrefixes(2*time.Second, at(time.Second)), true, at(time.Second))
	require.Equal(t, 5_000, candidate(t, b, query(10, 21), at(time.Second)).CachedTokens)
	require.Len(t, b.RegionCachedPrefixes(time.Second, at(time.Second)), 1)
	require.Empty(t, b.CachedPrefixes(time.Second, at(time.Second)))
}

func TestForget(t *testing.T) {
	l := New()
	l.Begin("e", 0, job(10, 11), start).End(Failed, start)
	l.Begin("busy", 0, job(10, 11), start)
	l.Forget("e")
	l.Forget("busy")
	require.Zero(t, candidate(t, l, query(10, 11), start).FailureRate)
	q := query(10, 11)
	q.ID = "busy"
	require.Equal(t, 1, candidate(t, l, q, start).Waiting)
}

func TestLoadAndPrefixEncoding(t *testing.T) {
	for _, r := range []EndpointLoad{
		{ID: "i-1", Running: 3, Waiting: 1, KVTokens: 3 * kvTokenUnit, RecentPrefillMillis: 70, QueuedPrefillMillis: []int{5, 9}},
		{ID: "i-2", Running: 1},
		{ID: "i-3", Waiting: 2, QueuedPrefillMillis: []int{0, 4}},
	} {
		body, err := json.Marshal(r)
		require.NoError(t, err)
		var got EndpointLoad
		require.NoError(t, json.Unmarshal(body, &got))
		got.QueuedPrefillMillis = append([]int(nil), got.QueuedPrefillMillis...)
		require.Equal(t, r, got)
	}
	body, err := json.Marshal(EndpointLoad{ID: "i-1", KVTokens: 1, QueuedPrefillMillis: []int{5, 5, 5}})
	require.NoError(t, err)
	require.JSONEq(t, `"i-1 0 0 1 0 5"`, string(body), "KV cache is rounded up and equal queues are left out")
	var prefix CachedPrefix
	body, err = json.Marshal(CachedPrefix{ID: "i-1", PrefixHash: 1 << 63})
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(body, &prefix))
	require.Equal(t, CachedPrefix{ID: "i-1", PrefixHash: 1 << 63}, prefix)
}

func FuzzEndpointLoad(f *testing.F) {
	f.Add([]byte(`"i-1 1 2 3 4 5 6"`))
	f.Add([]byte(`"i-1 1 2 3 4 5 6 7 8 9"`))
	f.Add([]byte(`{"i":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r EndpointLoad
		if err := json.Unmarshal(data, &r); err != nil {
			return
		}
		require.NotEmpty(t, r.ID)
		require.GreaterOrEqual(t, r.Running, 0)
		require.LessOrEqual(t, len(r.QueuedPrefillMillis), priorityLevels)
		var prefix CachedPrefix
		_ = json.Unmarshal(data, &prefix)
	})
}

// requireSameLoad requires that two candidates differ only in the times that are learned
// from all requests of the service.
func requireSameLoad(t *testing.T, want, got placement.Candidate) {
	t.Helper()
	got.MeanPrefill, got.SlotTime, got.PrefillTimePerToken = want.MeanPrefill, want.SlotTime, want.PrefillTimePerToken
	require.Equal(t, want, got)
}

// TestRequestCountsForItsIncarnation guards against counts below 0: the end of a request to
// an earlier incarnation was subtracted from those of the new one.
func TestRequestCountsForItsIncarnation(t *testing.T) {
	next := query(20, 21)
	next.Incarnation = 2
	for _, result := range []Result{Succeeded, Failed, Unreachable} {
		for _, started := range []bool{true, false} {
			l := New()
			before := l.Begin("e", 1, job(10, 11), start)
			if started {
				before.RecordFirstOutput(at(time.Second))
			}
			l.Begin("e", 2, job(20, 21), at(2*time.Second)).RecordFirstOutput(at(2 * time.Second))
			want := candidate(t, l, next, at(4*time.Second))
			before.RecordFirstOutput(at(3 * time.Second))
			before.End(result, at(4*time.Second))
			late := l.Begin("e", 1, job(10, 12), at(4*time.Second))
			requireSameLoad(t, want, candidate(t, l, next, at(4*time.Second)))
			late.End(result, at(4*time.Second))
			requireSameLoad(t, want, candidate(t, l, next, at(4*time.Second)))
			require.Len(t, l.Loads(at(4*time.Second)), 1)
			require.Equal(t, 1, l.Loads(at(4 * time.Second))[0].Running)
		}
	}
}

// TestGrantForAnEndedIncarnationIsIgnored guards against a grant that loads an incarnation
// which the granted request is not sent to.
func TestGrantForAnEndedIncarnationIsIgnored(t *testing.T) {
	l := New()
	next := query(20, 21)
	next.Incarnation, next.Coordinated = 2, true
	want := candidate(t, l, next, start)
	l.RecordGrant("e", 1, job(10, 11), start)
	require.Equal(t, want, candidate(t, l, next, start))
}
