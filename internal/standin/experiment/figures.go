package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// Figures are the measures of one run.
type Figures struct {
	Deployment string
	Scenario   string
	Policy     string
	Gateways   int
	Requests   int
	TTFT       Percentiles
	// Gap95 is the 95th percentile of the time between tokens.
	Gap95 time.Duration
	// Away, Good, Wasted are shares, 0 to 1: of requests sent away, of requests
	// answered whole within their deadline, of computed tokens that were in no
	// such answer.
	Away   float64
	Good   float64
	Wasted float64
	// Cost is the tokens computed for each good answer.
	Cost     float64
	Refusals map[failure.Code]int
	Failures int
	// OwnInversions and OtherInversions count dispatches while a more important
	// call waited in the same gateway, and in another of the region.
	OwnInversions   int
	OtherInversions int
	// Recovery is the time from the end of the burst until goodput stays at
	// 95%; negative means that it never did.
	Recovery time.Duration
	// Series is the goodput in each second of arrival.
	Series []float64
	// Trace has every first token, in order.
	Trace []TracePoint
}

// Percentiles are percentiles of a time.
type Percentiles struct{ P50, P95, P99 time.Duration }

// collector gathers the figures of one run.
type collector struct {
	sc        Scenario
	ttft      []time.Duration
	gaps      *hdrhistogram.Histogram
	requests  int
	aways     int
	good      int
	useful    int
	refusals  map[failure.Code]int
	failures  int
	announced int
	own       int
	other     int
	// offered and served count requests and good answers by second of arrival.
	offered []int
	served  []int
	trace   []TracePoint
}

// Bounds of the histogram of gaps, in microseconds.
const (
	minGap    = 1
	maxGap    = 60_000_000
	gapDigits = 3
)

func newCollector(sc Scenario) *collector {
	n := int(sc.Length/time.Second) + 1
	return &collector{
		sc: sc, gaps: hdrhistogram.New(minGap, maxGap, gapDigits), refusals: make(map[failure.Code]int),
		offered: make([]int, n), served: make([]int, n),
	}
}

func (f *collector) measured(c *caller) bool { return c.arr.at >= f.sc.Warm }

func (f *collector) arrived(c *caller) {
	f.offered[c.arr.at/time.Second]++
	if f.measured(c) {
		f.requests++
	}
}

func (f *collector) firstToken(c *caller, d time.Duration) {
	if f.measured(c) {
		f.ttft = append(f.ttft, d)
	}
}

func (f *collector) gap(c *caller, d time.Duration) {
	if f.measured(c) {
		_ = f.gaps.RecordValue(min(max(d.Microseconds(), minGap), maxGap))
	}
}

func (f *collector) finished(c *caller, last *call, inTime bool) {
	if !inTime {
		return
	}
	f.served[c.arr.at/time.Second]++
	f.useful += c.arr.prompt - last.cached + c.arr.output
	if f.measured(c) {
		f.good++
	}
}

func (f *collector) away(c *call) {
	if f.measured(c.caller) {
		f.aways++
	}
}

func (f *collector) refused(c *caller, code failure.Code) {
	if f.measured(c) {
		f.refusals[code]++
	}
}

func (f *collector) lost(*caller) {}

func (f *collector) failure() { f.failures++ }

func (f *collector) inversion(own bool) {
	if own {
		f.own++
		return
	}
	f.other++
}

// figures sums up the run.
func (f *collector) figures(s *sim) Figures {
	total := 0
	for _, e := range s.engines {
		w := e.model.Stats()
		total += w.PrefillTokens + w.DecodeTokens
	}
	out := Figures{
		Deployment: s.dep.Name, Scenario: s.scenario.Name, Policy: s.policy.Name, Gateways: len(s.gateways),
		Requests: f.requests, TTFT: percentiles(f.ttft), Refusals: f.refusals, Failures: f.failures,
		Gap95: time.Duration(f.gaps.ValueAtQuantile(95)) * time.Microsecond,
		Away:  ratio(f.aways, f.requests), Good: ratio(f.good, f.requests),
		Wasted: max(0, 1-ratio(f.useful, total)), OwnInversions: f.own, OtherInversions: f.other,
	}
	all := 0
	for i := range f.offered {
		all += f.served[i]
		out.Series = append(out.Series, ratio(f.served[i], f.offered[i]))
	}
	out.Cost = ratio(total, all)
	out.Trace = f.trace
	out.Recovery = f.recovery()
	return out
}

// recoveryWindow smooths the goodput after a burst.
const recoveryWindow = 5

// recovery returns how long after the burst goodput stays at 95% for good.
func (f *collector) recovery() time.Duration {
	if f.sc.BurstEnd == 0 {
		return 0
	}
	first := int(f.sc.BurstEnd / time.Second)
	last := int(f.sc.Length/time.Second) - recoveryWindow
	for t := last; t >= first; t-- {
		offered, served := 0, 0
		for i := t; i < t+recoveryWindow; i++ {
			offered += f.offered[i]
			served += f.served[i]
		}
		if ratio(served, offered) >= 0.95 {
			continue
		}
		if t == last {
			return -1
		}
		return time.Duration(t+1-first) * time.Second
	}
	return 0
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

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
