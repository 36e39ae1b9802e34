package ledger

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// Query asks for an endpoint as a candidate for a request.
type Query struct {
	ID      string
	Born    int64
	Service string
	Parts   []Part
	Urgency int
	Slots   int
	// Capacity is the endpoint's memory in tokens, 0 if unknown.
	Capacity int
	// Far says that the endpoint stands in another region, whose gateways
	// account for it; Lag is how old their word is at most.
	Far bool
	Lag time.Duration
}

// Candidate returns what is believed of an endpoint now. ok is false while it
// is not to be used.
func (l *Ledger) Candidate(q Query, now time.Time) (c placement.Candidate, ok bool) {
	c = placement.Candidate{
		ID:        q.ID,
		Far:       q.Far,
		Slots:     q.Slots,
		Capacity:  q.Capacity,
		TokenTime: l.speeds.tokenTime(q.Service),
		Service:   engineOverhead,
	}
	if q.Capacity == 0 {
		c.Service = l.speeds.plainTime(q.Service)
	}
	theirs := l.peers.sum(q.ID, now)
	c.Running, c.Waiting, c.Memory = theirs.Running, theirs.Waiting, theirs.Memory
	if len(theirs.Queued) > 0 {
		c.Queued = time.Duration(theirs.Queued[min(q.Urgency, len(theirs.Queued)-1)]) * time.Millisecond
	}
	ok = true
	l.with(q.ID, q.Born, func(a *account) {
		ok = !now.Before(a.ejected)
		c.Cached = a.parts.held(q.Parts, now)
		c.Failing = a.failingAt(now)
		if q.Far {
			a.addRecent(&c, q, now)
			return
		}
		c.Running += a.running
		c.Waiting += len(a.pending)
		c.Memory += a.memory
		c.Queued += a.queued(q.Urgency, now)
		a.parts.trim(max(q.Capacity-c.Memory, q.Capacity/4))
	})
	return c, ok
}

// addRecent adds the requests that this gateway sent on and that the other
// region's word can't show yet.
func (a *account) addRecent(c *placement.Candidate, q Query, now time.Time) {
	for _, e := range a.pending {
		if now.Sub(e.start) > q.Lag {
			continue
		}
		c.Waiting++
		c.Memory += e.job.Tokens + e.job.Output
		if e.job.Urgency <= q.Urgency {
			c.Queued += e.work
		}
	}
}
