package experiment

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// gateway is one simulated gateway: the product's data layer and admission
// with their own lagged state.
type gateway struct {
	sim    *sim
	region *region
	id     string
	store  *datastore.Store
	*admission
	// seen is the number of the last cache event of each engine.
	seen map[string]uint64
	// turn is the state of round robin.
	turn int
}

// admission is a controller and the calls in its queue.
type admission struct {
	ctl    *admit.Controller
	queued map[string]*call
}

func newAdmission(id string, s *sim) *admission {
	ctl := admit.New(id, admit.DefaultOptions())
	ctl.Configure(s.dep.Intent())
	return &admission{ctl: ctl, queued: make(map[string]*call)}
}

func newGateway(s *sim, r *region, id string) *gateway {
	g := &gateway{sim: s, region: r, id: id, seen: make(map[string]uint64)}
	g.store = datastore.New(datastore.Options{Region: r.name, Health: s.policy.Health})
	g.admission = newAdmission(id, s)
	return g
}

// setUp tells the gateway what the control plane would.
func (g *gateway) setUp() {
	if g.sim.policy.Exact && g != g.region.gateways[0] {
		g.admission = g.region.gateways[0].admission
	}
	g.store.Configure(g.sim.dep.Intent())
	ids := make([]string, len(g.region.gateways))
	for i, o := range g.region.gateways {
		ids[i] = o.id
	}
	g.ctl.SetGatewayIDs(ids)
	g.store.SetGatewayIDs(g.id, ids)
	for _, e := range g.region.engines {
		g.store.Upsert(datastore.EndpointInfo{ID: e.id, Incarnation: "1", Group: group, Region: g.region.name, RTT: 2 * engineDelay}, epoch)
	}
}

// poll reads the engines' load and cache events. The first gateways of a
// region poll the engines; the others hear of it later.
func (g *gateway) poll() {
	now := g.sim.now
	seen := now
	if g != g.region.gateways[0] {
		seen = now.Add(-gossipLag)
	}
	for _, e := range g.region.engines {
		if e.down || e.silent || seen.Before(epoch) {
			continue
		}
		e.advance()
		g.store.ApplyLoadReport(e.id, e.model.Report(seen), now)
		g.readCache(e, seen)
	}
	g.store.AdvanceHealth(now)
	g.pump()
}

func (g *gateway) readCache(e *engine, seen time.Time) {
	var events []datastore.CacheEvent
	for _, ev := range e.model.CacheEvents(g.seen[e.id], seen) {
		events = append(events, datastore.CacheEvent{Seq: ev.Seq, Op: datastore.CacheOp(ev.Op), Block: ev.Block})
		g.seen[e.id] = ev.Seq
	}
	g.store.ApplyCacheEvents(e.id, events, g.sim.now)
}

// summarise tells every reachable gateway of other regions about r.
func (s *sim) summarise(r *region) {
	groups := r.gateways[0].store.GroupSummaries(s.now)
	for _, o := range s.regions {
		if o == r || !s.reachable(r.index, o.index) {
			continue
		}
		s.after(s.dep.Link.OneWayDelay.AsDuration(), func() {
			for _, g := range o.gateways {
				g.store.ApplyRegionSummary(blackboard.RegionSummary{Region: r.name, AsOf: s.now, Groups: groups})
			}
		})
	}
}

// arrive takes a call from a caller or another region.
func (g *gateway) arrive(c *call) {
	v := g.ctl.Admit(c.item(), g.sim.now)
	c.admitted = v.Kind != admit.Refuse
	g.act(c, v)
	if v.Kind == admit.Dispatch {
		g.dispatch(c)
	}
}

