package endpointload

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// prefillShare is the share of an engine's time that goes to prefill while prompts
// are waiting; the rest generates responses.
const prefillShare = 0.85

// grantedLoad is the load that a coordinator has admitted to an endpoint by
// grants to gateways of its region.
type grantedLoad struct {
	// queuedPrefill is the granted prefill time that is not completed as of
	// updated, by priority.
	queuedPrefill [priorityLevels]time.Duration
	// recentPrefill is the decayed sum of granted prefill times.
	recentPrefill time.Duration
	updated       time.Time
	// inFlight are the granted requests that are expected not to be complete.
	inFlight []grantedRequest
	// perOutput is the time for each output as of the last decision, 0 if unknown.
	perOutput time.Duration
}

// grantedRequest is a request that holds a slot and KV cache until completesAt.
type grantedRequest struct {
	completesAt time.Time
	// ownTokens is the KV cache in tokens that only this request uses. The
	// sharedTokens of the prefix with the hash sharedPrefix are kept once for all
	// requests that share it.
	ownTokens    int
	sharedTokens int
	sharedPrefix uint64
	// remaining is the number of outputs still to come of a response that starts at
	// startsAt, 0 if unknown, and deadline when the caller gives up.
	remaining float64
	startsAt  time.Time
	deadline  time.Time
}

// newGrantedRequest returns the request of a job that completes at the given time.
func newGrantedRequest(job Job, completesAt time.Time) grantedRequest {
	r := grantedRequest{completesAt: completesAt, ownTokens: job.maxTokens()}
	if len(job.Segments) < 2 {
		return r
	}
	shared := job.Segments[:len(job.Segments)-1]
	for _, s := range shared {
		r.sharedTokens += s.Tokens
	}
	r.sharedTokens = min(r.sharedTokens, job.PromptTokens)
	r.ownTokens -= r.sharedTokens
	r.sharedPrefix = shared[len(shared)-1].PrefixHash
	return r
}

// advance brings the load up to now. The endpoint is assumed to prefill the
// prompts of the highest priority first.
func (g *grantedLoad) advance(now time.Time) {
	age := now.Sub(g.updated)
	if age <= 0 {
		return
	}
	g.updated = now
	g.recentPrefill = decay(g.recentPrefill, age)
	prefilled := time.Duration(prefillShare * float64(age))
	for priority := range g.queuedPrefill {
		completed := min(prefilled, g.queuedPrefill[priority])
		g.queuedPrefill[priority] -= completed
		prefilled -= completed
	}
	g.advanceOutputs(now)
	g.inFlight = slices.DeleteFunc(g.inFlight, func(r grantedRequest) bool { return !r.completesAt.After(now) })
}

// add adds a grant for a job whose prompt takes prefill to prefill and whose response
// takes generation to generate.
func (g *grantedLoad) add(job Job, prefill, generation time.Duration, now time.Time) {
	g.advance(now)
	g.queuedPrefill[min(job.Priority, priorityLevels-1)] += prefill
	g.recentPrefill += prefill
	firstOutput := engineOverhead + time.Duration(float64(g.queuedFor(job.Priority))/prefillShare)
	r := newGrantedRequest(job, now.Add(firstOutput+generation))
	r.remaining, r.startsAt, r.deadline = float64(job.Lengths.Outputs), now.Add(firstOutput), job.Deadline
	g.inFlight = append(g.inFlight, r)
}

// advanceOutputs brings the outputs still to come up to now.
func (g *grantedLoad) advanceOutputs(now time.Time) {
	if g.perOutput <= 0 {
		return
	}
	for i := range g.inFlight {
		r := &g.inFlight[i]
		if since := now.Sub(r.startsAt); since > 0 && r.remaining > 0 {
			r.remaining = max(r.remaining-float64(since)/float64(g.perOutput), 0)
			r.startsAt = now
		}
	}
}

// addSlack adds the granted requests in flight to a forecast. perOutput is the time for
// each output from now on.
func (g *grantedLoad) addSlack(f *slackForecast, perOutput time.Duration) {
	for i := range g.inFlight {
		r := &g.inFlight[i]
		f.add(r.deadline, r.remaining)
	}
	g.perOutput = perOutput
}

// queuedFor returns the granted prefill time that is served before or with a request
// of the given priority.
func (g *grantedLoad) queuedFor(priority int) time.Duration {
	var queued time.Duration
	for p := range min(priority, priorityLevels-1) + 1 {
		queued += g.queuedPrefill[p]
	}
	return queued
}

// kvTokens returns the KV cache that the granted requests in flight use, in tokens.
func (g *grantedLoad) kvTokens() int {
	sum := 0
	counted := make(map[uint64]bool, len(g.inFlight))
	for _, r := range g.inFlight {
		sum += r.ownTokens
		if r.sharedTokens > 0 && !counted[r.sharedPrefix] {
			counted[r.sharedPrefix] = true
			sum += r.sharedTokens
		}
	}
	return sum
}

// adjust replaces a candidate's load, which is based on delayed sums, by what was
// granted. The sums include the granted requests, after a delay; where they hold more
// requests, the rest came without a grant or takes longer than expected, and counts
// with its mean use of the KV cache.
func (g *grantedLoad) adjust(c *placement.Candidate, priority int, now time.Time) {
	g.advance(now)
	c.QueuedPrefill = max(c.QueuedPrefill, g.queuedFor(priority))
	c.PrefillUtilization = max(c.PrefillUtilization, g.recentPrefill.Seconds()/utilizationTimeConstant.Seconds())
	reported, granted := c.Running+c.Waiting, len(g.inFlight)
	kvTokens := g.kvTokens()
	if reported > granted {
		kvTokens += c.KVTokens / reported * (reported - granted)
	}
	c.KVTokens = kvTokens
	c.Waiting += max(granted-reported, 0)
}

// RecordGrant adds a request that this gateway, as the endpoint's coordinator,
// admits to the endpoint now. A grant for an incarnation that has ended is ignored.
func (t *Tracker) RecordGrant(id string, incarnation int64, job Job, now time.Time) {
	prefill := time.Duration(max(job.PromptTokens-job.CachedTokens, 0)) * t.serviceTimes.prefillPerToken(job.Service)
	generation := t.serviceTimes.generationTime(job.Service, job.OutputTokens)
	t.withAccount(id, incarnation, func(a *account) {
		if a.incarnation > incarnation {
			return
		}
		a.grantedLoad.add(job, scale(prefill, a.speed.at(now)), generation, now)
		a.prefixes.touch(job.Segments, now)
	})
}
