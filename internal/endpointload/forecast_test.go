package endpointload

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// simEngine is an engine that prefills prompts one after another and generates one token
// for each running request in each step. While prompts wait, prefillShare of its time goes
// to prefill.
type simEngine struct {
	slots            int
	baseStep, perRun time.Duration
	prefillPerToken  time.Duration
	waiting, running []*simRequest
}

// simRequest is one request of the simulated load.
type simRequest struct {
	class    *simClass
	arrived  time.Time
	prefill  time.Duration
	tokens   int
	produced int
	active   *ActiveRequest
	firstAt  time.Time
}

// simClass is a kind of requests.
type simClass struct {
	share               float64
	prompt, tokens      int
	objective, deadline time.Duration
	priority            int

	arrivals, refused, cut, ended, inTime int
}

func (c *simClass) class() LengthClass {
	return LengthClass{Route: strconv.Itoa(c.prompt), Hinted: true}
}

const simTokensPerOutput = 9

// step returns the time of a step with the running requests.
func (e *simEngine) step() time.Duration {
	return e.baseStep + time.Duration(len(e.running))*e.perRun
}

// advance runs one step and the prefill before it, and returns the time it took.
func (e *simEngine) advance(now time.Time) time.Duration {
	step := e.step()
	took := time.Duration(0)
	if len(e.waiting) > 0 && len(e.running) < e.slots {
		budget := time.Duration(prefillShare / (1 - prefillShare) * float64(step))
		for budget > 0 && len(e.waiting) > 0 && len(e.running) < e.slots {
			r := e.waiting[0]
			part := min(budget, r.prefill)
			r.prefill -= part
			budget -= part
			took += part
			if r.prefill > 0 {
				break
			}
			e.waiting = e.waiting[1:]
			e.running = append(e.running, r)
		}
	}
	if len(e.running) == 0 {
		return max(took, time.Millisecond)
	}
	took += step
	end := now.Add(took)
	kept := e.running[:0]
	for _, r := range e.running {
		r.produced++
		if r.firstAt.IsZero() {
			r.firstAt = end
		}
		if r.produced%simTokensPerOutput == 1 || r.produced >= r.tokens {
			r.active.RecordOutput(end)
		}
		if r.produced < r.tokens {
			kept = append(kept, r)
			continue
		}
		r.class.ended++
		if r.firstAt.Sub(r.arrived) <= r.class.objective {
			r.class.inTime++
		}
		r.active.End(Succeeded, end)
	}
	e.running = kept
	return took
}

// expire ends the requests whose deadline has passed.
func (e *simEngine) expire(now time.Time) {
	for _, list := range []*[]*simRequest{&e.waiting, &e.running} {
		kept := (*list)[:0]
		for _, r := range *list {
			if now.Sub(r.arrived) < r.class.deadline {
				kept = append(kept, r)
				continue
			}
			r.class.cut++
			r.active.End(Abandoned, now)
		}
		*list = kept
	}
}

// forecastLoadTest plays long and short responses on one engine.
type forecastLoadTest struct {
	forecast bool
	// hintSpread is the factor by which hints are wrong: uniformly in the logarithm
	// between 1/hintSpread and hintSpread.
	hintSpread float64
	// calm and peak are the loads, relative to the engine's capacity, during the first
	// and the other part of the time.
	calm, peak float64
	// gateways is the number of gateways: a coordinator alone, or several of a region
	// without coordinators.
	gateways int
	// shortFlood leaves out the long responses during the second part.
	shortFlood bool
	// seed is that of the arrivals and hints.
	seed uint64
}

const (
	simCalm = 15 * time.Second
	simTime = 60 * time.Second
)

func (f forecastLoadTest) run() []*simClass {
	random := rand.New(rand.NewPCG(f.seed, 0))
	long := &simClass{share: 0.27, prompt: 6_610, tokens: 380, objective: 1200 * time.Millisecond, deadline: 12 * time.Second, priority: 1}
	short := &simClass{share: 0.73, prompt: 1_800, tokens: 27, objective: 800 * time.Millisecond, deadline: 3 * time.Second}
	e := &simEngine{slots: 64, baseStep: 3 * time.Millisecond, perRun: 150 * time.Microsecond, prefillPerToken: 11 * time.Microsecond}
	trackers := make([]*Tracker, f.gateways)
	for i := range trackers {
		trackers[i] = New()
	}
	// The engine's capacity is the rate at which prefill and generation with half of the
	// slots in use take all of its time.
	halfStep := (e.baseStep + time.Duration(e.slots/2)*e.perRun) / time.Duration(e.slots/2)
	var work float64
	for _, c := range []*simClass{long, short} {
		work += c.share * (time.Duration(c.prompt)*e.prefillPerToken + time.Duration(c.tokens)*halfStep).Seconds()
	}
	next, nextReport := start, start
	for now := start; now.Before(at(simTime)); now = now.Add(e.advance(now)) {
		e.expire(now)
		if !now.Before(nextReport) {
			exchangeReports(trackers, now)
			nextReport = now.Add(meshInterval)
		}
		for !next.After(now) {
			load := f.peak
			if next.Before(at(simCalm)) {
				load = f.calm
			}
			c := short
			if random.Float64() < long.share && (!f.shortFlood || next.Before(at(simCalm))) {
				c = long
			}
			f.arrive(e, trackers[random.IntN(f.gateways)], c, next, random)
			next = next.Add(time.Duration(random.ExpFloat64() * work / load * float64(time.Second)))
		}
	}
	return []*simClass{long, short}
}

