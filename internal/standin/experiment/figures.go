package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// Result holds the measurements of one run. Requests that arrive during the
// warm-up count only in FailedAttempts, the inversions, WastedShare,
// TokensPerInTimeResponse, GoodputBySecond and Trace.
type Result struct {
	Deployment string
	Scenario   string
	Policy     string
	Gateways   int
	Requests   int
	TTFT       Percentiles
	// TokenIntervalP95 is the 95th percentile of the time between two tokens of a
	// response.
	TokenIntervalP95 time.Duration
	// ForwardedShare is the number of forwards to another region per request,
	// InTimeShare the share of requests whose complete response came within the
	// deadline, WastedShare the share of computed tokens that belong to no such
	// response.
	ForwardedShare float64
	InTimeShare    float64
	WastedShare    float64
	// TokensPerInTimeResponse is the number of tokens computed, prefill and decode,
	// per response within its deadline.
	TokensPerInTimeResponse float64
	// Refusals counts the refusals that callers received, those before a retry
	// included.
	Refusals       map[failure.Code]int
	FailedAttempts int
	// CallsInPauses counts the calls that reached an engine half a second or more after
	// it had asked their gateway for a pause, and before the end of that.
	CallsInPauses int
	// SameQueueInversions and OtherQueueInversions count dispatches while a call of
	// higher priority waited in the same queue or in the queue of another gateway
	// of the region.
	SameQueueInversions  int
	OtherQueueInversions int
	// Recovery is the time from the end of the burst until goodput stays at 95% or
	// more; it is negative if goodput doesn't recover within the run, and 0 in
	// scenarios without a burst.
	Recovery time.Duration
	// GoodputBySecond is, by second of arrival, the share of requests whose
	// complete response came within the deadline.
	GoodputBySecond []float64
	// Trace has a record of every first token, in simulation order.
	Trace []TracePoint
}

// Percentiles are the percentiles of a set of durations.
type Percentiles struct{ P50, P95, P99 time.Duration }

// recorder collects the measurements of one run.
type recorder struct {
	scenario             Scenario
	ttft                 []time.Duration
	tokenIntervals       *hdrhistogram.Histogram
	requests             int
	forwarded            int
	inTime               int
	usefulTokens         int
	refusals             map[failure.Code]int
	failedAttempts       int
	callsInPauses        int
	announcements        int
	sameQueueInversions  int
	otherQueueInversions int
	// arrivalsBySecond and inTimeBySecond count requests and responses within the
	// deadline, by the request's second of arrival.
	arrivalsBySecond []int
	inTimeBySecond   []int
	trace            []TracePoint
}

// Range, in microseconds, and significant digits of the histogram of token
// intervals.
const (
	minTokenIntervalMicros = 1
	maxTokenIntervalMicros = 60_000_000
	tokenIntervalDigits    = 3
)

func newRecorder(sc Scenario) *recorder {
	n := int(sc.Duration/time.Second) + 1
	return &recorder{
		scenario: sc, tokenIntervals: hdrhistogram.New(minTokenIntervalMicros, maxTokenIntervalMicros, tokenIntervalDigits),
		refusals:         make(map[failure.Code]int),
		arrivalsBySecond: make([]int, n), inTimeBySecond: make([]int, n),
	}
}

// isMeasured reports whether the request arrived after the warm-up.
func (rec *recorder) isMeasured(c *caller) bool { return c.arrival.at >= rec.scenario.WarmUp }

func (rec *recorder) recordArrival(c *caller) {
	rec.arrivalsBySecond[c.arrival.at/time.Second]++
	if rec.isMeasured(c) {
		rec.requests++
	}
}

func (rec *recorder) recordFirstToken(c *caller, d time.Duration) {
	if rec.isMeasured(c) {
		rec.ttft = append(rec.ttft, d)
	}
}

func (rec *recorder) recordTokenInterval(c *caller, d time.Duration) {
	if rec.isMeasured(c) {
		_ = rec.tokenIntervals.RecordValue(min(max(d.Microseconds(), minTokenIntervalMicros), maxTokenIntervalMicros))
	}
}

