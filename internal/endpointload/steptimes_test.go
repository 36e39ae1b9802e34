package endpointload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// TestStepTimesAreALineOverTheRequests checks that the time of a step at loads that have not
// been seen yet follows from those that have, whatever share of time goes to prefill.
func TestStepTimesAreALineOverTheRequests(t *testing.T) {
	s := newStepTimes()
	random := rand.New(rand.NewPCG(1, 0))
	step := func(n int) time.Duration { return 20*time.Millisecond + time.Duration(n)*time.Millisecond }
	now := start
	for range 500 {
		n, prefill := 1+random.IntN(16), 0.8*random.Float64()
		elapsed := time.Duration(float64(10*step(n)) / (1 - prefill) * (0.8 + 0.4*random.Float64()))
		s.observe("llm", 10, elapsed, n, prefill, now)
	}
	for _, n := range []int{1, 8, 32, 64} {
		require.InEpsilon(t, step(n), s.timePerOutput("llm", n, 0, now), 0.15, n)
		require.InEpsilon(t, 2*step(n), s.timePerOutput("llm", n, 0.5, now), 0.15, n)
	}
	require.Zero(t, s.timePerOutput("other", 1, 0, now))
	require.Zero(t, s.timePerOutput("llm", 1, 0, now.Add(stepTTL+time.Second)), "requests are placed without a forecast, so that it is learned anew")
}

// TestOddObservationsOfSteps guards against forecasts from what no engine does: a stream
// that a slow caller or a frozen endpoint holds up, utilizations beyond 1 and below 0.
func TestOddObservationsOfSteps(t *testing.T) {
	s := newStepTimes()
	for i := range 200 {
		s.observe("llm", 10, 300*time.Millisecond, 5+i%4, 0, start)
	}
	before := s.timePerOutput("llm", 6, 0, start)
	for range 20 {
		s.observe("llm", 1, time.Hour, 6, 0, start)
	}
	require.Less(t, s.timePerOutput("llm", 6, 0, start), 2*before)
	for _, prefill := range []float64{-5, 1, 50, math.Inf(1)} {
		s.observe("llm", 10, 300*time.Millisecond, 6, prefill, start)
		got := s.timePerOutput("llm", 6, prefill, start)
		require.Positive(t, got)
		require.Less(t, got, 20*before)
	}
}

// TestLengthsAreLearnedFromHints checks the length that is expected with hints that are
// right, wrong by a factor of five, or absent.
func TestLengthsAreLearnedFromHints(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 0))
	learn := func(l *Tracker, class LengthClass, hint func(tokens int) int) {
		for range 600 {
			tokens := 90 + random.IntN(720)
			l.lengths.observe(Job{Streamed: true, Class: class, OutputTokens: hint(tokens)}, tokens/9, true)
		}
	}
	l := New()
	exact, noisy, none := LengthClass{Route: "a", Hinted: true}, LengthClass{Route: "b", Hinted: true}, LengthClass{Route: "c"}
	learn(l, exact, func(tokens int) int { return tokens })
	learn(l, noisy, func(tokens int) int { return max(int(float64(tokens)*math.Pow(5, 2*random.Float64()-1)), 1) })
	learn(l, none, func(int) int { return 400 })
	for _, tokens := range []int{90, 450, 810} {
		got := l.ExpectedLengths(exact, tokens, 0)
		require.InEpsilon(t, tokens/9, got.Outputs, 0.35, tokens)
		require.InEpsilon(t, tokens, got.Tokens, 0.35, tokens)
	}
	require.Less(t, l.ExpectedLengths(noisy, 4_000, 0).Outputs, 200, "a hint of five times the longest response")
	require.Greater(t, l.ExpectedLengths(noisy, 20, 0).Outputs, 20, "a hint of a fifth of the shortest response")
	require.InDelta(t, 80, l.ExpectedLengths(none, 400, 0).Outputs, 25, "nine tenths of the responses are shorter")
	require.LessOrEqual(t, l.ExpectedLengths(exact, 450, 180).Outputs, 26, "the caller's limit")
	require.Zero(t, l.ExpectedLengths(exact, 0, 0))
	require.Zero(t, l.ExpectedLengths(LengthClass{Route: "unknown"}, 450, 0))
}