// meshInterval is the time between the reports of the gateways of a small region.
const meshInterval = 150 * time.Millisecond

// exchangeReports tells all gateways of the loads of all others.
func exchangeReports(trackers []*Tracker, now time.Time) {
	for i, from := range trackers {
		loads := from.Loads(now)
		for j, to := range trackers {
			if i != j {
				to.ApplyGatewayLoads(strconv.Itoa(i), loads, now)
			}
		}
	}
}

// simResult sums up the classes of several runs.
type simResult struct{ arrivals, refused, cut, inTime int }

func (r *simResult) add(classes []*simClass) {
	for _, c := range classes {
		r.arrivals += c.arrivals
		r.refused += c.refused
		r.cut += c.cut
		r.inTime += c.inTime
	}
}

// arrive decides on one request as a coordinator does, or as one of several gateways.
func (f forecastLoadTest) arrive(e *simEngine, l *Tracker, c *simClass, now time.Time, random *rand.Rand) {
	c.arrivals++
	hint := max(int(float64(c.tokens)*math.Pow(f.hintSpread, 2*random.Float64()-1)), 1)
	req := placement.Request{
		PromptTokens: c.prompt, OutputTokens: hint, Priority: c.priority, TimeToObjective: c.objective, TimeToDeadline: c.objective,
	}
	lengths := l.ExpectedLengths(c.class(), hint, 0)
	if f.forecast {
		req.Outputs, req.LongOutputTokens, req.TimeToEnd = lengths.Outputs, lengths.Tokens, c.deadline
	}
	q := Query{ID: "e", Service: "llm", Priority: c.priority, Slots: e.slots, KVCapacity: 514_894, Coordinated: f.gateways == 1}
	candidate, _ := l.Candidate(q, now)
	d := placement.DecideGrant(req, []placement.Candidate{candidate}, c.objective)
	if f.gateways > 1 {
		d = placement.Decide(req, []placement.Candidate{candidate})
	}
	if d.Kind != placement.Serve {
		c.refused++
		return
	}
	job := Job{
		Service: "llm", PromptTokens: c.prompt, OutputTokens: hint, Priority: c.priority,
		Streamed: true, Class: c.class(), Deadline: now.Add(c.deadline),
	}
	if f.forecast {
		job.Lengths = lengths
	}
	if f.gateways == 1 {
		l.RecordGrant("e", 0, job, now)
	}
	r := &simRequest{class: c, arrived: now, prefill: time.Duration(c.prompt) * e.prefillPerToken, tokens: c.tokens, active: l.Begin("e", 0, job, now)}
	e.waiting = append(e.waiting, r)
}

// TestForecastKeepsAdmittedResponsesWhole guards against long responses that are admitted
// because they begin in time, and are cut off at their deadlines because the engine has too
// much to generate and to prefill meanwhile; with hints that are about right, and with hints
// that are wrong by a factor of five.
func TestForecastKeepsAdmittedResponsesWhole(t *testing.T) {
	for _, gateways := range []int{1, 8} {
		for _, spread := range []float64{1.2, 5} {
			for _, peak := range []float64{1.3, 2} {
				var without, with simResult
				for seed := range uint64(4) {
					f := forecastLoadTest{peak: peak, calm: 0.5, hintSpread: spread, seed: seed, gateways: gateways}
					without.add(f.run())
					f.forecast = true
					with.add(f.run())
				}
				t.Logf("%d gateways, hints wrong by %.1f, load %.1f: without %+v, with %+v", gateways, spread, peak, without, with)
				if gateways == 1 {
					require.Zero(t, with.cut)
				}
				require.LessOrEqual(t, 3*with.cut, 2*without.cut, "gateways without a coordinator protect their own requests only")
				require.Greater(t, with.inTime, without.inTime)
			}
		}
	}
}

// TestFloodOfShortRequestsSparesLongResponses guards against long responses in flight that
// miss their deadlines because short requests, each of which ends in time, fill the engine.
func TestFloodOfShortRequestsSparesLongResponses(t *testing.T) {
	var without, with simResult
	for seed := range uint64(4) {
		f := forecastLoadTest{peak: 2.5, calm: 0.9, hintSpread: 1.2, seed: seed, gateways: 1, shortFlood: true}
		without.add(f.run())
		f.forecast = true
		with.add(f.run())
	}
	t.Logf("without %+v, with %+v", without, with)
	require.Positive(t, without.cut)
	require.Zero(t, with.cut)
}

// TestForecastRefusesNothingInCalm guards against a forecast that refuses requests at loads
// at which all responses are whole without it.
func TestForecastRefusesNothingInCalm(t *testing.T) {
	for _, spread := range []float64{1.2, 5} {
		var without, with simResult
		for seed := range uint64(4) {
			f := forecastLoadTest{peak: 0.6, calm: 0.5, hintSpread: spread, seed: seed, gateways: 1}
			without.add(f.run())
			f.forecast = true
			with.add(f.run())
		}
		t.Logf("hints wrong by %.1f: without %+v, with %+v", spread, without, with)
		require.LessOrEqual(t, with.refused-without.refused, with.arrivals/1000)
		require.Zero(t, with.cut)
	}
}
