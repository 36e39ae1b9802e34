package pace

import "time"

// noPace is today's behaviour after a cold start: all requests at once.
type noPace struct{}

func (noPace) begin(*modelEndpoint, Cause, time.Duration)         {}
func (noPace) room(*modelEndpoint, time.Duration) bool            { return true }
func (noPace) mayExceed(*modelEndpoint, time.Duration) bool       { return true }
func (noPace) sent(*modelEndpoint)                                {}
func (noPace) ended(*modelEndpoint)                               {}
func (noPace) record(*modelEndpoint, Sample, bool, time.Duration) {}

// fixedRamp is today's behaviour after a pause: one request in the first quarter of a
// second, and in each further one twice as many as before, for two seconds.
type fixedRamp struct {
	began   map[string]time.Duration
	perStep map[string]map[int]int
}

func newFixedRamp() *fixedRamp {
	return &fixedRamp{began: make(map[string]time.Duration), perStep: make(map[string]map[int]int)}
}

func (f *fixedRamp) begin(e *modelEndpoint, _ Cause, now time.Duration) {
	f.began[e.id], f.perStep[e.id] = now, make(map[int]int)
}

func (f *fixedRamp) room(e *modelEndpoint, now time.Duration) bool {
	began, ok := f.began[e.id]
	step := int((now - began) / (250 * time.Millisecond))
	return !ok || step >= 8 || e.placed-f.sentBefore(e, step) < 1<<max(step, 0)
}

// sentBefore returns how many requests the endpoint had got before the step.
func (f *fixedRamp) sentBefore(e *modelEndpoint, step int) int {
	sent := f.perStep[e.id]
	if _, ok := sent[step]; !ok {
		sent[step] = e.placed
	}
	return sent[step]
}

// mayExceed is false: a ramp refuses what it has no room for.
func (f *fixedRamp) mayExceed(*modelEndpoint, time.Duration) bool       { return false }
func (f *fixedRamp) sent(*modelEndpoint)                                {}
func (f *fixedRamp) ended(*modelEndpoint)                               {}
func (f *fixedRamp) record(*modelEndpoint, Sample, bool, time.Duration) {}

// byPace uses a Tracker, as the coordinator of the endpoints does, or one of several
// gateways that take their part of each window.
type byPace struct {
	tracker *Tracker
	// parts is the number of gateways, rank the place of this one among them, inFlight the
	// requests of this one.
	parts, rank int
	inFlight    map[string]int
	// isTold is set if gateways tell each other what requests show.
	isTold bool
	// allPaced is set if all endpoints of the model have windows.
	allPaced bool
}

// epoch is the time at which models start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (p *byPace) begin(e *modelEndpoint, cause Cause, now time.Duration) {
	p.tracker.Begin(e.id, e.incarnation, cause, epoch.Add(now))
}

func (p *byPace) room(e *modelEndpoint, now time.Duration) bool {
	return p.tracker.Room(e.id, e.incarnation, p.share(e), epoch.Add(now)) > 0
}

func (p *byPace) mayExceed(e *modelEndpoint, now time.Duration) bool {
	return p.tracker.MayExceed(e.id, e.incarnation, p.share(e), p.allPaced, epoch.Add(now))
}

// share returns the requests in flight at an endpoint as this gateway counts them against
// its part of the window.
func (p *byPace) share(e *modelEndpoint) int { return p.parts*p.inFlight[e.id] + p.rank }

func (p *byPace) sent(e *modelEndpoint)  { p.inFlight[e.id]++ }
func (p *byPace) ended(e *modelEndpoint) { p.inFlight[e.id]-- }

func (p *byPace) record(e *modelEndpoint, s Sample, isOwn bool, now time.Duration) {
	if !isOwn && !p.isTold {
		return
	}
	if !p.isTold {
		s.Count = p.parts
	}
	p.tracker.Record(e.id, e.incarnation, s, epoch.Add(now))
}
