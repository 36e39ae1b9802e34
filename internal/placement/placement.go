// Package placement decides which endpoint in which region serves a request, or
// refuses it. It is pure: no I/O, no clock, no random source. All inputs are
// arguments.
//
// It is designed for engines that prefill prompts one after another while they
// generate for other requests, for prompts that share long prefixes, and for
// regions of unequal size whose peaks occur one after another.
package placement

import (
	"slices"
	"time"
)

// Request describes a request to be placed.
type Request struct {
	// PromptTokens is the length of the prompt, SharedTokens the length of its
	// prefix that other requests have in common. Both are 0 for plain services.
	PromptTokens int
	SharedTokens int
	// OutputTokens is the expected length of the response in tokens.
	OutputTokens int
	// LongOutputTokens is the length of the response that few such requests exceed, 0 if
	// unknown. Outputs is the same in outputs of the endpoint, as Candidate.TimePerOutput
	// counts them.
	LongOutputTokens int
	Outputs          int
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// HasAccountPriority is set if Priority is that of the client account, which goes before
	// that of the route, RoutePriority.
	HasAccountPriority bool
	RoutePriority      int
	// TimeToObjective is the time left until the latency objective is missed.
	// It may be negative.
	TimeToObjective time.Duration
	// TimeToDeadline is the time left until the response is of no use to the
	// caller.
	TimeToDeadline time.Duration
	// TimeToEnd is the time left until the deadline of the whole response, which may be
	// later than TimeToDeadline; 0 if unknown.
	TimeToEnd time.Duration
	// StaleView is set if the load state of the candidates is older than the
	// time in which most requests start to be answered.
	StaleView bool
	// HashFraction is between 0 and 1. It differs between requests but is the
	// same for requests that share a prompt prefix, so that these overflow to
	// the same region.
	HashFraction float64
	// LocalRefused is set if the coordinators of the local region have refused
	// the request.
	LocalRefused bool
	// ResponseStarted is set if the caller already has part of the response,
	// which is lost if the rest can't be produced.
	ResponseStarted bool
}

// Candidate is an endpoint that may serve the request, with its estimated
// current load.
type Candidate struct {
	ID     string
	Region string
	// Remote is set if the endpoint is in another region. RoundTrip is the
	// network round trip to that region.
	Remote    bool
	RoundTrip time.Duration
	// Slots is the number of requests that the endpoint runs at once, 0 if
	// unknown.
	Slots int
	// MaxWaiting is the number of requests that may wait for a slot; 0 for the usual
	// share of the slots.
	MaxWaiting int
	// Running and Waiting count the requests whose response has started and
	// those whose response has not.
	Running int
	Waiting int
	// QueuedPrefill is the prefill time of the requests that are served before
	// this one.
	QueuedPrefill time.Duration
	// PrefillUtilization is the share of recent time spent on prefill; the rest
	// is available for generation. A burst of prompts can push it above 1.
	PrefillUtilization float64
	// KVTokens is the KV cache in use and KVCapacity its size, both in tokens.
	// A KVCapacity of 0 means unknown.
	KVTokens   int
	KVCapacity int
	// CachedTokens is the length of the prompt prefix that the endpoint is
	// believed to have cached.
	CachedTokens int
	// IsPrefixHome marks the preferred endpoint of requests that share this
	// prompt prefix.
	IsPrefixHome bool
	// Limited is set if the endpoint takes so many requests a second only.
	Limited bool
	// MeanPrefill is the mean prefill time of the service's requests, 0 if unknown.
	MeanPrefill time.Duration
	// PrefillTimePerToken is the prefill time of one prompt token.
	PrefillTimePerToken time.Duration
	// ServiceTime is the service time of a plain request, or the fixed overhead
	// of a model request.
	ServiceTime time.Duration
	// SlotTime is the mean time for which a model request holds a slot, 0 if
	// unknown.
	SlotTime time.Duration
	// TimePerOutput is the time that the endpoint is expected to need for each output
	// after the first, with this request and those that it has; 0 if unknown.
	TimePerOutput time.Duration
	// Slack is the time for which the requests in flight can be held up, with one request
	// more, before one of them is expected to miss its deadline. It is valid if HasSlack
	// is set.
	Slack    time.Duration
	HasSlack bool
	// FailureRate is the share of recent requests that failed, from 0 to 1.
	FailureRate float64
	// Rank orders the candidates for this request, the highest first. Without
	// StaleView it only breaks ties.
	Rank uint64
}

