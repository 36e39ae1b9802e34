package pace

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The model: callers send requests at random times, each is placed at the endpoint with
// the shortest expected wait, and endpoints serve them by slots, with a queue. A policy
// says which endpoints may get a request.

// modelEndpoint is one endpoint of a model.
type modelEndpoint struct {
	id          string
	slots       int
	service     time.Duration
	incarnation int64
	// running holds the requests in the slots, queue those that wait; served counts the
	// responses of this incarnation.
	running, queue []*modelRequest
	served         int
	// startedAt is when the endpoint last started or recovered.
	startedAt                 time.Duration
	downUntil, ejectedUntil   time.Duration
	maxQueue                  int
	crashes, refusals, placed int

	// slowdown multiplies the service time; nil for 1. crashAbove is the number of requests
	// in flight above which the endpoint ends; nil for never. reported is the load that the
	// endpoint reports; nil for the true one.
	slowdown   func(e *modelEndpoint, age time.Duration) float64
	crashAbove func(age time.Duration) int
	reported   func(inFlight int) int
}

func (e *modelEndpoint) inFlight() int { return len(e.running) + len(e.queue) }

// expected returns the time to the response that placement expects.
func (e *modelEndpoint) expected() time.Duration {
	load := e.inFlight()
	if e.reported != nil {
		load = e.reported(load)
	}
	wait := time.Duration(max(load+1-e.slots, 0)) * e.service / time.Duration(e.slots)
	return e.service + wait
}

type modelRequest struct {
	arrived, sent time.Duration
	expected      time.Duration
	incarnation   int64
	tries         int
	done          bool
	// gateway is the policy of the gateway that received the request.
	gateway policy
}

// policy decides which endpoints may get a request of one gateway, and learns from
// responses.
type policy interface {
	begin(e *modelEndpoint, cause Cause, now time.Duration)
	// room reports whether the endpoint may get a request, mayExceed whether it may if no
	// other can.
	room(e *modelEndpoint, now time.Duration) bool
	mayExceed(e *modelEndpoint, now time.Duration) bool
	// sent and ended count a request of this gateway. record records what one of this
	// gateway (isOwn) or of another showed.
	sent(e *modelEndpoint)
	ended(e *modelEndpoint)
	record(e *modelEndpoint, s Sample, isOwn bool, now time.Duration)
}

// result counts what callers got.
type result struct{ inTime, late, refused, failed int }

func (r result) total() int { return r.inTime + r.late + r.refused + r.failed }

func (r result) String() string {
	return fmt.Sprintf("in time %.1f %% (late %d, refused %d, failed %d of %d)", 100*r.share(), r.late, r.refused, r.failed, r.total())
}

func (r *result) add(o result) {
	r.inTime += o.inTime
	r.late += o.late
	r.refused += o.refused
	r.failed += o.failed
}

func (r result) share() float64 { return float64(r.inTime) / float64(r.total()) }

type modelEvent struct {
	at  time.Duration
	seq int
	run func(now time.Duration)
}

type modelEvents []modelEvent

func (h modelEvents) Len() int { return len(h) }
func (h modelEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h modelEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *modelEvents) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *modelEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// model is one run. Requests that arrive after measureFrom count.
type model struct {
	endpoints   []*modelEndpoint
	gateways    []policy
	seed        uint64
	perSecond   float64
	objective   time.Duration
	deadline    time.Duration
	length      time.Duration
	measureFrom time.Duration

	// arrivals and choices are random sources of their own, so that all policies meet the
	// same arrivals.
	arrivals, choices *rand.Rand
	events            modelEvents
	seq               int
	result            result
}

func (m *model) at(at time.Duration, run func(now time.Duration)) {
	m.seq++
	heap.Push(&m.events, modelEvent{at: at, seq: m.seq, run: run})
}

func (m *model) run() result {
	m.arrivals, m.choices = rand.New(rand.NewPCG(m.seed, 1)), rand.New(rand.NewPCG(m.seed, 2))
	m.at(0, m.arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		e.run(e.at)
	}
	return m.result
}

func (m *model) arrive(now time.Duration) {
	if now >= m.length {
		return
	}
	m.place(&modelRequest{arrived: now, gateway: m.gateways[m.choices.IntN(len(m.gateways))]}, now)
	m.at(now+time.Duration(m.arrivals.ExpFloat64()/m.perSecond*float64(time.Second)), m.arrive)
}

