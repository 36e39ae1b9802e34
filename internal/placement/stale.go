package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// In a large fleet all gateways see about the same state of the endpoints,
// about a second old. If each chose the endpoint with the lowest cost, all
// would send to the same one until the next update and then avoid it together.
// With a stale view the decision is therefore split in two. How much of its
// demand a region admits depends on its mean prefill utilization, which changes
// slowly; each request gets a randomized admission limit, so that the admitted
// share falls gradually as utilization rises. Which endpoint serves the request
// depends on rank alone, unless that endpoint is utilized much more than the
// others of its region.
//
// This covers peak load of large fleets, where some regions have more demand
// than they can serve while others have capacity to spare.

const (
	// admitAllUtilization is the mean prefill utilization of a region up to
	// which all requests of the highest priority are admitted. From there the
	// admitted share falls to zero over admissionBand. Each lower priority
	// level starts earlier, see Request.reserve.
	admitAllUtilization = 0.7
	admissionBand       = 0.4
	// remoteLimitShare is the share of the admission limit up to which a region
	// takes requests of other regions: its state is known with an even longer
	// delay, and the gateways of several regions act on the same view.
	// remoteLimitShareRefused applies once the local coordinators have refused
	// the request: coordinators in the other region then refuse what they have
	// no capacity for.
	remoteLimitShare        = 0.75
	remoteLimitShareRefused = 0.95
	// maxUtilizationSkew is the ratio of an endpoint's utilization to its
	// region's mean above which the next endpoint by rank serves. Utilization
	// up to minSkewedUtilization is never treated as skewed.
	maxUtilizationSkew   = 1.25
	minSkewedUtilization = 0.35
)

// decideStale chooses a candidate when the load state is stale. medianFailures
// is the median failure rate of the candidates.
func decideStale(req Request, candidates []Candidate, medianFailures float64) Decision {
	limit := admitAllUtilization + admissionBand*(1-req.HashFraction) - req.reserve()
	if req.ResponseStarted || req.PromptTokens == 0 {
		limit = noUtilizationLimit
	}
	d := Decision{Kind: Refuse, Reason: Full, RetryAfter: minRetryAfter}
	var bestCost time.Duration
	regions := groupByRegion(candidates)
	localEngines := countLocalEngines(regions)
	for _, r := range regions {
		if r.remote && !r.canTakeOverflow(req, limit, localEngines) || !r.remote && req.LocalRefused || r.meanUtilization > limit {
			continue
		}
		c, late := r.firstSuitable(req)
		if c == nil {
			if late.reason != "" {
				d = late.earlierRefusal(d)
			}
			continue
		}
		firstOutput := estimateFirstOutput(req, c)
		if firstOutput > req.TimeToDeadline {
			d = soonerTooLate(d, req, firstOutput)
			continue
		}
		if cost := placementCost(req, c, firstOutput, medianFailures); d.Kind != Serve || cost < bestCost {
			d, bestCost = serve(req, c), cost
		}
	}
	return d
}

// countLocalEngines returns the number of candidates in the deciding gateway's
// region.
func countLocalEngines(regions []*regionCandidates) int {
	for _, r := range regions {
		if !r.remote {
			return len(r.candidates)
		}
	}
	return 0
}

// canTakeOverflow reports whether the request may go to this remote region. The
// region's utilization has to be below a share of the admission limit, and of
// the overflow only the fraction that fits its spare capacity is sent.
func (r *regionCandidates) canTakeOverflow(req Request, limit float64, localEngines int) bool {
	share := remoteLimitShare
	if req.LocalRefused {
		share = remoteLimitShareRefused
	}
	spare := float64(len(r.candidates)) * (share*limit - r.meanUtilization)
	_, secondFraction := math.Modf(req.HashFraction * secondFractionScale)
	return spare > 0 && secondFraction*maxExcessDemand*float64(localEngines) < spare
}

const (
	// maxExcessDemand is the overflow that a region is assumed to send, as a
	// share of its own capacity.
	maxExcessDemand = 0.35
	// secondFractionScale scales HashFraction so that the fractional part of
	// the product serves as a second, nearly independent fraction.
	secondFractionScale = 1 << 10
)

// noUtilizationLimit is a limit that no utilization reaches.
const noUtilizationLimit = 1e9

// soonerTooLate returns the TooLate refusal for a candidate whose first output
// takes firstOutput, unless d already serves the request or has a shorter
// estimate.
func soonerTooLate(d Decision, req Request, firstOutput time.Duration) Decision {
	if d.Kind == Serve || d.Reason == TooLate && d.Estimate <= firstOutput {
		return d
	}
	return Decision{Kind: Refuse, Reason: TooLate, Estimate: firstOutput, RetryAfter: max(firstOutput-req.TimeToDeadline, minRetryAfter)}
}

// regionCandidates holds the candidates of one region, the highest rank first.
type regionCandidates struct {
	remote          bool
	meanUtilization float64
	candidates      []*Candidate
}

// groupByRegion groups the candidates by region. Regions keep the order of
// their first candidates.
func groupByRegion(candidates []Candidate) []*regionCandidates {
	var out []*regionCandidates
	index := make(map[string]*regionCandidates)
	for i := range candidates {
		c := &candidates[i]
		r, ok := index[c.Region]
		if !ok {
			r = &regionCandidates{remote: c.Remote}
			index[c.Region] = r
			out = append(out, r)
		}
		r.candidates = append(r.candidates, c)
		r.meanUtilization += c.PrefillUtilization
	}
	for _, r := range out {
		r.meanUtilization /= float64(len(r.candidates))
		slices.SortFunc(r.candidates, func(a, b *Candidate) int { return cmp.Compare(b.Rank, a.Rank) })
	}
	return out
}

// firstSuitable returns the highest-ranked candidate with capacity that is
// neither utilized much more than its region nor queued for too long. Without
// one it returns the least utilized candidate with capacity, or nil if none has
// capacity. Candidates that the forecast rules out are skipped; late is the forecast for
// the first of them.
func (r *regionCandidates) firstSuitable(req Request) (suitable *Candidate, late forecast) {
	var leastUtilized *Candidate
	for _, c := range r.candidates {
		if !hasCapacity(req, c) {
			continue
		}
		if f := forecastFor(req, c, estimateFirstOutput(req, c)); f.reason != "" {
			if late.reason == "" {
				late = f
			}
			continue
		}
		if c.PrefillUtilization <= max(maxUtilizationSkew*r.meanUtilization, minSkewedUtilization) && c.QueuedPrefill <= maxQueuedPrefill(req, c) {
			return c, late
		}
		if leastUtilized == nil || c.PrefillUtilization < leastUtilized.PrefillUtilization {
			leastUtilized = c
		}
	}
	return leastUtilized, late
}

// maxQueuedPrefill returns the longest queue behind which the request still
// meets its objective.
func maxQueuedPrefill(req Request, c *Candidate) time.Duration {
	return max(req.TimeToObjective-c.RoundTrip-prefillTime(req, c), minQueueLimit)
}

// minQueueLimit is a queue of a few engine steps, which is always acceptable.
const minQueueLimit = 150 * time.Millisecond
