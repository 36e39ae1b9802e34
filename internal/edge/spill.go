package edge

import (
	"math"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var requestsSpilled = telemetry.NewCounter("route_spilled", "requests", "route requests sent to a less utilized region before the local one is full")

// spills holds the share of its own demand that this region sends away, by service. It is
// safe for concurrent use.
type spills struct {
	mu        sync.Mutex
	byService map[string]placement.Spill
}

// maxSpillServices bounds what is kept when services come and go.
const maxSpillServices = 256

// next returns the share of a service after a look at the loads of the regions.
func (s *spills) next(service string, local placement.RegionLoad, remote []placement.RegionLoad, now time.Time) placement.Spill {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil || len(s.byService) >= maxSpillServices {
		s.byService = make(map[string]placement.Spill)
	}
	spill := s.byService[service].Next(local, remote, now)
	s.byService[service] = spill
	return spill
}

// spill places the request in a less utilized region if it belongs to the share of the
// demand that this region sends away, and if the response is expected there within the
// latency objective. ok is false otherwise.
func (s *session) spill(req placement.Request, candidates []placement.Candidate, now time.Time) (d placement.Decision, ok bool) {
	if !s.edge.RegionSpill || s.forwarded != nil || req.ResponseStarted || req.PromptTokens == 0 {
		return placement.Decision{}, false
	}
	local, remote := regionLoads(candidates)
	if local.Endpoints == 0 || len(remote) == 0 {
		return placement.Decision{}, false
	}
	spill := s.edge.spills.next(s.service.Name, local, remote, now)
	if !spill.Sends(req.HashFraction) {
		return placement.Decision{}, false
	}
	_, fraction := math.Modf(req.HashFraction * spillFractionScale)
	region, ok := placement.SpillRegion(local, remote, fraction)
	if !ok {
		return placement.Decision{}, false
	}
	req.LocalRefused = true
	d = placement.Decide(req, inRegion(candidates, region))
	if d.Kind != placement.Serve || d.Estimate > req.TimeToObjective {
		return placement.Decision{}, false
	}
	requestsSpilled.Inc()
	s.log("spilled", "region", region, "share_pct", int(percentFactor*spill.Share), "local_use_pct", int(percentFactor*local.Utilization))
	return d, true
}

// spillFractionScale makes a second fraction, nearly independent of the first one, of the
// digits behind it.
const spillFractionScale = 1 << 12

// regionLoads returns the loads of the local and the other regions.
func regionLoads(candidates []placement.Candidate) (local placement.RegionLoad, remote []placement.RegionLoad) {
	index := make(map[string]int)
	for i := range candidates {
		c := &candidates[i]
		load := &local
		if c.Remote {
			n, ok := index[c.Region]
			if !ok {
				n = len(remote)
				index[c.Region] = n
				remote = append(remote, placement.RegionLoad{Region: c.Region})
			}
			load = &remote[n]
		}
		load.Endpoints++
		load.Utilization += c.PrefillUtilization
	}
	local.Utilization /= float64(max(local.Endpoints, 1))
	for i := range remote {
		remote[i].Utilization /= float64(remote[i].Endpoints)
	}
	return local, remote
}

// inRegion returns the candidates of a region.
func inRegion(candidates []placement.Candidate, region string) []placement.Candidate {
	var out []placement.Candidate
	for i := range candidates {
		if candidates[i].Region == region {
			out = append(out, candidates[i])
		}
	}
	return out
}
