package datastore

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/sched"
)

// biasWeight is the weight of a new sample in the smoothed excess.
const biasWeight = 0.2

// biasHalfLife is how fast an excess is forgotten without samples.
const biasHalfLife = 5 * time.Second

// sent is one request in flight at an endpoint.
type sent struct {
	at       time.Time
	uncached int
	estimate float64
	first    bool
}

// entry is the mutable state of one endpoint, under its shard's lock.
type entry struct {
	slot     *sched.EndpointRef
	cur      sched.Endpoint
	health   health
	inFlight map[string]sent
	// recent holds what was sent since the last report, oldest first.
	recent []sent
	// done holds the ends of requests since the last report, oldest first.
	done    []time.Time
	biasAt  time.Time
	lastSeq uint64
	// incarnation is the process that the rest of the entry speaks of.
	incarnation string
}

// publish makes the present state visible to decisions.
func (e *entry) publish(o *HealthOptions) {
	e.cur.Health = e.health.state
	e.cur.RecoveryShare = e.health.share(o)
	e.cur.InFlight = len(e.inFlight)
	c := e.cur
	e.slot.Store(&c)
}

// apply takes in a load report and replays what was sent after it.
func (e *entry) apply(r blackboard.LoadReport) {
	if r.At.Before(e.cur.ReportAt) {
		return
	}
	e.cur.ReportAt = r.At
	e.cur.Running, e.cur.Waiting = r.Running, r.Waiting
	e.cur.QueuedPrefillTokens = r.QueuedPrefillTokens
	e.cur.PrefillRate, e.cur.DecodeRate = r.PrefillRate, r.DecodeRate
	e.cur.MaxBatch, e.cur.KVUsed = r.MaxBatch, r.KVUsed
	e.cur.Leaving = e.cur.Leaving || r.Leaving
	e.recent = sentAfter(e.recent, r.At)
	e.done = after(e.done, r.At)
	e.cur.BacklogTokens, e.cur.BacklogAt = float64(r.QueuedPrefillTokens), r.At
	e.cur.SentSinceReport, e.cur.SentTokensSinceReport = len(e.recent), 0
	e.cur.CompletedSinceReport = len(e.done)
	for _, s := range e.recent {
		e.cur.SentTokensSinceReport += s.uncached
		e.addBacklog(s.uncached, s.at)
	}
}

func sentAfter(s []sent, at time.Time) []sent {
	i := 0
	for i < len(s) && !s[i].at.After(at) {
		i++
	}
	return s[i:]
}

func after(s []time.Time, at time.Time) []time.Time {
	i := 0
	for i < len(s) && !s[i].After(at) {
		i++
	}
	return s[i:]
}

// addBacklog drains the backlog up to now and adds tokens.
func (e *entry) addBacklog(tokens int, now time.Time) {
	if dt := now.Sub(e.cur.BacklogAt).Seconds(); dt > 0 {
		e.cur.BacklogTokens = max(0, e.cur.BacklogTokens-dt*e.cur.PrefillRate)
		e.cur.BacklogAt = now
	}
	e.cur.BacklogTokens += float64(tokens)
}

// send notes a request sent at now.
func (e *entry) send(id string, uncached int, estimate float64, now time.Time) {
	s := sent{at: now, uncached: uncached, estimate: estimate}
	e.inFlight[id] = s
	e.recent = append(e.recent, s)
	e.cur.SentSinceReport++
	e.cur.SentTokensSinceReport += uncached
	e.addBacklog(uncached, now)
}

// peerSend notes a request that another gateway sent at a time. What the last
// report already counts is left out.
func (e *entry) peerSend(uncached int, at time.Time) {
	if !at.After(e.cur.ReportAt) {
		return
	}
	e.recent = append(e.recent, sent{at: at, uncached: uncached})
	e.cur.SentSinceReport++
	e.cur.SentTokensSinceReport += uncached
	e.addBacklog(uncached, at)
}

// firstToken notes the first token of a request.
func (e *entry) firstToken(o *HealthOptions, id string, now time.Time) {
	s, ok := e.inFlight[id]
	if !ok || s.first {
		return
	}
	s.first = true
	e.inFlight[id] = s
	e.decayBias(now)
	excess := now.Sub(s.at).Seconds() - s.estimate
	e.cur.TTFTBiasSeconds += biasWeight * (excess - e.cur.TTFTBiasSeconds)
	e.health.observe(o, e.cur.TTFTBiasSeconds, now)
}

// decayBias halves the excess for each half-life without samples.
func (e *entry) decayBias(now time.Time) {
	dt := now.Sub(e.biasAt)
	e.biasAt = now
	for ; dt >= biasHalfLife && e.cur.TTFTBiasSeconds != 0; dt -= biasHalfLife {
		e.cur.TTFTBiasSeconds /= 2
		if e.cur.TTFTBiasSeconds < 1e-3 && e.cur.TTFTBiasSeconds > -1e-3 {
			e.cur.TTFTBiasSeconds = 0
		}
	}
}

// end notes the end of a request.
func (e *entry) end(o *HealthOptions, id string, r Result, now time.Time) {
	if _, ok := e.inFlight[id]; !ok {
		return
	}
	delete(e.inFlight, id)
	e.done = append(e.done, now)
	e.cur.CompletedSinceReport++
	switch {
	case r == Success:
		e.health.success(o, now)
	case r.failed():
		e.health.failure(o, len(e.inFlight), now)
	}
}
