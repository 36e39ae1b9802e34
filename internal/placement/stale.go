package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// In a large fleet many gateways see the endpoints alike, as they were about a
// second ago. If each chose the endpoint that looks best, all would send to the
// same one until the next word, and then leave it alone together. So with a late
// view the two questions of a decision are kept apart. How much of the demand a
// region takes follows its mean use, which changes slowly, and each request is
// drawn a limit of its own for it, so that the share that is taken falls step by
// step. Which endpoint serves a request follows its rank alone, as long as that
// endpoint is not used far more than the others.
//
// This answers the load of large fleets at their peaks, where some regions have
// more demand than they can serve beside others with time to spare.

const (
	// takenUse is the mean use of a region's engines from which not all of the
	// most urgent requests are taken, lateBand how far it is from there to the use
	// at which none are. Each lower urgency begins useStep before.
	takenUse = 0.7
	lateBand = 0.4
	// lateFar is the share of the limit up to which requests of other regions are
	// taken: what is known of a region there is older still, and the gateways of
	// several regions see it alike. askedFar is the same where coordinators there
	// refuse what they have no room for.
	lateFar  = 0.75
	askedFar = 0.95
	// maxUneven is the use of an engine above the mean, as a factor, from which
	// the next one by rank serves. evenUse is a use that needs no evening out.
	maxUneven = 1.25
	evenUse   = 0.35
)

// decideLate chooses with a late view.
func decideLate(req Request, candidates []Candidate, usual float64) Decision {
	limit := takenUse + lateBand*(1-req.HashFraction) - useStep*float64(min(req.Priority, 2))
	if req.ResponseStarted || req.PromptTokens == 0 {
		limit = always
	}
	d := Decision{Kind: Refuse, Reason: Full, RetryAfter: shortRetry}
	var bestScore time.Duration
	regions := byRegion(candidates)
	own := ownEngines(regions)
	for _, r := range regions {
		if r.far && !r.mayHelp(req, limit, own) || !r.far && req.LocalRefused || r.meanUse > limit {
			continue
		}
		c := r.firstFit(req)
		if c == nil {
			continue
		}
		t := estimate(req, c)
		if t > req.TimeToDeadline {
			d = tooLate(d, req, t)
			continue
		}
		if s := score(req, c, t, usual); d.Kind != Serve || s < bestScore {
			d, bestScore = Decision{Kind: Serve, Candidate: *c, Estimate: t}, s
		}
	}
	return d
}

// ownEngines is the number of engines of the region that decides.
func ownEngines(regions []*region) int {
	for _, r := range regions {
		if !r.far {
			return len(r.candidates)
		}
	}
	return 0
}

// mayHelp says whether a request may go to another region: up to a share of the
// limit there, and no more of the requests than it has time to spare for.
func (r *region) mayHelp(req Request, limit float64, own int) bool {
	share := lateFar
	if req.LocalRefused {
		share = askedFar
	}
	spare := float64(len(r.candidates)) * (share*limit - r.meanUse)
	_, other := math.Modf(req.HashFraction * otherDraw)
	return spare > 0 && other*excess*float64(own) < spare
}

const (
	// excess is the share of the use of its own engines by which a region's demand
	// may exceed them, for which others have to have time.
	excess = 0.35
	// otherDraw makes a second draw of the first.
	otherDraw = 1 << 10
)

// always is a limit that no use reaches.
const always = 1e9

// tooLate is the refusal of a request that could begin after t at the soonest.
func tooLate(d Decision, req Request, t time.Duration) Decision {
	if d.Kind == Serve || d.Reason == TooLate && d.Estimate <= t {
		return d
	}
	return Decision{Kind: Refuse, Reason: TooLate, Estimate: t, RetryAfter: max(t-req.TimeToDeadline, shortRetry)}
}

// region is the candidates of one region, by rank.
type region struct {
	far        bool
	meanUse    float64
	candidates []*Candidate
}

// byRegion sorts the candidates into their regions, the order of which is that of
// their first candidates.
func byRegion(candidates []Candidate) []*region {
	var out []*region
	index := make(map[string]*region)
	for i := range candidates {
		c := &candidates[i]
		r, ok := index[c.Region]
		if !ok {
			r = &region{far: c.Remote}
			index[c.Region] = r
			out = append(out, r)
		}
		r.candidates = append(r.candidates, c)
		r.meanUse += c.PrefillUtilization
	}
	for _, r := range out {
		r.meanUse /= float64(len(r.candidates))
		slices.SortFunc(r.candidates, func(a, b *Candidate) int { return cmp.Compare(b.Rank, a.Rank) })
	}
	return out
}

// firstFit returns the first candidate by rank that is not used far more than
// the others; if there is none, the one that is used least. It is nil if none
// has room.
func (r *region) firstFit(req Request) *Candidate {
	var least *Candidate
	for _, c := range r.candidates {
		if !hasRoom(req, c) {
			continue
		}
		if c.PrefillUtilization <= max(maxUneven*r.meanUse, evenUse) && c.QueuedPrefill <= queueLimit(req, c) {
			return c
		}
		if least == nil || c.PrefillUtilization < least.PrefillUtilization {
			least = c
		}
	}
	return least
}

// queueLimit is the longest queue behind which a request still begins in time.
func queueLimit(req Request, c *Candidate) time.Duration {
	return max(req.TimeToObjective-c.RoundTrip-readTime(req, c), minQueue)
}

// minQueue is a queue that does no harm: a few steps of an engine.
const minQueue = 150 * time.Millisecond