func (rec *recorder) recordFinished(c *caller, last *call, inTime bool) {
	if !inTime {
		return
	}
	rec.inTimeBySecond[c.arrival.at/time.Second]++
	rec.usefulTokens += c.arrival.promptTokens - last.cachedTokens + c.arrival.outputTokens
	if rec.isMeasured(c) {
		rec.inTime++
	}
}

func (rec *recorder) recordForward(c *call) {
	if rec.isMeasured(c.caller) {
		rec.forwarded++
	}
}

func (rec *recorder) recordRefusal(c *caller, code failure.Code) {
	if rec.isMeasured(c) {
		rec.refusals[code]++
	}
}

// recordLost records nothing: a request without a complete response lowers
// InTimeShare because recordFinished doesn't count it.
func (rec *recorder) recordLost(*caller) {}

func (rec *recorder) recordFailedAttempt() { rec.failedAttempts++ }

func (rec *recorder) recordInversion(sameQueue bool) {
	if sameQueue {
		rec.sameQueueInversions++
		return
	}
	rec.otherQueueInversions++
}

// result returns the measurements after the end of the run.
func (rec *recorder) result(s *simulation) Result {
	computedTokens := 0
	for _, e := range s.engines {
		w := e.model.Stats()
		computedTokens += w.PrefillTokens + w.DecodeTokens
	}
	out := Result{
		Deployment: s.deployment.Name, Scenario: s.scenario.Name, Policy: s.policy.Name, Gateways: len(s.gateways),
		Requests: rec.requests, TTFT: percentiles(rec.ttft), Refusals: rec.refusals, FailedAttempts: rec.failedAttempts, CallsInPauses: rec.callsInPauses,
		TokenIntervalP95: time.Duration(rec.tokenIntervals.ValueAtQuantile(95)) * time.Microsecond,
		ForwardedShare:   ratio(rec.forwarded, rec.requests), InTimeShare: ratio(rec.inTime, rec.requests),
		WastedShare:         max(0, 1-ratio(rec.usefulTokens, computedTokens)),
		SameQueueInversions: rec.sameQueueInversions, OtherQueueInversions: rec.otherQueueInversions,
	}
	inTimeTotal := 0
	for i := range rec.arrivalsBySecond {
		inTimeTotal += rec.inTimeBySecond[i]
		out.GoodputBySecond = append(out.GoodputBySecond, ratio(rec.inTimeBySecond[i], rec.arrivalsBySecond[i]))
	}
	out.TokensPerInTimeResponse = ratio(computedTokens, inTimeTotal)
	out.Trace = rec.trace
	out.Recovery = rec.recoveryTime()
	return out
}

// recoveryWindowSeconds is the length of the sliding window over which
// recoveryTime takes goodput.
const recoveryWindowSeconds = 5

// recoveryTime returns the time from the end of the burst to the first window from
// which on goodput stays at 95% or more, -1 if the last window is still below, and
// 0 without a burst.
func (rec *recorder) recoveryTime() time.Duration {
	if rec.scenario.BurstEnd == 0 {
		return 0
	}
	first := int(rec.scenario.BurstEnd / time.Second)
	last := int(rec.scenario.Duration/time.Second) - recoveryWindowSeconds
	for t := last; t >= first; t-- {
		arrivals, inTime := 0, 0
		for i := t; i < t+recoveryWindowSeconds; i++ {
			arrivals += rec.arrivalsBySecond[i]
			inTime += rec.inTimeBySecond[i]
		}
		if ratio(inTime, arrivals) >= 0.95 {
			continue
		}
		if t == last {
			return -1
		}
		return time.Duration(t+1-first) * time.Second
	}
	return 0
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// percentiles sorts d in place. Without values, all percentiles are 0.
func percentiles(d []time.Duration) Percentiles {
	if len(d) == 0 {
		return Percentiles{}
	}
	slices.Sort(d)
	at := func(q float64) time.Duration { return d[min(int(q*float64(len(d))), len(d)-1)] }
	return Percentiles{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
