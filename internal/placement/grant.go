package placement

import "time"

// In a large region, requests are admitted to an endpoint by its coordinator, a
// gateway that knows the current queues of the endpoints it coordinates, and
// only of those. The gateway that received the request asks for its
// highest-ranked endpoints in turn; requests that share a prompt prefix have
// the same ranking, so that their overflow also meets at the same endpoints.
// Other regions come next. A grant requires that the response starts well
// within the latency objective, which spreads a popular prefix before its
// prefix home is full and spreads a busy region's requests before its queues are
// long. A request without such a grant goes to the endpoint that can still
// start it in time, if there is one.
//
// Without coordinators, gateways of a large fleet that decide by the same stale
// load sums overload single endpoints at peak load while others in the region
// are idle.

// MaxGrantRequests is the number of endpoints whose coordinators are asked for
// one request. The least loaded of three endpoints chosen at random is rarely
// as loaded as the fullest one of the region.
const MaxGrantRequests = 3

// GrantLimit returns the longest estimated time to the first output that a
// grant request accepts while other coordinators or regions can still be asked.
// attempt counts the grant requests of one request from 0. Attempts after the
// first get a lower limit, because away from its prefix home the whole prompt
// has to be prefilled.
func GrantLimit(req Request, prefillPerToken time.Duration, attempt int) time.Duration {
	if req.ResponseStarted || req.TimeToObjective <= 0 {
		return req.TimeToDeadline
	}
	prefill := time.Duration(float64(req.PromptTokens) * float64(prefillPerToken) / prefillShare)
	limit := prefill + time.Duration(lowCostShare*float64(max(req.TimeToObjective-prefill, 0)))
	if attempt > 0 {
		limit = time.Duration(laterGrantLimitShare * float64(limit))
	}
	return min(limit, req.TimeToDeadline)
}

// laterGrantLimitShare is the limit of later attempts as a share of the first
// attempt's limit. It leaves out the share of the objective that a second
// prefill of the shared prefix takes for a typical long prompt, plus a margin.
const laterGrantLimitShare = 0.6

// FinalGrantLimit returns the limit for the last grant request of a request
// that found no other endpoint. A request that would miss its objective is
// better refused: in a full region it would make the requests queued behind it
// late as well.
func FinalGrantLimit(req Request) time.Duration {
	if req.ResponseStarted || req.TimeToObjective <= 0 {
		return req.TimeToDeadline
	}
	return min(req.TimeToObjective, req.TimeToDeadline)
}

// DecideGrant decides, for the coordinator of the candidates, whether one of
// them serves the request. It accepts an estimate of up to limit plus the cost
// of prefilling the candidate's cached prefix elsewhere.
func DecideGrant(req Request, candidates []Candidate, limit time.Duration) Decision {
	req.StaleView = false
	d := Decide(req, candidates)
	if d.Kind != Serve {
		d.RetryAfter = max(d.RetryAfter, backlogTime(req, candidates))
		return d
	}
	cacheBonus := time.Duration(prefillWeight * float64(time.Duration(min(d.Candidate.CachedTokens, req.SharedTokens))*d.Candidate.PrefillTimePerToken))
	if d.Estimate > limit+cacheBonus {
		return Decision{Kind: Refuse, Reason: TooLate, Estimate: d.Estimate, RetryAfter: max(backlogTime(req, candidates), minRetryAfter)}
	}
	return d
}

// backlogTime returns the time until the first of the candidates has a slot for a plain
// request, 0 for model requests.
func backlogTime(req Request, candidates []Candidate) time.Duration {
	shortest := time.Duration(-1)
	if req.PromptTokens > 0 {
		return 0
	}
	for i := range candidates {
		c := &candidates[i]
		if wait := slotWait(c, c.ServiceTime); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(shortest, 0)
}
