package endpointload

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// Query asks for an endpoint as a candidate for a request.
type Query struct {
	ID          string
	Incarnation int64
	Service     string
	Segments    []Segment
	Priority    int
	Slots       int
	// KVCapacity is the endpoint's memory in tokens, 0 if unknown.
	KVCapacity int
	// Remote says that the endpoint stands in another region, whose gateways
	// account for it; Lag is how old their word is at most.
	Remote       bool
	MaxReportAge time.Duration
	// Coordinated says that this gateway is the endpoint's coordinator.
	Coordinated bool
}

// Candidate returns what is believed of an endpoint now. ok is false while it
// is not to be used.
func (l *Tracker) Candidate(q Query, now time.Time) (c placement.Candidate, ok bool) {
	c = placement.Candidate{
		ID:                  q.ID,
		Remote:              q.Remote,
		Slots:               q.Slots,
		KVCapacity:          q.KVCapacity,
		PrefillTimePerToken: l.speeds.tokenTime(q.Service),
		ServiceTime:         engineOverhead,
	}
	if q.KVCapacity == 0 {
		c.ServiceTime = l.speeds.plainTime(q.Service)
	}
	theirs := l.peers.sum(q.ID, now)
	c.Running, c.Waiting, c.KVTokens = theirs.Running, theirs.Waiting, theirs.KVTokens
	c.QueuedPrefill = time.Duration(queuedAt(theirs.QueuedPrefillMillis, q.Priority)) * time.Millisecond
	busy := time.Duration(theirs.RecentPrefillMillis) * time.Millisecond
	ok = true
	l.with(q.ID, q.Incarnation, func(a *account) {
		ok = !now.Before(a.ejected)
		c.FailureRate = a.failingAt(now)
		if q.Remote {
			busy += a.addRecent(&c, q, now)
			c.PrefillUtilization = busy.Seconds() / busyTime.Seconds()
			c.CachedTokens = a.held(&c, q, now)
			return
		}
		c.Running += a.running
		c.Waiting += len(a.pending)
		c.KVTokens += a.memory
		c.QueuedPrefill += a.queued(q.Priority, now)
		busy += a.busyNow(now)
		c.PrefillUtilization = busy.Seconds() / busyTime.Seconds()
		if q.Coordinated {
			a.granted.refine(&c, q.Priority, now)
		}
		c.CachedTokens = a.held(&c, q, now)
	})
	return c, ok
}

// held is the part of the prompt that the endpoint is believed to hold.
func (a *account) held(c *placement.Candidate, q Query, now time.Time) int {
	return a.parts.held(q.Segments, keepTime(max(q.KVCapacity-c.KVTokens, 0), c.PrefillUtilization, c.PrefillTimePerToken), now)
}

// addRecent adds the requests that this gateway sent on and that the other
// region's word can't show yet, and returns the time that reading them takes.
func (a *account) addRecent(c *placement.Candidate, q Query, now time.Time) time.Duration {
	var busy time.Duration
	for _, e := range a.pending {
		if now.Sub(e.start) > q.MaxReportAge {
			continue
		}
		c.Waiting++
		c.KVTokens += e.job.PromptTokens + e.job.OutputTokens
		if e.job.Priority <= q.Priority {
			c.QueuedPrefill += e.work
		}
		busy += e.work
	}
	return busy
}
