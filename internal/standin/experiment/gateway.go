package experiment

import (
	"maps"
	"time"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// gateway is one simulated gateway: the product's data store and admission
// controller. Each gateway has its own state, which lags behind that of the
// engines.
type gateway struct {
	sim    *simulation
	region *region
	id     string
	store  *datastore.Store
	*admission
	// lastCacheSeq is the sequence number of the last cache event read from each
	// engine, by engine ID.
	lastCacheSeq map[string]uint64
	// pauses are those that engines have asked for; engines have one incarnation.
	pauses *backoff.Tracker[struct{}]
	// pausedAt is when each engine last asked for a pause that goes on until pausedUntil.
	pausedAt, pausedUntil map[string]time.Time
	// roundRobinCount is the number of decisions of the round-robin policy.
	roundRobinCount int
}

// admission is an admission controller and the calls in its queue, by call ID.
type admission struct {
	controller *admit.Controller
	queued     map[string]*call
}

func newAdmission(id string, s *simulation) *admission {
	ctl := admit.New(id, admit.DefaultOptions())
	ctl.Configure(s.deployment.Intent())
	return &admission{controller: ctl, queued: make(map[string]*call)}
}

func newGateway(s *simulation, r *region, id string) *gateway {
	g := &gateway{
		sim: s, region: r, id: id, lastCacheSeq: make(map[string]uint64), pauses: backoff.New[struct{}](),
		pausedAt: make(map[string]time.Time), pausedUntil: make(map[string]time.Time),
	}
	g.store = datastore.New(datastore.Options{Region: r.name, Health: s.policy.Health})
	g.admission = newAdmission(id, s)
	return g
}

// configure gives the gateway what it would learn from the control plane: the
// intent, the region's gateways and endpoints. Under a policy with a shared queue,
// the region's gateways use the admission of the first one.
func (g *gateway) configure() {
	if g.sim.policy.SharedQueue && g != g.region.gateways[0] {
		g.admission = g.region.gateways[0].admission
	}
	g.store.Configure(g.sim.deployment.Intent())
	ids := make([]string, len(g.region.gateways))
	for i, o := range g.region.gateways {
		ids[i] = o.id
	}
	g.controller.SetGatewayIDs(ids)
	g.store.SetGatewayIDs(g.id, ids)
	for _, e := range g.region.engines {
		g.store.Upsert(datastore.EndpointInfo{ID: e.id, Incarnation: "1", Group: groupName, Region: g.region.name, RTT: 2 * engineOneWayDelay}, epoch)
	}
}

// poll reads the load and cache events of the region's engines. The first gateway
// of a region sees their present state; the others get it relayed and see it
// relayedReportLag late.
func (g *gateway) poll() {
	now := g.sim.now
	reportTime := now
	if g != g.region.gateways[0] {
		reportTime = now.Add(-relayedReportLag)
	}
	for _, e := range g.region.engines {
		if e.down || e.silent || reportTime.Before(epoch) {
			continue
		}
		e.advance()
		g.store.ApplyLoadReport(e.id, e.model.Report(reportTime), now)
		g.pollCacheEvents(e, reportTime)
	}
	g.store.AdvanceHealth(now)
	g.dispatchQueued()
}

func (g *gateway) pollCacheEvents(e *engine, reportTime time.Time) {
	var events []datastore.CacheEvent
	for _, ev := range e.model.CacheEvents(g.lastCacheSeq[e.id], reportTime) {
		events = append(events, datastore.CacheEvent{Seq: ev.Seq, Op: datastore.CacheOp(ev.Op), Block: ev.Block})
		g.lastCacheSeq[e.id] = ev.Seq
	}
	g.store.ApplyCacheEvents(e.id, events, g.sim.now)
}

// sendRegionSummary sends the summary of r to all gateways of the regions that can
// be reached; it arrives after the link's delay.
func (s *simulation) sendRegionSummary(r *region) {
	groups := r.gateways[0].store.GroupSummaries(s.now)
	for _, o := range s.regions {
		if o == r || !s.isReachable(r.index, o.index) {
			continue
		}
		s.scheduleAfter(s.deployment.Link.OneWayDelay.AsDuration(), func() {
			for _, g := range o.gateways {
				g.store.ApplyRegionSummary(blackboard.RegionSummary{Region: r.name, AsOf: s.now, Groups: groups})
			}
		})
	}
}

// receive admits a call from a caller or from another region and dispatches it if
// it needn't wait.
func (g *gateway) receive(c *call) {
	v := g.controller.Admit(c.admissionRequest(), g.sim.now)
	c.admitted = v.Kind != admit.Refuse
	g.applyVerdict(c, v)
	if v.Kind == admit.Dispatch {
		g.dispatch(c)
	}
}

// applyVerdict queues or refuses the call, and refuses the queued call that was
// shed for it. It doesn't dispatch.
func (g *gateway) applyVerdict(c *call, v admit.Verdict) {
	if v.Shed != nil {
		if shed, ok := g.queued[v.Shed.ID]; ok {
			delete(g.queued, v.Shed.ID)
			shed.refuse(failure.CodeOverloaded, time.Second)
		}
	}
	switch v.Kind {
	case admit.Queue:
		g.queued[c.id] = c
	case admit.Refuse:
		c.refuse(v.Code, v.RetryAfter)
	}
}

// dispatch asks the policy for a decision and executes it. A call that has to
// wait is offered to the queue, which may refuse it.
func (g *gateway) dispatch(c *call) {
	d := g.decide(c)
	if d.Kind == sched.Wait {
		g.applyVerdict(c, g.controller.Enqueue(c.admissionRequest(), d.EstimatedTTFT, g.sim.now))
		return
	}
	g.execute(c, d)
}

// redispatch dispatches a call again after a failed attempt or forward, unless
// queued calls go first; then it is queued.
func (g *gateway) redispatch(c *call) {
	if g.controller.MustWait(c.admissionRequest()) {
		g.applyVerdict(c, g.controller.Enqueue(c.admissionRequest(), 0, g.sim.now))
		return
	}
	g.dispatch(c)
}

func (g *gateway) decide(c *call) sched.Decision {
	c.req.TimeToDeadline = c.caller.deadline.Sub(g.sim.now)
	if !g.sim.policy.HeedsPauses || g.pauses.IsEmpty() {
		return g.sim.policy.Decide(g, &c.req, g.sim.rng.Uint64())
	}
	req := c.req
	req.ExcludedEndpoints = maps.Clone(c.req.ExcludedEndpoints)
	g.excludePaused(&req)
	for {
		d := g.sim.policy.Decide(g, &req, g.sim.rng.Uint64())
		if d.Kind != sched.Serve || g.pauses.TryAdmit(d.Endpoint, struct{}{}, g.sim.now) {
			return d
		}
		req.ExcludedEndpoints[d.Endpoint] = true
	}
}

// excludePaused adds the engines of the region that get no requests now to the excluded
// endpoints of req. It returns the time until the first of them is back, 0 if there is
// none.
func (g *gateway) excludePaused(req *sched.Request) time.Duration {
	soonest := time.Duration(0)
	for _, e := range g.region.engines {
		if remaining := g.pauses.Remaining(e.id, struct{}{}, g.sim.now); remaining > 0 {
			req.ExcludedEndpoints[e.id] = true
			if soonest == 0 || remaining < soonest {
				soonest = remaining
			}
		}
	}
	return soonest
}

// retryAfter returns when a caller is to come back whose call found no endpoint.
func (g *gateway) retryAfter(c *call) time.Duration {
	req := sched.Request{ExcludedEndpoints: make(map[string]bool)}
	if soonest := g.excludePaused(&req); soonest > 0 && g.sim.policy.HeedsPauses {
		return backoff.ReturnAfter(soonest, c.id)
	}
	return time.Second
}

// recordPause records that an engine has turned a call away and asks for a pause.
func (g *gateway) recordPause(e *engine, pause time.Duration) {
	now := g.sim.now
	if until := now.Add(pause); !now.Before(g.pausedUntil[e.id]) {
		g.pausedAt[e.id], g.pausedUntil[e.id] = now, until
	}
	g.pauses.Record(e.id, struct{}{}, pause, now)
}

// pauseGrace is the time after a request for a pause within which calls may still arrive.
const pauseGrace = 500 * time.Millisecond

// isInPause reports whether the engine has asked this gateway for a pause so long ago that
// no call should reach it.
func (g *gateway) isInPause(e *engine) bool {
	return g.sim.now.Before(g.pausedUntil[e.id]) && g.sim.now.Sub(g.pausedAt[e.id]) > pauseGrace
}

func (g *gateway) execute(c *call, d sched.Decision) {
	switch d.Kind {
	case sched.Serve:
		g.serve(c, d)
	case sched.Forward:
		g.forward(c, d)
	case sched.Refuse:
		after := time.Second
		if d.Reason == sched.ReasonNoEndpoint {
			after = g.retryAfter(c)
		}
		c.refuse(refusalCode(d.Reason), after)
	default:
		c.refuse(refusalCode(d.Reason), time.Second)
	}
}

func refusalCode(r sched.Reason) failure.Code {
	switch r {
	case sched.ReasonDeadline:
		return failure.CodeDeadlineExceeded
	case sched.ReasonResidency:
		return failure.CodeResidencyNotPermitted
	case sched.ReasonNoEndpoint:
		return failure.CodeNoEndpoint
	default:
		return failure.CodeOverloaded
	}
}

func (g *gateway) serve(c *call, d sched.Decision) {
	s := g.sim
	e := s.enginesByID[d.Endpoint]
	s.countInversions(g, c)
	c.engine, c.decision, c.sentAt = e, d, s.now
	c.attempt++
	c.attemptID = c.id + "/" + string(rune('a'+c.attempt))
	g.store.RecordSentWithEstimate(e.id, c.attemptID, c.req.PromptTokens, c.req.PrefixHashes, d.EstimatedTTFT, s.now)
	if c.parent == nil && c.attempt == 1 {
		g.store.RecordLocal(s.now)
	}
	uncached := max(c.req.PromptTokens-e.model.CachedTokens(c.req.PrefixHashes), 1)
	e.inTransit++
	e.inTransitTokens += uncached
	s.scheduleAfter(engineOneWayDelay, func() {
		e.inTransit--
		e.inTransitTokens -= uncached
		if !c.ended {
			e.submit(c)
		}
	})
}

// announce sends the gateway's pending announcements of large prefills to the
// region's other gateways.
func (g *gateway) announce() {
	s := g.sim
	announcements := g.store.TakeAnnouncements(s.now)
	if len(announcements) == 0 {
		return
	}
	s.recorder.announcements += len(announcements)
	s.scheduleAfter(2*engineOneWayDelay, func() {
		for _, o := range g.region.gateways {
			if o != g {
				o.store.ApplyAnnouncements(announcements, s.now)
			}
		}
	})
}

// forward sends a call to another region. If the regions are partitioned when it
// is sent or when it would arrive, the call fails after silenceTimeout.
func (g *gateway) forward(c *call, d sched.Decision) {
	s := g.sim
	to := s.regionNamed(d.Region)
	bytes := c.req.PromptTokens * promptBytesPerToken
	g.store.RecordForwardedPrefix(d.Region, c.req.PromptTokens, c.req.PrefixHashes, bytes+c.req.OutputBytes, s.now)
	s.recorder.recordForward(c)
	c.req.ForwardsLeft = 0
	child := c.newChild(to)
	if !s.isReachable(g.region.index, to.index) {
		s.scheduleAfter(silenceTimeout, func() { child.refuse(failure.CodeEndpointFailed, 0) })
		return
	}
	s.scheduleAt(s.reserveLink(g.region.index, to.index, bytes), func() {
		if child.ended {
			return
		}
		if !s.isReachable(g.region.index, to.index) {
			s.scheduleAfter(silenceTimeout, func() { child.refuse(failure.CodeEndpointFailed, 0) })
			return
		}
		child.gateway.receive(child)
	})
}

func (s *simulation) regionNamed(name string) *region {
	for _, r := range s.regions {
		if r.name == name {
			return r
		}
	}
	return nil
}

// dispatchQueued dispatches calls from the queue until it is empty or the policy
// lets one wait. It refuses those whose deadline has passed.
func (g *gateway) dispatchQueued() {
	for {
		item, ok, expired := g.controller.Dequeue(groupName, g.sim.now)
		for _, x := range expired {
			if c, found := g.queued[x.ID]; found {
				delete(g.queued, x.ID)
				c.refuse(failure.CodeDeadlineExceeded, time.Second)
			}
		}
		if !ok {
			return
		}
		c, found := g.queued[item.ID]
		if !found {
			continue
		}
		d := c.gateway.decide(c)
		if d.Kind == sched.Wait {
			g.controller.Requeue(item)
			return
		}
		delete(g.queued, item.ID)
		c.gateway.execute(c, d)
	}
}

// countInversions counts the dispatch of c at g as an inversion if a call of higher
// priority, which is a greater number here, waits in a queue of the region. One
// dispatch counts once, for the first such queue in the order of gateways.
func (s *simulation) countInversions(g *gateway, c *call) {
	for _, o := range g.region.gateways {
		top := -1
		for _, w := range o.queued {
			top = max(top, w.req.Priority)
		}
		if top <= c.req.Priority {
			continue
		}
		s.recorder.recordInversion(o.admission == g.admission)
		return
	}
}
