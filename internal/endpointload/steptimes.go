package endpointload

import (
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// An engine generates one output for each running request in each of its steps. A step
// takes longer the more requests run, and prefill between the steps takes the rest of the
// time. The time of a step is learned for each service as a straight line over the number
// of requests, from streams that this gateway relays, with the time for prefill left out.
// It answers peaks in which engines run several times as many requests as usual.

const (
	// stepWindow is the time over which the outputs of a stream are counted for one
	// observation: tens of steps of a loaded engine.
	stepWindow = 400 * time.Millisecond
	// stepMemory is the number of observations in which the weight of one falls to
	// 1/e, and minStepObservations the number from which the line is used.
	stepMemory          = 400
	minStepObservations = 20
	// stepTTL is how long the line is used without observations. After that requests
	// are placed without a forecast, so that a line that refuses everything is learned
	// anew.
	stepTTL = 30 * time.Second
	// minStepVariance is the variance of the number of requests from which a slope can
	// be told from noise.
	minStepVariance = 2.0
	// maxStepRatio bounds an observation, as a multiple of what the line says: callers
	// that read slowly and frozen endpoints say nothing of a step.
	maxStepRatio = 3.0
	// excessRate is the weight of one observation in stepLine.excess, several times that
	// in an endpoint's factor.
	excessRate = 0.2
	// maxPrefillOfStep is the largest share of time that prefill takes from generation.
	maxPrefillOfStep = prefillShare
)

// stepLine is a straight line through observations of step times, by weighted least
// squares.
type stepLine struct {
	fit       line
	updatedAt time.Time
	// excess is the moving average of the time of all endpoints relative to the line.
	excess float64
}

// observe adds one observation: with n requests a step takes t seconds.
func (l *stepLine) observe(n, t float64, now time.Time) {
	if expected := l.at(n, now); expected > 0 {
		t = min(t, maxStepRatio*expected)
	}
	l.fit.add(n, t, stepMemory)
	l.updatedAt = now
}

// at returns the time of a step with n requests in seconds, 0 if unknown.
func (l *stepLine) at(n float64, now time.Time) float64 {
	if l.fit.weight < minStepObservations || now.Sub(l.updatedAt) > stepTTL {
		return 0
	}
	meanN, meanT := l.fit.means()
	slope := max(l.fit.slope(minStepVariance), 0)
	if meanN > 0 {
		// A step without requests takes no negative time.
		slope = min(slope, meanT/meanN)
	}
	return max(meanT+slope*(n-meanN), meanT/maxStepRatio)
}

// stepTimes holds the line of each service. It is safe for concurrent use.
type stepTimes struct {
	mu       sync.RWMutex
	services map[string]*stepLine
}

func newStepTimes() *stepTimes { return &stepTimes{services: make(map[string]*stepLine)} }

// observe learns from outputs that took elapsed while the endpoint had n requests and
// spent the given share of its time on prefill.
func (s *stepTimes) observe(service string, outputs int, elapsed time.Duration, n int, prefill float64, now time.Time) {
	t := elapsed.Seconds() / float64(outputs) * (1 - clampPrefill(prefill))
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.services[service]
	if !ok {
		l = &stepLine{}
		s.services[service] = l
	}
	l.observe(float64(n), t, now)
}

// relative returns how much longer an observation took than the latest ones of all
// endpoints, of which each took ratio times what the line says. A line that is off at the
// present load makes no endpoint slow.
func (s *stepTimes) relative(service string, ratio float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.services[service]
	if !ok {
		return 1
	}
	if l.excess == 0 {
		l.excess = 1
	}
	before := l.excess
	l.excess += excessRate * (min(ratio, maxStepRatio) - before)
	return ratio / before
}

// timePerOutput returns the time that an endpoint takes for each output of a response, 0
// if unknown.
func (s *stepTimes) timePerOutput(service string, n int, prefill float64, now time.Time) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.services[service]
	if !ok {
		return 0
	}
	return time.Duration(l.at(float64(n), now) / (1 - clampPrefill(prefill)) * float64(time.Second))
}

// clampPrefill returns the share of time that prefill takes from generation.
func clampPrefill(utilization float64) float64 { return min(max(utilization, 0), maxPrefillOfStep) }

// streamProgress is what an ActiveRequest has received of its stream. sampled is guarded
// by the lock of the endpoint's account.
type streamProgress struct {
	// outputs counts the outputs, and windowStart is when the one with the number
	// windowOutputs arrived, lastAt when the latest did.
	outputs, windowOutputs int
	windowStart, lastAt    time.Time
	sampled                streamSample
}

// streamSample is the progress of a stream at a time.
type streamSample struct {
	outputs int
	at      time.Time
}

// RecordOutput records an output of a stream, the first one included.
func (req *ActiveRequest) RecordOutput(now time.Time) {
	req.RecordFirstOutput(now)
	p := &req.progress
	p.outputs++
	p.lastAt = now
	if p.outputs == 1 {
		p.windowOutputs, p.windowStart = 1, now
	}
	if now.Sub(p.windowStart) >= stepWindow {
		req.observeSteps(now)
	}
}

