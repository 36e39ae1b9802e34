package experiment

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// Policy is a scheduling policy under comparison, with the health options of the
// gateways' data stores. Decide's rnd is a random number.
type Policy struct {
	Name   string
	Health datastore.HealthOptions
	// SharedQueue says that a region's gateways share one admission queue, as the
	// all-seeing policy needs.
	SharedQueue bool
	// AnnounceInterval is the time between a gateway's announcements of large
	// prefills to the region's other gateways; 0 turns them off.
	AnnounceInterval time.Duration
	// HeedsPauses says that gateways send nothing to engines that have asked for a pause.
	HeedsPauses bool
	Decide      func(g *gateway, req *sched.Request, rnd uint64) sched.Decision
}

// Policies returns all policies in the order in which tables show them.
func Policies() []Policy {
	return []Policy{
		{Name: "round-robin", Health: datastore.DefaultHealthOptions(), Decide: roundRobin},
		{Name: "least-load", Health: datastore.DefaultHealthOptions(), Decide: leastLoad},
		ProductPolicy("previous", sched.BaselineOptions(), datastore.BaselineHealthOptions()),
		ProductPolicy("ours-quiet", sched.DefaultOptions(), datastore.DefaultHealthOptions()),
		withPauses(withAnnouncements(ProductPolicy("ours", sched.DefaultOptions(), datastore.DefaultHealthOptions()))),
		{Name: "all-seeing", Health: datastore.DefaultHealthOptions(), SharedQueue: true, HeedsPauses: true, Decide: allSeeing(sched.New(exactOptions()))},
	}
}

// ProductPolicy returns a policy that runs the product's scheduler with the given
// options on the gateway's own view, without announcements.
func ProductPolicy(name string, opts sched.Options, health datastore.HealthOptions) Policy {
	s := sched.New(opts)
	return Policy{Name: name, Health: health, Decide: func(g *gateway, req *sched.Request, rnd uint64) sched.Decision {
		return s.Decide(req, g.store.View(g.sim.now), rnd)
	}}
}

// announceInterval is the interval of announcements between a region's gateways.
const announceInterval = 250 * time.Millisecond

// withAnnouncements returns p with announcements of large prefills turned on.
func withAnnouncements(p Policy) Policy {
	p.AnnounceInterval = announceInterval
	return p
}

// withPauses returns p with pauses of engines heeded.
func withPauses(p Policy) Policy {
	p.HeedsPauses = true
	return p
}

