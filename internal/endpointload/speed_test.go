package endpointload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// TestReportedSpeedIsFilteredAndFades checks that a report is averaged with those before it
// and counts for a second at most.
func TestReportedSpeedIsFilteredAndFades(t *testing.T) {
	var s speed
	require.InDelta(t, 1, s.at(start), 0)
	s.report(3, start)
	require.InDelta(t, 3, s.at(start), 1e-9)
	require.InDelta(t, 2, s.at(at(maxReportAge/2)), 1e-9)
	require.InDelta(t, 1, s.at(at(maxReportAge)), 0)
	require.InDelta(t, 1, s.at(at(time.Hour)), 0)
	for i := range 100 {
		s.report([]float64{1, 3}[i%2], at(time.Duration(i)*20*time.Millisecond))
	}
	require.InDelta(t, 2, s.at(at(99*20*time.Millisecond)), 0.3, "the mean of what changes many times a second")
	last := s.reported
	s.report(9, start)
	require.InDelta(t, last, s.reported, 0, "an older report that arrives late")
}

// TestLyingReportsAreBounded guards against an endpoint that keeps requests away, or draws
// them all, by a figure that no machine has.
func TestLyingReportsAreBounded(t *testing.T) {
	l := New()
	for _, percent := range []int{0, -100, math.MinInt64} {
		l.ReportSpeed("e", 0, percent, start)
		_, _, ok := l.ReportedSpeed("e", 0, start)
		require.False(t, ok, percent)
	}
	q := query(10, 11)
	usual := candidate(t, l, q, start)
	l.ReportSpeed("e", 0, math.MaxInt64, start)
	require.Equal(t, maxFactor, float64(candidate(t, l, q, start).PrefillTimePerToken)/float64(usual.PrefillTimePerToken))
	l.ReportSpeed("e", 1, 1, at(time.Second))
	require.InDelta(t, minFactor, float64(candidate(t, l, q, at(time.Second)).PrefillTimePerToken)/float64(usual.PrefillTimePerToken), 0.01, "what an earlier incarnation said is forgotten")
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0} {
		var s speed
		s.report(odd, start)
		for range 100 {
			s.learn(odd)
		}
		require.GreaterOrEqual(t, s.at(start), minFactor)
		require.LessOrEqual(t, s.at(start), maxFactor)
	}
}

// TestSpeedScalesAllTimes checks that prefill, steps and plain requests are expected to take
// as much longer as the endpoint says.
func TestSpeedScalesAllTimes(t *testing.T) {
	l := New()
	for i := range 100 {
		l.steps.observe("llm", 10, 200*time.Millisecond, 1+i%5, 0, start)
	}
	plain := Query{ID: "e", Service: "calls", Slots: 6}
	model, calls := candidate(t, l, query(10, 11), start), candidate(t, l, plain, start)
	l.ReportSpeed("e", 0, 200, start)
	slowModel, slowCalls := candidate(t, l, query(10, 11), start), candidate(t, l, plain, start)
	require.Equal(t, 2*model.PrefillTimePerToken, slowModel.PrefillTimePerToken)
	require.InDelta(t, 2*model.TimePerOutput, slowModel.TimePerOutput, 10)
	require.Equal(t, 2*calls.ServiceTime, slowCalls.ServiceTime)
	req := l.Begin("e", 0, job(10, 11), start)
	require.Equal(t, 2*defaultPrefill(10_000), candidate(t, l, query(20, 21), start).QueuedPrefill)
	req.End(Abandoned, start)
	l.RecordGrant("e", 0, job(10, 11), start)
	coordinated := query(20, 21)
	coordinated.Coordinated = true
	require.Equal(t, 2*defaultPrefill(10_000), candidate(t, l, coordinated, start).QueuedPrefill)
}

// TestEqualEndpointsAreTakenForEqual guards against noise of responses that moves requests
// between endpoints of equal speed.
func TestEqualEndpointsAreTakenForEqual(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 0))
	var s speed
	for range 5000 {
		s.learn(0.5 + random.Float64())
		require.InDelta(t, 1, s.at(start), 0.02)
	}
	for range 200 {
		s.learn(3)
	}
	require.InDelta(t, 3/noiseFactor, s.at(start), 0.1)
}