// TestLengthsOfResponsesThatWereCutOff checks that a response that was ended before it was
// whole makes the expected length longer, never shorter.
func TestLengthsOfResponsesThatWereCutOff(t *testing.T) {
	l := New()
	job := Job{Streamed: true, OutputTokens: 100}
	for range 100 {
		l.lengths.observe(job, 50, true)
	}
	before := l.ExpectedLengths(job.Class, 100, 0).Outputs
	for range 100 {
		l.lengths.observe(job, 5, false)
	}
	require.Equal(t, before, l.ExpectedLengths(job.Class, 100, 0).Outputs)
	for range 100 {
		l.lengths.observe(job, 200, false)
	}
	require.Greater(t, l.ExpectedLengths(job.Class, 100, 0).Outputs, before)
}

// TestLengthClassesAreBounded guards against a configuration whose routes change all the
// time.
func TestLengthClassesAreBounded(t *testing.T) {
	l := New()
	for i := range 3 * maxLengthClasses {
		l.lengths.observe(Job{Streamed: true, OutputTokens: 1, Class: LengthClass{Route: fmt.Sprint(i)}}, 1, true)
	}
	require.LessOrEqual(t, len(l.lengths.classes), maxLengthClasses)
}

// TestSlackIsThatOfTheTightestResponse checks what a coordinator and a gateway know of how
// long the responses in flight can be held up.
func TestSlackIsThatOfTheTightestResponse(t *testing.T) {
	l := New()
	q := query(20, 21)
	require.False(t, candidate(t, l, q, start).HasSlack, "nothing has been learned")
	for i := range 100 {
		l.steps.observe("llm", 10, 200*time.Millisecond, 1+i%5, 0, start)
	}
	require.InDelta(t, 20*time.Millisecond, candidate(t, l, q, start).TimePerOutput, float64(time.Millisecond))
	require.False(t, candidate(t, l, q, start).HasSlack, "nothing is in flight")
	streamed := Job{Service: "llm", PromptTokens: 10, Streamed: true, Lengths: Lengths{Outputs: 100}, Deadline: at(3 * time.Second)}
	req := l.Begin("e", 0, streamed, start)
	req.RecordOutput(start)
	c := candidate(t, l, q, at(time.Millisecond))
	require.True(t, c.HasSlack)
	require.InDelta(t, 870*time.Millisecond, c.Slack, float64(100*time.Millisecond), "95 percent of 3 s less 99 outputs of 20 ms")
	hopelessJob := streamed
	hopelessJob.Deadline = at(time.Second)
	other := l.Begin("e", 0, hopelessJob, start)
	other.RecordOutput(start)
	require.InDelta(t, c.Slack, candidate(t, l, q, at(time.Millisecond)).Slack, float64(100*time.Millisecond), "it can't be saved")
	other.End(Abandoned, at(time.Second))
	req.End(Succeeded, at(time.Second))
	require.False(t, candidate(t, l, q, at(time.Second)).HasSlack)
	for _, outputs := range []int{-5, 0, math.MaxInt64} {
		streamed.Lengths.Outputs = outputs
		l.RecordGrant("e", 0, streamed, at(time.Second))
	}
	q.Coordinated = true
	c = candidate(t, l, q, at(time.Second))
	require.False(t, c.HasSlack, "numbers that no response has are no reason to refuse others")
	streamed.Lengths.Outputs = 100
	l.RecordGrant("e", 0, streamed, at(time.Second))
	require.InDelta(t, -100*time.Millisecond, candidate(t, l, q, at(time.Second)).Slack, float64(100*time.Millisecond), "95 percent of 2 s less 100 outputs of 20 ms")
	require.Equal(t, placement.Refuse, placement.DecideGrant(placement.Request{
		PromptTokens: 10_000, Outputs: 10, TimeToObjective: time.Second, TimeToDeadline: time.Second, TimeToEnd: 10 * time.Second,
	}, []placement.Candidate{candidate(t, l, q, at(time.Second))}, time.Second).Kind)
}