// act follows a verdict of admission.
func (g *gateway) act(c *call, v admit.Verdict) {
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

// dispatch decides about a call and acts.
func (g *gateway) dispatch(c *call) {
	d := g.decide(c)
	if d.Kind == sched.Wait {
		g.act(c, g.ctl.Enqueue(c.item(), d.EstimatedTTFT, g.sim.now))
		return
	}
	g.execute(c, d)
}

// redispatch dispatches a call again, after those that are more important.
func (g *gateway) redispatch(c *call) {
	if g.ctl.MustWait(c.item()) {
		g.act(c, g.ctl.Enqueue(c.item(), 0, g.sim.now))
		return
	}
	g.dispatch(c)
}

func (g *gateway) decide(c *call) sched.Decision {
	c.req.TimeToDeadline = c.caller.deadline.Sub(g.sim.now)
	return g.sim.policy.Decide(g, &c.req, g.sim.rnd.Uint64())
}

func (g *gateway) execute(c *call, d sched.Decision) {
	switch d.Kind {
	case sched.Serve:
		g.serve(c, d)
	case sched.Forward:
		g.forward(c, d)
	default:
		c.refuse(codeOf(d.Reason), time.Second)
	}
}

func codeOf(r sched.Reason) failure.Code {
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
	e := s.byID[d.Endpoint]
	s.countInversions(g, c)
	c.engine, c.decision, c.sentAt = e, d, s.now
	c.attempt++
	c.attemptID = c.id + "/" + string(rune('a'+c.attempt))
	g.store.RecordSentWithEstimate(e.id, c.attemptID, c.req.PromptTokens, c.req.PrefixHashes, d.EstimatedTTFT, s.now)
	if c.parent == nil && c.attempt == 1 {
		g.store.RecordLocal(s.now)
	}
	uncached := max(c.req.PromptTokens-e.model.CachedTokens(c.req.PrefixHashes), 1)
	e.pending++
	e.pendingTokens += uncached
	s.after(engineDelay, func() {
		e.pending--
		e.pendingTokens -= uncached
		if !c.ended {
			e.submit(c)
		}
	})
}

// announce tells the region's other gateways of large prefills.
func (g *gateway) announce() {
	s := g.sim
	list := g.store.TakeAnnouncements(s.now)
	if len(list) == 0 {
		return
	}
	s.fig.announced += len(list)
	s.after(2*engineDelay, func() {
		for _, o := range g.region.gateways {
			if o != g {
				o.store.ApplyAnnouncements(list, s.now)
			}
		}
	})
}

// forward sends a call to another region.
func (g *gateway) forward(c *call, d sched.Decision) {
	s := g.sim
	to := s.regionNamed(d.Region)
	bytes := c.req.PromptTokens * bytesPerToken
	g.store.RecordForwardedPrefix(d.Region, c.req.PromptTokens, c.req.PrefixHashes, bytes+c.req.OutputBytes, s.now)
	s.fig.away(c)
	c.req.ForwardsLeft = 0
	child := c.newChild(to)
	if !s.reachable(g.region.index, to.index) {
		s.after(silenceLimit, func() { child.refuse(failure.CodeEndpointFailed, 0) })
		return
	}
	s.at(s.transfer(g.region.index, to.index, bytes), func() {
		if child.ended {
			return
		}
		if !s.reachable(g.region.index, to.index) {
			s.after(silenceLimit, func() { child.refuse(failure.CodeEndpointFailed, 0) })
			return
		}
		child.gw.arrive(child)
	})
}

func (s *sim) regionNamed(name string) *region {
	for _, r := range s.regions {
		if r.name == name {
			return r
		}
	}
	return nil
}

// pump lets waiting calls go while the scheduler finds a place.
func (g *gateway) pump() {
	for {
		item, ok, expired := g.ctl.Dequeue(group, g.sim.now)
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
		d := c.gw.decide(c)
		if d.Kind == sched.Wait {
			g.ctl.Requeue(item)
			return
		}
		delete(g.queued, item.ID)
		c.gw.execute(c, d)
	}
}

// countInversions counts dispatches while a more important call waits.
func (s *sim) countInversions(g *gateway, c *call) {
	for _, o := range g.region.gateways {
		top := -1
		for _, w := range o.queued {
			top = max(top, w.req.Priority)
		}
		if top <= c.req.Priority {
			continue
		}
		s.fig.inversion(o.admission == g.admission)
		return
	}
}