// IsBetterHome reports whether c rather than other is the home of a prompt prefix. An
// endpoint that limits its requests takes too few of those that share the prefix.
func (c *Candidate) IsBetterHome(other *Candidate) bool {
	if c.Limited != other.Limited {
		return !c.Limited
	}
	return c.Rank > other.Rank
}

// Kind is the kind of a Decision.
type Kind int

// The kinds of decisions.
const (
	// Refuse means that no candidate can serve the request.
	Refuse Kind = iota
	// Serve means that Decision.Candidate serves the request.
	Serve
)

// Reason is the reason of a refusal.
type Reason string

// The reasons of refusals.
const (
	// NoEndpoint means that there are no candidates.
	NoEndpoint Reason = "no_endpoint"
	// Full means that every candidate is at a capacity or utilization limit.
	Full Reason = "full"
	// TooLate means that no candidate can respond in time.
	TooLate Reason = "too_late"
)

// Decision is the result of a placement.
type Decision struct {
	Kind      Kind
	Candidate Candidate
	// Estimate is the estimated time until the first output. For a TooLate
	// refusal it is the shortest estimate of any candidate.
	Estimate time.Duration
	// Forecast is the forecast time until the end of the response, 0 if unknown.
	Forecast time.Duration
	// Reason and RetryAfter are set for refusals.
	Reason     Reason
	RetryAfter time.Duration
}

// Weights of the placement cost.
const (
	// prefillWeight is the weight of the prefill time that the request causes,
	// in addition to its own wait: other requests wait for it as well, and an
	// endpoint with a cached prefix would avoid it.
	prefillWeight = 2.0
	// remoteMargin is the time by which a remote region has to be better: links
	// between regions have little bandwidth, and the load state of remote
	// endpoints is older.
	remoteMargin = 60 * time.Millisecond
	// failurePenalty is the cost of a failure rate of 1. Failure rates up to
	// failureTolerance above the median are considered random variation.
	failurePenalty   = 2 * time.Second
	failureTolerance = 0.1
	// runningRequestCost is the cost of each request at the endpoint, since
	// each slows down the generation of all others.
	runningRequestCost = 1500 * time.Microsecond
	// A wait of up to lowCostShare of the objective has lowCostWeight, and from
	// there to the objective highCostWeight. Estimates are off by up to about
	// half.
	lowCostShare   = 0.5
	lowCostWeight  = 0.25
	highCostWeight = 2.0
	// latePenalty is the additional cost of a response after the objective.
	latePenalty = 2 * time.Second
	// prefillShare is the share of an engine's time that goes to prefill while
	// it also generates for other requests.
	prefillShare = 0.85
	// maxKVShare is the share of the KV cache that requests may use; the rest
	// holds cached prefixes.
	maxKVShare = 0.9
)

// Decide chooses the candidate with the lowest placement cost, or refuses the
// request. With a stale view it chooses by utilization and rank instead.
func Decide(req Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{Kind: Refuse, Reason: NoEndpoint, RetryAfter: minRetryAfter}
	}
	medianFailures := medianFailureRate(candidates)
	if req.StaleView {
		return decideStale(req, candidates, medianFailures)
	}
	best, bestCost, found := 0, time.Duration(0), false
	soonest := time.Duration(-1)
	full := true
	var refused Decision
	for i := range candidates {
		c := &candidates[i]
		if !hasCapacity(req, c) || isSaturated(req, c) {
			continue
		}
		full = false
		firstOutput := estimateFirstOutput(req, c)
		if f := forecastFor(req, c, firstOutput); f.reason != "" {
			refused = f.earlierRefusal(refused)
			continue
		}
		if soonest < 0 || firstOutput < soonest {
			soonest = firstOutput
		}
		if firstOutput > req.TimeToDeadline {
			continue
		}
		cost := placementCost(req, c, firstOutput, medianFailures)
		if !found || cost < bestCost || cost == bestCost && c.Rank > candidates[best].Rank {
			best, bestCost, found = i, cost, true
		}
	}
	switch {
	case found:
		return serve(req, &candidates[best])
	case full:
		return Decision{Kind: Refuse, Reason: Full, RetryAfter: minRetryAfter}
	case soonest < 0:
		return refused
	default:
		return Decision{Kind: Refuse, Reason: TooLate, Estimate: soonest, RetryAfter: max(soonest-req.TimeToDeadline, minRetryAfter)}
	}
}

