package experiment

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// Policy is a scheduler under comparison.
type Policy struct {
	Name   string
	Health datastore.HealthOptions
	// Exact says that gateways share one queue a region, for the all-seeing
	// policy.
	Exact bool
	// AnnounceEvery is the time between a gateway's announcements of large
	// prefills to the region's others; 0 means that it makes none.
	AnnounceEvery time.Duration
	Decide        func(g *gateway, req *sched.Request, rnd uint64) sched.Decision
}

// Policies returns the policies in the order of the table.
func Policies() []Policy {
	return []Policy{
		{Name: "round-robin", Health: datastore.DefaultHealthOptions(), Decide: roundRobin},
		{Name: "least-load", Health: datastore.DefaultHealthOptions(), Decide: leastLoad},
		Product("previous", sched.BaselineOptions(), datastore.BaselineHealthOptions()),
		Product("ours-quiet", sched.DefaultOptions(), datastore.DefaultHealthOptions()),
		announcing(Product("ours", sched.DefaultOptions(), datastore.DefaultHealthOptions())),
		{Name: "all-seeing", Health: datastore.DefaultHealthOptions(), Exact: true, Decide: allSeeing(sched.New(exactOptions()))},
	}
}

// Product returns the product's scheduler under the given options.
func Product(name string, opts sched.Options, health datastore.HealthOptions) Policy {
	s := sched.New(opts)
	return Policy{Name: name, Health: health, Decide: func(g *gateway, req *sched.Request, rnd uint64) sched.Decision {
		return s.Decide(req, g.store.View(g.sim.now), rnd)
	}}
}

// announceEvery is the time between exchanges of the region's gateways.
const announceEvery = 250 * time.Millisecond

// announcing makes a policy's gateways tell each other of large prefills.
func announcing(p Policy) Policy {
	p.AnnounceEvery = announceEvery
	return p
}

// usable returns the local endpoints that a simple policy may pick.
func usable(g *gateway, req *sched.Request) []*sched.Endpoint {
	v := g.store.View(g.sim.now)
	var all, healthy []*sched.Endpoint
	for _, slot := range v.Groups[group].Endpoints {
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
	es := usable(g, req)
	if len(es) == 0 {
		return sched.Decision{Kind: sched.Refuse, Reason: sched.ReasonNoEndpoint}
	}
	g.turn++
	return sched.Decision{Kind: sched.Serve, Endpoint: es[g.turn%len(es)].ID}
}

// leastLoad picks the least reported number of requests.
func leastLoad(g *gateway, req *sched.Request, rnd uint64) sched.Decision {
	es := usable(g, req)
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

// allSeeing decides by the engines' exact state in every region. A region is
// worth its best engine's estimate and the network.
func allSeeing(s *sched.Scheduler) func(*gateway, *sched.Request, uint64) sched.Decision {
	return func(g *gateway, req *sched.Request, rnd uint64) sched.Decision {
		local := *req
		local.ForwardsLeft = 0
		here := s.Decide(&local, exactView(g, g.region), rnd)
		if req.ForwardsLeft == 0 {
			return here
		}
		away, region := bestExactAway(s, g, &local, rnd)
		if region == nil {
			return here
		}
		if here.Kind != sched.Serve && here.Reason != sched.ReasonDeadline || here.EstimatedTTFT-away > exactMargin(g) {
			return sched.Decision{Kind: sched.Forward, Region: region.name, EstimatedTTFT: away, Reason: sched.ReasonOtherRegionFaster}
		}
		return here
	}
}

// exactMargin is the margin that the product's scheduler asks for.
func exactMargin(g *gateway) time.Duration {
	r := g.sim.dep.Routing
	return time.Duration(float64(r.ForwardMargin) * (1 + r.Weights.ForwardShare/r.Weights.TailLatency))
}

func bestExactAway(s *sched.Scheduler, g *gateway, req *sched.Request, rnd uint64) (time.Duration, *region) {
	var best time.Duration
	var where *region
	link := g.sim.dep.Link
	for _, r := range g.sim.regions {
		if r == g.region || !req.PermittedRegions[r.name] || !g.sim.reachable(g.region.index, r.index) {
			continue
		}
		d := s.Decide(req, exactView(g, r), rnd)
		if d.Kind != sched.Serve {
			continue
		}
		bytes := float64(req.PromptTokens * bytesPerToken)
		t := d.EstimatedTTFT + 2*link.OneWayDelay.AsDuration() + time.Duration(bytes*8/(link.MegabitsPerSecond*1e6)*float64(time.Second))
		if where == nil || t < best {
			best, where = t, r
		}
	}
	return best, where
}

// exactView is a view of a region without lag.
func exactView(g *gateway, r *region) *sched.View {
	now := g.sim.now
	v := &sched.View{Now: now, Region: r.name, Gateways: 1, OrdinalCount: len(r.engines), PrefixIndex: exactCache{r}}
	gv := &sched.GroupView{CostPerMillionTokens: 1}
	for i, e := range r.engines {
		if e.down || e.silent {
			continue
		}
		e.advance()
		x := e.model.CurrentLoad(now)
		gv.Endpoints = append(gv.Endpoints, sched.NewEndpointRef(&sched.Endpoint{
			ID: e.id, Group: group, Region: r.name, ReportAt: now, Running: x.Running, Waiting: x.Waiting,
			QueuedPrefillTokens: x.QueuedPrefillTokens, PrefillRate: x.PrefillRate, DecodeRate: x.DecodeRate,
			MaxBatch: g.sim.dep.Engine.MaxBatch, BacklogTokens: float64(x.QueuedPrefillTokens + e.pendingTokens),
			BacklogAt: now, SentSinceReport: e.pending, Ordinal: i, MaxConcurrent: g.sim.dep.MaxConcurrent, RTT: 2 * engineDelay,
		}))
	}
	v.Groups = map[string]*sched.GroupView{group: gv}
	return v
}

// exactCache is the true content of the engines' caches.
type exactCache struct{ r *region }

// Match implements sched.PrefixIndex.
func (x exactCache) Match(prefix []uint64, depth []int) {
	for i, e := range x.r.engines {
		depth[i] = e.model.CachedTokens(prefix) / sched.TokensPerBlock
	}
}