// unevenService plays a plain service whose endpoints differ in speed, for good and for some
// hundred milliseconds each, and returns how many of its requests were in time. Endpoints
// report their speed if reports is set, and speed is learned if learns is. demand is relative
// to what they could do if none was slow; they can do somewhat more than half.
func unevenService(demand float64, reports, learns bool) (inTime, arrivals int) {
	const endpoints, slots, work, objective = 6, 6, 40 * time.Millisecond, 150 * time.Millisecond
	random := rand.New(rand.NewPCG(9, 0))
	l := New()
	type request struct {
		end time.Time
		req *ActiveRequest
	}
	inFlight := make([][]request, endpoints)
	load := make([]float64, endpoints)
	now, nextChange := start, start
	for now.Before(at(40 * time.Second)) {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(work) / (endpoints * slots) / demand))
		if !now.Before(nextChange) {
			for i := range load {
				load[i] = []float64{1, 1, 1, 2.5}[random.IntN(4)]
			}
			nextChange = now.Add(400 * time.Millisecond)
		}
		var candidates []placement.Candidate
		for i := range endpoints {
			kept := inFlight[i][:0]
			for _, r := range inFlight[i] {
				if r.end.After(now) {
					kept = append(kept, r)
					continue
				}
				if !learns {
					r.req.foundSlot = false
				}
				r.req.End(Succeeded, r.end)
				if reports {
					l.ReportSpeed(fmt.Sprint(i), 0, int(100*load[i]), r.end)
				}
			}
			inFlight[i] = kept
			c, _ := l.Candidate(Query{ID: fmt.Sprint(i), Service: "calls", Slots: slots}, now)
			c.Rank = random.Uint64()
			candidates = append(candidates, c)
		}
		arrivals++
		d := placement.Decide(placement.Request{TimeToObjective: objective, TimeToDeadline: time.Second}, candidates)
		if d.Kind != placement.Serve {
			continue
		}
		var i int
		_, _ = fmt.Sscan(d.Candidate.ID, &i)
		factor := load[i]
		if i%3 == 0 {
			factor *= 2
		}
		begin := now
		if n := len(inFlight[i]) - slots; n >= 0 {
			ends := make([]time.Time, 0, len(inFlight[i]))
			for _, r := range inFlight[i] {
				ends = append(ends, r.end)
			}
			begin = ends[n]
		}
		end := begin.Add(scale(work, factor))
		inFlight[i] = append(inFlight[i], request{end, l.Begin(d.Candidate.ID, 0, Job{Service: "calls"}, now)})
		if end.Sub(now) <= objective {
			inTime++
		}
	}
	return inTime, arrivals
}

// TestUnevenEndpointsGetWhatTheyCanDo guards against slow endpoints that get as much as fast
// ones and answer late.
func TestUnevenEndpointsGetWhatTheyCanDo(t *testing.T) {
	for _, demand := range []float64{0.3, 0.4} {
		without, arrivals := unevenService(demand, false, false)
		learned, _ := unevenService(demand, false, true)
		reported, _ := unevenService(demand, true, false)
		both, _ := unevenService(demand, true, true)
		t.Logf("demand %.1f, in time of %d: %d as before, %d by reports, %d by what is learned, %d by both", demand, arrivals, without, reported, learned, both)
		require.Greater(t, reported, without)
		require.Greater(t, learned, without)
		require.Greater(t, both, reported)
	}
}

// TestEngineIsSlowRelativeToOthers checks that a slow engine is known by the steps of its
// streams, and guards against engines that all count as slow because steps take longer than
// the learned line says, as in the first seconds of a peak.
func TestEngineIsSlowRelativeToOthers(t *testing.T) {
	l := New()
	random := rand.New(rand.NewPCG(5, 0))
	now := start
	play := func(rounds int, step time.Duration) {
		for range rounds * 4 {
			i, perOutput := random.IntN(4), step
			if i == 0 {
				perOutput *= 2
			}
			req := l.Begin(strconv.Itoa(i), 0, Job{Service: "llm", PromptTokens: 10, OutputTokens: 10, Streamed: true}, now)
			for range 6 {
				req.RecordOutput(now)
				now = now.Add(perOutput)
			}
			req.End(Succeeded, now)
		}
	}
	factor := func(id string) (f float64) {
		l.withAccount(id, 0, func(a *account) { f = a.speed.at(now) })
		return f
	}
	play(100, 20*time.Millisecond)
	play(30, 35*time.Millisecond)
	require.Greater(t, factor("0"), 1.3)
	for _, id := range []string{"1", "2", "3"} {
		require.InDelta(t, 1, factor(id), 0.1)
	}
}