// minRetryAfter is the retry delay given to callers when an endpoint may have
// capacity again at any moment.
const minRetryAfter = 250 * time.Millisecond

// isSaturated reports whether the prefill of this prompt would leave too little
// time for generation, so that responses in flight would miss their deadlines.
// An endpoint without requests is never saturated. Higher priorities have a
// higher limit, which reserves capacity for them while lower ones are refused.
func isSaturated(req Request, c *Candidate) bool {
	if req.PromptTokens == 0 || req.ResponseStarted || c.Running+c.Waiting == 0 {
		return false
	}
	limit := maxPrefillUtilization - req.reserve()
	return c.PrefillUtilization+min(prefillTime(req, c), maxOwnPrefill).Seconds()/utilizationTimeConstant.Seconds() > limit
}

const (
	// maxPrefillUtilization is the utilization limit for the highest priority.
	// Each lower priority level has a lower one, see Request.reserve.
	maxPrefillUtilization = 0.95
	// maxOwnPrefill caps the request's own prefill time in this check. Without
	// the cap the longest prompts would be refused several times as often as
	// others.
	maxOwnPrefill = 250 * time.Millisecond
	// utilizationTimeConstant is the decay time constant of
	// Candidate.PrefillUtilization.
	utilizationTimeConstant = 2 * time.Second
)

// estimateFirstOutput returns the estimated time until the first output of the
// response.
func estimateFirstOutput(req Request, c *Candidate) time.Duration {
	if req.PromptTokens == 0 {
		return c.RoundTrip + slotWait(c, c.ServiceTime) + c.ServiceTime
	}
	prefill := time.Duration(float64(c.QueuedPrefill+prefillTime(req, c)) / prefillShare)
	return c.RoundTrip + max(slotWait(c, c.SlotTime), prefill) + c.ServiceTime
}

// slotWait returns the time until a slot is free at an endpoint whose requests hold
// one for slotTime each.
func slotWait(c *Candidate, slotTime time.Duration) time.Duration {
	if c.Slots == 0 {
		return 0
	}
	ahead := c.Running + c.Waiting + 1 - c.Slots
	if ahead <= 0 {
		return 0
	}
	return slotTime * time.Duration(ahead) / time.Duration(c.Slots)
}

// prefillTime returns the time to prefill the part of the prompt that is not
// cached.
func prefillTime(req Request, c *Candidate) time.Duration {
	return time.Duration(max(req.PromptTokens-c.CachedTokens, 0)) * c.PrefillTimePerToken
}

// placementCost returns the cost of placing the request at c, expressed as a
// time; lower is better. firstOutput is the estimated time to the first output.
func placementCost(req Request, c *Candidate, firstOutput time.Duration, medianFailures float64) time.Duration {
	prefill := prefillTime(req, c)
	if c.IsPrefixHome && c.CachedTokens < req.SharedTokens {
		// Prefilling the shared prefix at its home benefits all later requests.
		prefill -= time.Duration(req.SharedTokens-c.CachedTokens) * c.PrefillTimePerToken
	}
	if c.Limited && req.PromptTokens > 0 {
		// Here a request takes the place of another one, whatever its length. Long ones
		// gain more by it.
		prefill = c.MeanPrefill
	}
	cost := waitCost(req, firstOutput) + time.Duration(prefillWeight*float64(prefill))
	cost += time.Duration(c.Running+c.Waiting) * runningRequestCost
	cost += time.Duration(max(c.FailureRate-medianFailures-failureTolerance, 0) * float64(failurePenalty))
	if c.Remote {
		cost += remoteMargin
	}
	return cost
}

// medianFailureRate returns the median failure rate of the candidates. Requests
// that fail everywhere say nothing about a single endpoint.
func medianFailureRate(candidates []Candidate) float64 {
	rates := make([]float64, 0, len(candidates))
	for i := range candidates {
		rates = append(rates, candidates[i].FailureRate)
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// waitCost returns the cost of a wait. A wait well within the objective costs
// little; close to the objective any further delay may make the response late.
func waitCost(req Request, wait time.Duration) time.Duration {
	lowCostWait := time.Duration(lowCostShare * float64(req.TimeToObjective))
	switch {
	case wait <= lowCostWait:
		return time.Duration(lowCostWeight * float64(wait))
	case wait <= req.TimeToObjective:
		return time.Duration(lowCostWeight*float64(lowCostWait) + highCostWeight*float64(wait-lowCostWait))
	default:
		return wait + latePenalty
	}
}
