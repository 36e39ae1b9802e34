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
	// Coordinated says that this gateway is the endpoint's coordinator.
	Coordinated bool
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
	c.Queued = time.Duration(queuedAt(theirs.Queued, q.Urgency)) * time.Millisecond
	busy := time.Duration(theirs.Busy) * time.Millisecond
	ok = true
	l.with(q.ID, q.Born, func(a *account) {
		ok = !now.Before(a.ejected)
		c.Failing = a.failingAt(now)
		if q.Far {
			busy += a.addRecent(&c, q, now)
			c.Use = busy.Seconds() / busyTime.Seconds()
			c.Cached = a.held(&c, q, now)
			return
		}
		c.Running += a.running
		c.Waiting += len(a.pending)
		c.Memory += a.memory
		c.Queued += a.queued(q.Urgency, now)
		busy += a.busyNow(now)
		c.Use = busy.Seconds() / busyTime.Seconds()
		if q.Coordinated {
			a.granted.refine(&c, q.Urgency, now)
		}
		c.Cached = a.held(&c, q, now)
	})
	return c, ok
}

// held is the part of the prompt that the endpoint is believed to hold.
func (a *account) held(c *placement.Candidate, q Query, now time.Time) int {
	return a.parts.held(q.Parts, keepTime(max(q.Capacity-c.Memory, 0), c.Use, c.TokenTime), now)
}

// addRecent adds the requests that this gateway sent on and that the other
// region's word can't show yet, and returns the time that reading them takes.
func (a *account) addRecent(c *placement.Candidate, q Query, now time.Time) time.Duration {
	var busy time.Duration
	for _, e := range a.pending {
		if now.Sub(e.start) > q.Lag {
			continue
		}
		c.Waiting++
		c.Memory += e.job.Tokens + e.job.Output
		if e.job.Urgency <= q.Urgency {
			c.Queued += e.work
		}
		busy += e.work
	}
	return busy
}
