package endpointload

import (
	"math"
	"slices"
	"time"
)

// Constants of endpoint accounts.
const (
	// failureTimeConstant is the time constant with which the failure rate
	// decays.
	failureTimeConstant = 4 * time.Second
	// failureWeight is the weight of one request in the failure rate.
	failureWeight = 0.1
	// An endpoint that can't be reached gets no requests for minEjection at
	// first, up to maxEjection when it stays unreachable.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// A request is overdue if its response has not started after overdueFactor
	// times its prefill time plus overdueSlack.
	overdueFactor = 3
	overdueSlack  = 400 * time.Millisecond
)

// account is the load of one incarnation of an endpoint as far as this gateway
// causes or observes it.
type account struct {
	incarnation int64
	// pending holds the requests whose response has not started, including
	// forwarded ones, the oldest first.
	pending []*ActiveRequest
	// running counts the requests whose response has started, without forwarded
	// ones.
	running int
	// slots is the number of requests that the endpoint runs at once, 0 if unknown.
	slots int
	speed speed
	// streams holds the requests whose length is expected, without forwarded ones.
	streams []*ActiveRequest
	// kvTokens is the KV cache in tokens that all requests in flight use,
	// without forwarded ones.
	kvTokens int
	// recentPrefill is the sum of recent prefill times as of recentPrefillAt.
	// It decays with utilizationTimeConstant.
	recentPrefill   time.Duration
	recentPrefillAt time.Time
	// lastProgress is when the endpoint last started a response, or received a
	// request while it had none pending.
	lastProgress time.Time

	// failureRate is the share of failed requests as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// failedConnects counts consecutive failures to connect.
	failedConnects int
	ejectedUntil   time.Time

	prefixes prefixCache
	// grantedLoad is used only if this gateway is the endpoint's coordinator.
	grantedLoad grantedLoad
	heldSlots   heldSlots
}

func newAccount(incarnation int64) *account {
	return &account{incarnation: incarnation, prefixes: newPrefixCache()}
}

func (a *account) add(req *ActiveRequest, now time.Time) {
	if len(a.pending) == 0 {
		a.lastProgress = now
	}
	a.pending = append(a.pending, req)
	if !req.job.Forwarded {
		a.kvTokens += req.job.maxTokens()
		a.recentPrefill = a.recentPrefillNow(now) + req.prefill
		a.recentPrefillAt = now
		if req.job.Lengths.Outputs > 0 {
			a.streams = append(a.streams, req)
		}
	}
	a.prefixes.touch(req.job.Segments, now)
}

// utilizationTimeConstant is the decay time constant of prefill utilization: a
// few times the prefill time of a long prompt.
const utilizationTimeConstant = 2 * time.Second

func (a *account) recentPrefillNow(now time.Time) time.Duration {
	return decay(a.recentPrefill, now.Sub(a.recentPrefillAt))
}

// decay returns what is left of a sum of prefill times after age.
func decay(prefill, age time.Duration) time.Duration {
	if prefill == 0 {
		return 0
	}
	return time.Duration(float64(prefill) * math.Exp(-age.Seconds()/utilizationTimeConstant.Seconds()))
}

func (a *account) startResponse(req *ActiveRequest, now time.Time) {
	a.removePending(req)
	if !req.job.Forwarded {
		a.running++
	}
	a.lastProgress = now
	a.failedConnects = 0
}

func (a *account) removePending(req *ActiveRequest) {
	if i := slices.Index(a.pending, req); i >= 0 {
		a.pending = slices.Delete(a.pending, i, i+1)
	}
}

func (a *account) finish(req *ActiveRequest, result Result, now time.Time) {
	if !req.responseStarted {
		a.removePending(req)
	}
	if !req.job.Forwarded {
		a.kvTokens -= req.job.maxTokens()
		if req.responseStarted {
			a.running--
		}
	}
	if i := slices.Index(a.streams, req); i >= 0 {
		a.streams = slices.Delete(a.streams, i, i+1)
	}
	switch result {
	case Succeeded:
		a.recordOutcome(0, now)
	case Failed:
		a.recordOutcome(1, now)
	case Unreachable:
		a.eject(now)
		a.prefixes.clear()
	case Shed, Abandoned:
	}
}

// recordOutcome updates the failure rate with one outcome, 0 for success and 1
// for failure.
func (a *account) recordOutcome(outcome float64, now time.Time) {
	a.failureRate = a.failureRateNow(now)*(1-failureWeight) + outcome*failureWeight
	a.failureRateAt = now
}

func (a *account) failureRateNow(now time.Time) float64 {
	if a.failureRate == 0 {
		return 0
	}
	return a.failureRate * math.Exp(-now.Sub(a.failureRateAt).Seconds()/failureTimeConstant.Seconds())
}

func (a *account) eject(now time.Time) {
	ejection := minEjection << min(a.failedConnects, 8)
	a.failedConnects++
	a.ejectedUntil = now.Add(min(ejection, maxEjection))
}

// queuedPrefill returns the prefill time of the pending requests that are
// served before a request of the given priority.
func (a *account) queuedPrefill(priority int, now time.Time) time.Duration {
	var sum time.Duration
	for i, req := range a.pending {
		if req.job.Forwarded || req.job.Priority > priority {
			continue
		}
		prefill := req.prefill
		if i == 0 {
			prefill = a.headPrefill(req, now)
		}
		sum += prefill
	}
	return sum
}

// headPrefill returns the remaining prefill time of the oldest pending request.
// An overdue request is expected to take its prefill time once more, and longer
// the longer it is overdue.
func (a *account) headPrefill(req *ActiveRequest, now time.Time) time.Duration {
	elapsed := now.Sub(a.lastProgress)
	if limit := overdueFactor*req.prefill + overdueSlack; elapsed > limit {
		return elapsed - limit + req.prefill
	}
	return max(req.prefill-elapsed, req.prefill/4)
}
