package endpointload

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// Query selects an endpoint as a candidate for a request.
type Query struct {
	ID          string
	Incarnation int64
	Service     string
	Segments    []Segment
	Priority    int
	Slots       int
	// KVCapacity is the size of the endpoint's KV cache in tokens, 0 if
	// unknown.
	KVCapacity int
	// Remote is set if the endpoint is in another region, whose gateways
	// account for its load. MaxReportAge is the maximum age of that region's
	// reports.
	Remote       bool
	MaxReportAge time.Duration
	// Coordinated is set if this gateway is the endpoint's coordinator. HoldsSlots is set
	// in addition if it holds a slot for each request that the endpoint is granted.
	Coordinated bool
	HoldsSlots  bool
}

// Candidate returns the endpoint with its estimated current load. ok is false
// while the endpoint is ejected because it could not be reached.
func (t *Tracker) Candidate(q Query, now time.Time) (c placement.Candidate, ok bool) {
	c = placement.Candidate{
		ID:                  q.ID,
		Remote:              q.Remote,
		Slots:               q.Slots,
		KVCapacity:          q.KVCapacity,
		PrefillTimePerToken: t.serviceTimes.prefillPerToken(q.Service),
		ServiceTime:         engineOverhead,
		SlotTime:            t.serviceTimes.slotTime(q.Service),
		MeanPrefill:         t.serviceTimes.meanPrefillTime(q.Service),
	}
	if q.KVCapacity == 0 {
		c.ServiceTime = t.serviceTimes.plainServiceTime(q.Service)
	}
	peerLoad := t.peerLoads.sum(q.ID, now)
	c.Running, c.Waiting, c.KVTokens = peerLoad.Running, peerLoad.Waiting, peerLoad.KVTokens
	c.QueuedPrefill = time.Duration(queueForPriority(peerLoad.QueuedPrefillMillis, q.Priority)) * time.Millisecond
	recentPrefill := time.Duration(peerLoad.RecentPrefillMillis) * time.Millisecond
	ok = true
	t.withAccount(q.ID, q.Incarnation, func(a *account) {
		ok = !now.Before(a.ejectedUntil)
		c.FailureRate = a.failureRateNow(now)
		a.slots = q.Slots
		factor := a.speed.at(now)
		c.PrefillTimePerToken = scale(c.PrefillTimePerToken, factor)
		if q.KVCapacity == 0 {
			c.ServiceTime = scale(c.ServiceTime, factor)
		}
		defer t.forecastLoad(a, &c, q, now)
		if q.Remote {
			recentPrefill += a.addUnreported(&c, q, now)
			c.PrefillUtilization = recentPrefill.Seconds() / utilizationTimeConstant.Seconds()
			c.CachedTokens = a.cachedTokens(&c, q, now)
			return
		}
		c.Running += a.running
		c.Waiting += len(a.pending)
		c.KVTokens += a.kvTokens
		c.QueuedPrefill += a.queuedPrefill(q.Priority, now)
		recentPrefill += a.recentPrefillNow(now)
		c.PrefillUtilization = recentPrefill.Seconds() / utilizationTimeConstant.Seconds()
		switch {
		case q.HoldsSlots:
			a.heldSlots.adjust(&c, now)
		case q.Coordinated:
			a.grantedLoad.adjust(&c, q.Priority, now)
		}
		c.CachedTokens = a.cachedTokens(&c, q, now)
	})
	return c, ok
}

// cachedTokens returns the length of the prompt prefix that the endpoint is
// believed to have cached.
func (a *account) cachedTokens(c *placement.Candidate, q Query, now time.Time) int {
	return a.prefixes.cachedTokens(q.Segments, retentionTime(max(q.KVCapacity-c.KVTokens, 0), c.PrefillUtilization, c.PrefillTimePerToken), now)
}

// addUnreported adds the forwarded requests that the other region's reports may
// not include yet, and returns their prefill time.
func (a *account) addUnreported(c *placement.Candidate, q Query, now time.Time) time.Duration {
	var prefill time.Duration
	for _, req := range a.pending {
		if now.Sub(req.start) > q.MaxReportAge {
			continue
		}
		c.Waiting++
		c.KVTokens += req.job.maxTokens()
		if req.job.Priority <= q.Priority {
			c.QueuedPrefill += req.prefill
		}
		prefill += req.prefill
	}
	return prefill
}
