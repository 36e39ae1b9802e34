package endpointload

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
)

const (
	// readShare is the share of an engine's time that reading prompts takes while
	// some wait; the rest generates for others.
	readShare = 0.85
	// sumLag is how old the sums are that the hubs of a region tell, at most in
	// most cases: the time between two beats to a hub and two of its own.
	sumLag = 900 * time.Millisecond
)

// granted is what a coordinator let gateways of its region send to an endpoint.
type granted struct {
	// queued is the reading time of what was granted and is not yet read, by
	// urgency, as of at.
	queued [urgencies]time.Duration
	// busy is the reading time of all that was granted lately, faded.
	busy time.Duration
	at   time.Time
	// recent are the grants that the sums of the region may not show yet.
	recent []recentGrant
}

type recentGrant struct {
	at     time.Time
	tokens int
}

// advance lets the endpoint read until now, the most urgent prompts first.
func (g *granted) advance(now time.Time) {
	age := now.Sub(g.at)
	if age <= 0 {
		return
	}
	g.at = now
	g.busy = fade(g.busy, age)
	read := time.Duration(readShare * float64(age))
	for u := range g.queued {
		done := min(read, g.queued[u])
		g.queued[u] -= done
		read -= done
	}
	for len(g.recent) > 0 && now.Sub(g.recent[0].at) > sumLag {
		g.recent = g.recent[1:]
	}
}

// add counts a grant.
func (g *granted) add(urgency int, work time.Duration, tokens int, now time.Time) {
	g.advance(now)
	g.queued[min(urgency, urgencies-1)] += work
	g.busy += work
	g.recent = append(g.recent, recentGrant{at: now, tokens: tokens})
}

// refine corrects a candidate, which is known by late sums, by what was granted.
func (g *granted) refine(c *placement.Candidate, urgency int, now time.Time) {
	g.advance(now)
	var queued time.Duration
	for u := range min(urgency, urgencies-1) + 1 {
		queued += g.queued[u]
	}
	c.QueuedPrefill = max(c.QueuedPrefill, queued)
	c.PrefillUtilization = max(c.PrefillUtilization, g.busy.Seconds()/busyTime.Seconds())
	c.Waiting += len(g.recent)
	for _, r := range g.recent {
		c.KVTokens += r.tokens
	}
}

// RecordGrant counts work that this gateway, as the endpoint's coordinator, lets one
// of its region send there now.
func (l *Tracker) RecordGrant(id string, born int64, job Job, now time.Time) {
	work := time.Duration(max(job.PromptTokens-job.CachedTokens, 0)) * l.speeds.tokenTime(job.Service)
	l.with(id, born, func(a *account) {
		a.granted.add(job.Priority, work, job.PromptTokens+job.OutputTokens, now)
		a.parts.touch(job.Segments, now)
	})
}
