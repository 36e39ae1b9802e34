package endpointload

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// heldSlots are the places that the coordinator of a small plain service holds at one
// endpoint: in a region with more gateways than slots, the sums of what gateways report
// are older than many requests last, and some twenty gateways that each see a free slot
// fill the endpoint's queue several times over. The coordinator knows what is in flight,
// since a place is held from the grant to the release by the gateway that asked for it.
type heldSlots struct {
	// held holds by grant when a place ends without a release. Its size is bounded by
	// what placement admits to the endpoint.
	held map[uint64]time.Time
	// since is when this gateway took over the coordination, lastAsked when a decision
	// last asked for the places.
	since, lastAsked time.Time
}

const (
	// maxHold is the longest time for which a place is held without a release.
	maxHold = time.Minute
	// waitingPerSlot is the number of requests that wait at a coordinated endpoint for
	// each of its slots. A request then waits two service times at most, which is short
	// against the usual objectives, and endpoints are assumed to queue that many.
	waitingPerSlot = 2
)

// count returns the number of places held now.
func (h *heldSlots) count(now time.Time) int {
	for id, until := range h.held {
		if !until.After(now) {
			delete(h.held, id)
		}
	}
	return len(h.held)
}

// adjust replaces a candidate's load, which is based on delayed sums, by the places held.
// A gateway that has just become the coordinator doesn't know what the one before it has
// granted; for as long as reports count, it takes the larger of both.
func (h *heldSlots) adjust(c *placement.Candidate, now time.Time) {
	if now.Sub(h.lastAsked) > peerLoadTTL {
		h.since = now
	}
	h.lastAsked = now
	inFlight := h.count(now)
	if now.Sub(h.since) < peerLoadTTL {
		inFlight = max(inFlight, c.Running+c.Waiting)
	}
	c.Running = min(inFlight, c.Slots)
	c.Waiting = inFlight - c.Running
	c.MaxWaiting = waitingPerSlot * c.Slots
}

// HoldSlot records that this gateway, as the coordinator of a plain endpoint, admits a
// request to it, which ends with ReleaseSlot or after hold.
func (t *Tracker) HoldSlot(id string, incarnation int64, grant uint64, hold time.Duration, now time.Time) {
	t.withAccount(id, incarnation, func(a *account) {
		if a.heldSlots.held == nil {
			a.heldSlots.held = make(map[uint64]time.Time)
		}
		a.heldSlots.held[grant] = now.Add(min(hold, maxHold))
	})
}

// ReleaseSlot ends a HoldSlot. A grant that isn't known has no effect.
func (t *Tracker) ReleaseSlot(id string, grant uint64) {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if a, ok := sh.accounts[id]; ok {
		delete(a.heldSlots.held, grant)
	}
}

// withoutWait returns the service time of a plain request that took elapsed, of which it
// spent a part behind the requests ahead of it.
func (j *Job) withoutWait(elapsed time.Duration) time.Duration {
	if j.Slots <= 0 || j.Ahead < j.Slots {
		return elapsed
	}
	return elapsed * time.Duration(j.Slots) / time.Duration(j.Ahead+1)
}
