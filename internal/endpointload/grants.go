package endpointload

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
)

const (
	// prefillShare is the share of an engine's time that goes to prefill while
	// prompts are waiting; the rest generates responses.
	prefillShare = 0.85
	// maxSumAge is the age that the region's load sums rarely exceed: the
	// interval between two heartbeats to a hub plus that between two of the
	// hub's own.
	maxSumAge = 900 * time.Millisecond
)

// grantedLoad is the load that a coordinator has admitted to an endpoint by
// grants to gateways of its region.
type grantedLoad struct {
	// queuedPrefill is the granted prefill time that is not completed as of
	// updated, by priority.
	queuedPrefill [priorityLevels]time.Duration
	// recentPrefill is the decayed sum of granted prefill times.
	recentPrefill time.Duration
	updated       time.Time
	// recentGrants are the grants that the region's load sums may not include
	// yet.
	recentGrants []recentGrant
}

type recentGrant struct {
	grantedAt time.Time
	kvTokens  int
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
	for len(g.recentGrants) > 0 && now.Sub(g.recentGrants[0].grantedAt) > maxSumAge {
		g.recentGrants = g.recentGrants[1:]
	}
}

// add adds a grant.
func (g *grantedLoad) add(priority int, prefill time.Duration, kvTokens int, now time.Time) {
	g.advance(now)
	g.queuedPrefill[min(priority, priorityLevels-1)] += prefill
	g.recentPrefill += prefill
	g.recentGrants = append(g.recentGrants, recentGrant{grantedAt: now, kvTokens: kvTokens})
}

// adjust raises a candidate's load, which is based on delayed sums, to what was
// granted.
func (g *grantedLoad) adjust(c *placement.Candidate, priority int, now time.Time) {
	g.advance(now)
	var queued time.Duration
	for p := range min(priority, priorityLevels-1) + 1 {
		queued += g.queuedPrefill[p]
	}
	c.QueuedPrefill = max(c.QueuedPrefill, queued)
	c.PrefillUtilization = max(c.PrefillUtilization, g.recentPrefill.Seconds()/utilizationTimeConstant.Seconds())
	c.Waiting += len(g.recentGrants)
	for _, r := range g.recentGrants {
		c.KVTokens += r.kvTokens
	}
}

// RecordGrant adds a request that this gateway, as the endpoint's coordinator,
// admits to the endpoint now.
func (t *Tracker) RecordGrant(id string, incarnation int64, job Job, now time.Time) {
	prefill := time.Duration(max(job.PromptTokens-job.CachedTokens, 0)) * t.serviceTimes.prefillPerToken(job.Service)
	t.withAccount(id, incarnation, func(a *account) {
		a.grantedLoad.add(job.Priority, prefill, job.PromptTokens+job.OutputTokens, now)
		a.prefixes.touch(job.Segments, now)
	})
}
