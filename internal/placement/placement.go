// Package placement decides which endpoint serves a request, here or in
// another region, or that none can. It is pure: no I/O, no clock, no random
// source. Everything that a decision needs comes in as arguments.
//
// It answers loads in which engines read prompts one after another while they
// generate for others, prompts share long parts, and the peaks of regions of
// unequal size follow each other.
package placement

import (
	"slices"
	"time"
)

// Request is what placement knows of one request.
type Request struct {
	// PromptTokens is the length of the prompt, Shared the part of it that other
	// requests have too. Both are 0 for plain services.
	PromptTokens int
	SharedTokens int
	// OutputTokens is the likely number of tokens of the answer.
	OutputTokens int
	// Priority is 0 for the most urgent requests.
	Priority int
	// TimeToObjective is the time left until the answer is late; it may be negative.
	TimeToObjective time.Duration
	// TimeToDeadline is the time left until the answer is of no use.
	TimeToDeadline time.Duration
	// StaleView says that what is believed of endpoints is older than most
	// requests take to begin.
	StaleView bool
	// HashFraction is from 0 to 1 and differs between requests, but for those that share
	// their first parts: what one region can't take of these goes the same way.
	HashFraction float64
	// LocalRefused says that the own region was asked and has no place.
	LocalRefused bool
	// ResponseStarted says that the caller has a part of the answer already, which is lost
	// if the rest can't be had.
	ResponseStarted bool
}

// Candidate is one endpoint that may serve the request, as it is believed to
// be now.
type Candidate struct {
	ID     string
	Region string
	// Remote says that it stands in another region; Path is the round trip there.
	Remote    bool
	RoundTrip time.Duration
	// Slots is the number of requests that it runs at once, 0 if unknown.
	Slots int
	// Running and Waiting are the requests that it generates for, and those
	// that it has not begun to answer.
	Running int
	Waiting int
	// QueuedPrefill is the time that the prompts take that it reads before this one.
	QueuedPrefill time.Duration
	// PrefillUtilization is the share of its time that it lately spent on reading prompts; the
	// rest is left for generating.
	PrefillUtilization float64
	// KVTokens and Capacity are in tokens; a Capacity of 0 means unknown.
	KVTokens   int
	KVCapacity int
	// CachedTokens is the part of the prompt that it holds, in tokens.
	CachedTokens int
	// IsPrefixHome says that requests with the same shared parts meet here.
	IsPrefixHome bool
	// PrefillTimePerToken is the time that it takes to read one token of a prompt.
	PrefillTimePerToken time.Duration
	// ServiceTime is the time that a plain request takes, and the overhead of a
	// model request.
	ServiceTime time.Duration
	// FailureRate is the share of recent requests that failed, 0 to 1.
	FailureRate float64
	// Rank breaks ties; it differs between requests.
	Rank uint64
}

// Kind is the kind of a decision.
type Kind int

// The kinds of decisions.
const (
	// Refuse says that no candidate can serve the request.
	Refuse Kind = iota
	// Serve says to send it to Decision.Candidate.
	Serve
)

// Reason says why a request is refused.
type Reason string

// The reasons of refusals.
const (
	// NoEndpoint says that there is no candidate at all.
	NoEndpoint Reason = "no_endpoint"
	// Full says that every candidate is at its bound.
	Full Reason = "full"
	// TooLate says that no candidate answers in time.
	TooLate Reason = "too_late"
)

// Decision is what to do with a request.
type Decision struct {
	Kind      Kind
	Candidate Candidate
	// Estimate is the time until the first part of the answer; of a refusal as
	// TooLate, the soonest.
	Estimate time.Duration
	// Reason and RetryAfter are set for refusals.
	Reason     Reason
	RetryAfter time.Duration
}

// Weights of the decision.
const (
	// workWeight is the weight of the time that an engine spends on reading
	// the prompt, beside the wait that it causes this request: others wait for
	// it as well, and it could have been spared where the parts are kept.
	workWeight = 2.0
	// farMargin is what another region must be better by: links between
	// regions are thin, and what is believed of endpoints there is older.
	farMargin = 60 * time.Millisecond
	// failWeight is the time that a certain failure counts as. Shares of
	// failures up to failSlack beyond the usual one are chance.
	failWeight = 2 * time.Second
	failSlack  = 0.1
	// runningWeight is what each running request counts as: it slows down
	// the generation of all others.
	runningWeight = 1500 * time.Microsecond
	// easyShare is the share of the objective up to which a wait has easyWeight;
	// from there to the objective it has hardWeight. Estimates err by up to
	// about half.
	easyShare  = 0.5
	easyWeight = 0.25
	hardWeight = 2.0
	// lateCost is what a late answer costs beyond the wait itself.
	lateCost = 2 * time.Second
	// interleave is the share of an engine's time that goes to reading prompts
	// while it generates for others.
	interleave = 0.85
	// memoryShare is the share of an engine's memory that requests may take
	// until it is full; cached parts have the rest.
	memoryShare = 0.9
)