// begin tells all gateways of an endpoint that starts or recovers.
func (m *model) begin(e *modelEndpoint, cause Cause, now time.Duration) {
	for _, g := range m.gateways {
		g.begin(e, cause, now)
	}
}

// record tells all gateways what a request showed.
func (m *model) record(r *modelRequest, e *modelEndpoint, s Sample, now time.Duration) {
	r.gateway.ended(e)
	for _, g := range m.gateways {
		g.record(e, s, g == r.gateway, now)
	}
}

// count counts what the caller of a request got.
func (m *model) count(r *modelRequest, n *int) {
	if r.done {
		return
	}
	r.done = true
	if r.arrived < m.measureFrom {
		return
	}
	*n++
}

// place sends a request to the endpoint with the shortest expected wait among those with
// room; failing that, among those that may be sent more.
func (m *model) place(r *modelRequest, now time.Duration) {
	for _, may := range []func(*modelEndpoint, time.Duration) bool{r.gateway.room, r.gateway.mayExceed} {
		var best *modelEndpoint
		first := m.choices.IntN(len(m.endpoints))
		for i := range m.endpoints {
			e := m.endpoints[(first+i)%len(m.endpoints)]
			if now < e.ejectedUntil || !may(e, now) || r.arrived+m.deadline < now+e.expected() {
				continue
			}
			if best == nil || e.cost() < best.cost() {
				best = e
			}
		}
		if best != nil && (best.expected() <= r.arrived+m.objective-now || !m.anyIdle(r.gateway, now)) {
			m.send(r, best, now)
			return
		}
	}
	m.count(r, &m.result.refused)
}

// anyIdle reports whether an endpoint without room would be expected to answer at once.
func (m *model) anyIdle(p policy, now time.Duration) bool {
	return slices.ContainsFunc(m.endpoints, func(e *modelEndpoint) bool {
		return now >= e.ejectedUntil && !p.room(e, now) && p.mayExceed(e, now) && e.expected() <= e.service
	})
}

func (e *modelEndpoint) cost() time.Duration {
	return e.expected() + time.Duration(e.inFlight())*time.Millisecond
}

func (m *model) send(r *modelRequest, e *modelEndpoint, now time.Duration) {
	e.placed++
	r.gateway.sent(e)
	r.sent, r.expected, r.incarnation = now, e.expected(), e.incarnation
	s := Sample{Expected: r.expected, Objective: r.arrived + m.objective - now}
	switch {
	case now < e.downUntil:
		s.Result = Unreachable
		e.ejectedUntil = now + 500*time.Millisecond
		m.record(r, e, s, now)
		m.begin(e, Recovered, now)
		m.place(r, now)
	case e.maxQueue > 0 && len(e.queue) >= e.maxQueue:
		e.refusals++
		s.Result = Refused
		m.record(r, e, s, now)
		if r.tries++; r.tries >= 2 {
			m.count(r, &m.result.refused)
			return
		}
		m.place(r, now)
	default:
		e.queue = append(e.queue, r)
		m.serve(e, now)
		if e.crashAbove != nil && e.inFlight() > e.crashAbove(now-e.startedAt) {
			m.crash(e, now)
		}
	}
}

func (m *model) crash(e *modelEndpoint, now time.Duration) {
	lost := append(e.running, e.queue...)
	for _, r := range lost {
		m.record(r, e, Sample{Expected: r.expected, Actual: now - r.sent, Result: Unreachable}, now)
		m.count(r, &m.result.failed)
	}
	e.running, e.queue, e.served = nil, nil, 0
	e.incarnation++
	e.crashes++
	e.downUntil, e.startedAt = now+time.Second, now+time.Second
	e.ejectedUntil = e.downUntil
	m.begin(e, Started, now+time.Second)
}

func (m *model) serve(e *modelEndpoint, now time.Duration) {
	for len(e.running) < e.slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
		took := e.service
		if e.slowdown != nil {
			took = time.Duration(float64(took) * e.slowdown(e, now-e.startedAt))
		}
		m.at(now+took, func(now time.Duration) { m.finish(e, r, now) })
	}
}

func (m *model) finish(e *modelEndpoint, r *modelRequest, now time.Duration) {
	if r.incarnation != e.incarnation {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(x *modelRequest) bool { return x == r })
	e.served++
	m.record(r, e, Sample{Expected: r.expected, Actual: now - r.sent, Objective: r.arrived + m.objective - r.sent}, now)
	if now-r.arrived <= m.objective {
		m.count(r, &m.result.inTime)
	} else {
		m.count(r, &m.result.late)
	}
	m.serve(e, now)
}