// candidateEndpoints returns the local endpoints that the policies without the
// product's scheduler may pick, without leaving and excluded ones: those that
// aren't ejected, or all if every one is.
func candidateEndpoints(g *gateway, req *sched.Request) []*sched.Endpoint {
	v := g.store.View(g.sim.now)
	var all, healthy []*sched.Endpoint
	for _, slot := range v.Groups[groupName].Endpoints {
		e := slot.Load()
		if e.Leaving || req.ExcludedEndpoints[e.ID] || !req.PermittedRegions[v.Region] {
			continue
		}
		all = append(all, e)
		if e.Health != sched.Ejected {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return all
}

func roundRobin(g *gateway, req *sched.Request, _ uint64) sched.Decision {
	es := candidateEndpoints(g, req)
	if len(es) == 0 {
		return sched.Decision{Kind: sched.Refuse, Reason: sched.ReasonNoEndpoint}
	}
	g.roundRobinCount++
	return sched.Decision{Kind: sched.Serve, Endpoint: es[g.roundRobinCount%len(es)].ID}
}

// leastLoad picks the endpoint with the fewest running and waiting requests by its
// last report, beginning at a random one.
func leastLoad(g *gateway, req *sched.Request, rnd uint64) sched.Decision {
	es := candidateEndpoints(g, req)
	if len(es) == 0 {
		return sched.Decision{Kind: sched.Refuse, Reason: sched.ReasonNoEndpoint}
	}
	best := es[rnd%uint64(len(es))]
	for _, e := range es {
		if e.Running+e.Waiting < best.Running+best.Waiting {
			best = e
		}
	}
	return sched.Decision{Kind: sched.Serve, Endpoint: best.ID}
}

func exactOptions() sched.Options {
	o := sched.DefaultOptions()
	o.SpreadTies = false
	o.BiasCorrection = false
	return o
}

// allSeeing returns a policy that decides by the exact state of the engines in
// every region. A remote region is rated by the estimate for its best engine plus
// the time on the network.
func allSeeing(s *sched.Scheduler) func(*gateway, *sched.Request, uint64) sched.Decision {
	return func(g *gateway, req *sched.Request, rnd uint64) sched.Decision {
		localReq := *req
		localReq.ForwardsLeft = 0
		localDecision := s.Decide(&localReq, exactView(g, g.region), rnd)
		if req.ForwardsLeft == 0 {
			return localDecision
		}
		remoteTTFT, region := bestOtherRegion(s, g, &localReq, rnd)
		if region == nil {
			return localDecision
		}
		if localDecision.Kind != sched.Serve && localDecision.Reason != sched.ReasonDeadline || localDecision.EstimatedTTFT-remoteTTFT > forwardMargin(g) {
			return sched.Decision{Kind: sched.Forward, Region: region.name, EstimatedTTFT: remoteTTFT, Reason: sched.ReasonOtherRegionFaster}
		}
		return localDecision
	}
}

// forwardMargin returns how much sooner the first token has to come from another
// region for a forward; it follows the rule of the product's scheduler.
func forwardMargin(g *gateway) time.Duration {
	r := g.sim.deployment.Routing
	return time.Duration(float64(r.ForwardMargin) * (1 + r.Weights.ForwardShare/r.Weights.TailLatency))
}

// bestOtherRegion returns the reachable and permitted region with the shortest
// estimated time to first token, network included. The region is nil if none can
// serve the request.
func bestOtherRegion(s *sched.Scheduler, g *gateway, req *sched.Request, rnd uint64) (time.Duration, *region) {
	var best time.Duration
	var bestRegion *region
	link := g.sim.deployment.Link
	for _, r := range g.sim.regions {
		if r == g.region || !req.PermittedRegions[r.name] || !g.sim.isReachable(g.region.index, r.index) {
			continue
		}
		d := s.Decide(req, exactView(g, r), rnd)
		if d.Kind != sched.Serve {
			continue
		}
		bytes := float64(req.PromptTokens * promptBytesPerToken)
		t := d.EstimatedTTFT + 2*link.OneWayDelay.AsDuration() + time.Duration(bytes*8/(link.MegabitsPerSecond*1e6)*float64(time.Second))
		if bestRegion == nil || t < best {
			best, bestRegion = t, r
		}
	}
	return best, bestRegion
}

// exactView returns a view of a region with the present state of its engines, in
// place of reported and estimated state.
func exactView(g *gateway, r *region) *sched.View {
	now := g.sim.now
	v := &sched.View{Now: now, Region: r.name, Gateways: 1, OrdinalCount: len(r.engines), PrefixIndex: exactPrefixIndex{r}}
	gv := &sched.GroupView{CostPerMillionTokens: 1}
	for i, e := range r.engines {
		if e.down || e.silent {
			continue
		}
		e.advance()
		x := e.model.CurrentLoad(now)
		gv.Endpoints = append(gv.Endpoints, sched.NewEndpointRef(&sched.Endpoint{
			ID: e.id, Group: groupName, Region: r.name, ReportAt: now, Running: x.Running, Waiting: x.Waiting,
			QueuedPrefillTokens: x.QueuedPrefillTokens, PrefillRate: x.PrefillRate, DecodeRate: x.DecodeRate,
			MaxBatch: g.sim.deployment.Engine.MaxBatch, BacklogTokens: float64(x.QueuedPrefillTokens + e.inTransitTokens),
			BacklogAt: now, SentSinceReport: e.inTransit, Ordinal: i, MaxConcurrent: g.sim.deployment.MaxConcurrent, RTT: 2 * engineOneWayDelay,
		}))
	}
	v.Groups = map[string]*sched.GroupView{groupName: gv}
	return v
}

// exactPrefixIndex looks prefixes up in the caches of the engines themselves.
type exactPrefixIndex struct{ region *region }

// Match implements sched.PrefixIndex.
func (x exactPrefixIndex) Match(prefix []uint64, depth []int) {
	for i, e := range x.region.engines {
		depth[i] = e.model.CachedTokens(prefix) / sched.TokensPerBlock
	}
}