// observeSteps ends the window of outputs and learns from it.
func (req *ActiveRequest) observeSteps(now time.Time) {
	p := &req.progress
	outputs, elapsed := p.outputs-p.windowOutputs, p.lastAt.Sub(p.windowStart)
	if outputs <= 0 {
		return
	}
	p.windowOutputs, p.windowStart = p.outputs, p.lastAt
	if req.job.Forwarded {
		return
	}
	t := req.tracker
	peerLoad := t.peerLoads.sum(req.endpointID, now)
	n, prefill := 0, 0.0
	req.withAccount(func(a *account) {
		p.sampled = streamSample{outputs: p.outputs, at: now}
		n = a.running + len(a.pending) + peerLoad.Running + peerLoad.Waiting
		if a.slots > 0 {
			n = min(n, a.slots)
		}
		recent := a.recentPrefillNow(now) + time.Duration(peerLoad.RecentPrefillMillis)*time.Millisecond
		prefill = recent.Seconds() / utilizationTimeConstant.Seconds()
		reported := a.speed.reportedNow(now)
		if expected := t.steps.timePerOutput(req.job.Service, n, prefill, now); expected > 0 {
			ratio := elapsed.Seconds() / float64(outputs) / expected.Seconds() / reported
			a.speed.learn(t.steps.relative(req.job.Service, ratio))
		}
		elapsed = scale(elapsed, 1/reported)
	})
	t.steps.observe(req.job.Service, outputs, elapsed, n, prefill, now)
}

// forecastLoad sets what a forecast needs to know of the endpoint.
func (t *Tracker) forecastLoad(a *account, c *placement.Candidate, q Query, now time.Time) {
	n := c.Running + c.Waiting
	if n < 0 || q.KVCapacity == 0 {
		return
	}
	if c.Slots > 0 {
		n = min(n, c.Slots-1)
	}
	factor := a.speed.at(now)
	c.TimePerOutput = scale(t.steps.timePerOutput(q.Service, n+1, c.PrefillUtilization, now), factor)
	if c.TimePerOutput <= 0 {
		return
	}
	f := slackForecast{perOutput: c.TimePerOutput, now: now}
	if q.Coordinated {
		f.perOutput, f.queue = scale(t.steps.timePerOutput(q.Service, n+1, 0, now), factor), time.Duration(float64(c.QueuedPrefill)/prefillShare)
	}
	for _, req := range a.streams {
		f.add(req.job.Deadline, req.remainingOutputs(c.TimePerOutput, now))
	}
	if q.Coordinated {
		a.grantedLoad.addSlack(&f, c.TimePerOutput)
	}
	c.Slack, c.HasSlack = f.slack, f.known
}

// remainingOutputs returns the number of outputs that are still to come. A response that
// has passed its expected length is expected to go on for a share of it.
func (req *ActiveRequest) remainingOutputs(perOutput time.Duration, now time.Time) float64 {
	expected := float64(req.job.Lengths.Outputs)
	if !req.responseStarted {
		return expected
	}
	from := req.progress.sampled
	if from.at.IsZero() {
		from = streamSample{outputs: 1, at: req.firstOutputAt}
	}
	done := float64(from.outputs) + float64(max(now.Sub(from.at), 0))/float64(perOutput)
	return max(expected-done, minRemaining*expected)
}

const (
	// minRemaining is the share of its expected length that a response in flight still
	// has to come at least.
	minRemaining = 0.05
	// hopeless is the multiple of the time to its deadline from which a response is not
	// protected any more. Refusing others for its sake would rarely save it.
	hopeless = 1.5
	// slackMargin is the share of the time to their deadlines that responses in flight
	// are to keep free, since forecasts of the generation are off.
	slackMargin = 0.05
)

// slackForecast finds the time for which the responses in flight can be held up. A
// coordinator counts what the endpoint has been given and no prompt that may come later: it
// holds each against the slack in turn. Other gateways don't know of the prompts that others
// send meanwhile, and expect prefill to go on as it is.
type slackForecast struct {
	// perOutput is the time of an output, queue that of the prefill that it leaves out.
	perOutput, queue time.Duration
	now              time.Time
	slack            time.Duration
	known            bool
}

// add takes one more response in flight into account.
func (f *slackForecast) add(deadline time.Time, outputs float64) {
	if deadline.IsZero() || outputs <= 0 {
		return
	}
	left := deadline.Sub(f.now)
	end := outputs*float64(f.perOutput) + float64(f.queue)
	if left <= 0 || end > hopeless*float64(left) {
		return
	}
	if slack := time.Duration((1-slackMargin)*float64(left)) - time.Duration(end); !f.known || slack < f.slack {
		f.slack, f.known = slack, true
	}
}
