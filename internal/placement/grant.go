package placement

import "time"

// In a large region a request's place is granted by an endpoint's coordinator,
// which knows the queues of the endpoints that it coordinates without delay, and
// of no others. The endpoint at which requests with the same parts meet is asked
// for first, then the next ones by rank, so that the overflow of a part meets as
// well, then other regions. Each has to begin well within the objective, so that a
// hot prompt part spreads before its home is full, and a busy region before its
// queues are long. What finds no such place goes to where it still begins in time,
// if there is one.
//
// This answers the peaks of large fleets: gateways that choose by the same late
// sums fill single engines while others of their region idle.

// MaxGrantRequests is the number of endpoints whose coordinators are asked for one request:
// of three at random, one is hardly ever as full as the fullest of its region.
const MaxGrantRequests = 3

// GrantLimit returns the longest estimate with which a place is taken while
// others are still to be asked, here and in other regions. n counts the
// questions from 0 on: away from the home of its parts a prompt is read anew, so
// that the second and third coordinator have to do better.
func GrantLimit(req Request, tokenTime time.Duration, n int) time.Duration {
	if req.ResponseStarted || req.TimeToObjective <= 0 {
		return req.TimeToDeadline
	}
	read := time.Duration(float64(req.PromptTokens) * float64(tokenTime) / interleave)
	within := read + time.Duration(easyShare*float64(max(req.TimeToObjective-read, 0)))
	if n > 0 {
		within = time.Duration(otherShare * float64(within))
	}
	return min(within, req.TimeToDeadline)
}

// otherShare is the share of the first question's bound that the others have: what
// reading the shared parts again takes of the objective of a usual long prompt, and
// a margin.
const otherShare = 0.6

// FinalGrantLimit returns the same for a request that has no other place left. One
// that can't be answered in time is better refused: in a full region it would
// make those behind it late as well.
func FinalGrantLimit(req Request) time.Duration {
	if req.ResponseStarted || req.TimeToObjective <= 0 {
		return req.TimeToDeadline
	}
	return min(req.TimeToObjective, req.TimeToDeadline)
}

// DecideGrant decides as the coordinator of the candidates. It takes a place whose
// estimate is at most within, or longer by what reading the parts again elsewhere
// would cost.
func DecideGrant(req Request, candidates []Candidate, within time.Duration) Decision {
	req.StaleView = false
	d := Decide(req, candidates)
	if d.Kind != Serve {
		return d
	}
	saved := time.Duration(workWeight * float64(time.Duration(min(d.Candidate.CachedTokens, req.SharedTokens))*d.Candidate.PrefillTimePerToken))
	if d.Estimate > within+saved {
		return Decision{Kind: Refuse, Reason: TooLate, Estimate: d.Estimate, RetryAfter: shortRetry}
	}
	return d
}