// Decide chooses among the candidates.
func Decide(req Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Kind: Refuse, Reason: NoEndpoint, RetryAfter: shortRetry}
	}
	usual := usualFailing(candidates)
	if req.StaleView {
		return decideLate(req, candidates, usual)
	}
	best, bestScore, found := 0, time.Duration(0), false
	soonest := time.Duration(-1)
	full := true
	for i := range candidates {
		c := &candidates[i]
		if !hasRoom(req, c) || isBusy(req, c) {
			continue
		}
		full = false
		t := estimate(req, c)
		if soonest < 0 || t < soonest {
			soonest = t
		}
		if t > req.TimeToDeadline {
			continue
		}
		s := score(req, c, t, usual)
		if !found || s < bestScore || s == bestScore && c.Rank > candidates[best].Rank {
			best, bestScore, found = i, s, true
		}
	}
	switch {
	case found:
		return Decision{Kind: Serve, Candidate: candidates[best], Estimate: estimate(req, &candidates[best])}
	case full:
		return Decision{Kind: Refuse, Reason: Full, RetryAfter: shortRetry}
	default:
		return Decision{Kind: Refuse, Reason: TooLate, Estimate: soonest, RetryAfter: max(soonest-req.TimeToDeadline, shortRetry)}
	}
}

// shortRetry is what callers are told to wait when endpoints may be free again
// at any moment.
const shortRetry = 250 * time.Millisecond

// hasRoom says whether the endpoint can take the request at once.
func hasRoom(req Request, c *Candidate) bool {
	if c.Slots > 0 && c.Running+c.Waiting >= c.Slots+c.Slots/queueShare {
		return false
	}
	need := req.PromptTokens + req.OutputTokens - c.CachedTokens
	return c.KVCapacity == 0 || float64(c.KVTokens+need) <= memoryShare*float64(c.KVCapacity) || c.KVTokens == 0
}

// isBusy says whether reading one more prompt would leave too little time for
// generating: the streams under way would not end in time. An endpoint without
// streams has no one to slow down. More urgent requests may go further, so that
// there is room for them when the others are refused.
func isBusy(req Request, c *Candidate) bool {
	if req.PromptTokens == 0 || req.ResponseStarted || c.Running+c.Waiting == 0 {
		return false
	}
	limit := fullUse - useStep*float64(min(req.Priority, 2))
	return c.PrefillUtilization+min(readTime(req, c), ownRead).Seconds()/useTime.Seconds() > limit
}

const (
	// fullUse is the use up to which the most urgent requests are taken; each
	// lower urgency ends useStep before.
	fullUse = 0.95
	useStep = 0.15
	// ownRead bounds what a request's own reading time counts in this: beyond it
	// the longest prompts would be refused several times as often as others.
	ownRead = 250 * time.Millisecond
	// useTime is the time over which Candidate.Use is measured.
	useTime = 2 * time.Second
)

// queueShare: an endpoint takes one more waiting request for so many slots.
const queueShare = 2

// estimate is the time until the first part of the answer comes.
func estimate(req Request, c *Candidate) time.Duration {
	wait := time.Duration(float64(c.QueuedPrefill+readTime(req, c)) / interleave)
	if req.PromptTokens == 0 {
		wait = plainWait(c)
	}
	return c.RoundTrip + wait + c.ServiceTime
}

// plainWait is the wait at an endpoint that takes requests one by one.
func plainWait(c *Candidate) time.Duration {
	if c.Slots == 0 {
		return 0
	}
	ahead := c.Running + c.Waiting + 1 - c.Slots
	if ahead <= 0 {
		return 0
	}
	return c.ServiceTime * time.Duration(ahead) / time.Duration(c.Slots)
}

// readTime is the time that the engine takes to read what it does not hold.
func readTime(req Request, c *Candidate) time.Duration {
	return time.Duration(max(req.PromptTokens-c.CachedTokens, 0)) * c.PrefillTimePerToken
}

// score is what the placement costs, as a time. The least is the best.
func score(req Request, c *Candidate, t time.Duration, usual float64) time.Duration {
	work := readTime(req, c)
	if c.IsPrefixHome && c.CachedTokens < req.SharedTokens {
		// Whoever reads the shared parts here reads them for all to come.
		work -= time.Duration(req.SharedTokens-c.CachedTokens) * c.PrefillTimePerToken
	}
	s := waitCost(req, t) + time.Duration(workWeight*float64(work))
	s += time.Duration(c.Running+c.Waiting) * runningWeight
	s += time.Duration(max(c.FailureRate-usual-failSlack, 0) * float64(failWeight))
	if c.Remote {
		s += farMargin
	}
	return s
}

// usualFailing is the median share of failures: requests that fail everywhere
// don't speak against an endpoint.
func usualFailing(candidates []Candidate) float64 {
	shares := make([]float64, 0, len(candidates))
	for i := range candidates {
		shares = append(shares, candidates[i].FailureRate)
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// waitCost is what a wait of t costs. Callers hardly mind while the answer is
// well within the objective; near it each delay may make the answer late.
func waitCost(req Request, t time.Duration) time.Duration {
	easy := time.Duration(easyShare * float64(req.TimeToObjective))
	switch {
	case t <= easy:
		return time.Duration(easyWeight * float64(t))
	case t <= req.TimeToObjective:
		return time.Duration(easyWeight*float64(easy) + hardWeight*float64(t-easy))
	default:
		return t + lateCost
	}
}
