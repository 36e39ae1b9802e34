package datastore

import (
	"math"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/sched"
)

// biasWeight is the weight of a new sample in the smoothed TTFT bias.
const biasWeight = 0.2

// biasHalfLife is the half-life of the TTFT bias; see decayBias.
const biasHalfLife = 5 * time.Second

// sentRequest is a request sent to an endpoint by this gateway or, if announced,
// by another one.
type sentRequest struct {
	sentAt               time.Time
	uncachedTokens       int
	estimatedTTFTSeconds float64
	hasFirstToken        bool
}

// entry is the mutable state of one endpoint, guarded by its shard's lock.
type entry struct {
	ref      *sched.EndpointRef
	current  sched.Endpoint
	health   healthState
	inFlight map[string]sentRequest
	// sentSinceReport holds the requests sent since the last load report in the
	// order of recording. An announced request may be older than the one before
	// it.
	sentSinceReport []sentRequest
	// endedSinceReport holds the end times of requests that ended since the last
	// load report, oldest first.
	endedSinceReport []time.Time
	biasUpdatedAt    time.Time
	// lastCacheSeq is the sequence number of the last cache event applied.
	lastCacheSeq uint64
	// incarnation identifies the process that the rest of the entry describes.
	incarnation string
}

// publish stores a snapshot of the entry for decisions to read.
func (e *entry) publish(o *HealthOptions) {
	e.current.Health = e.health.state
	e.current.RecoveryShare = e.health.recoveryShare(o)
	e.current.InFlight = len(e.inFlight)
	snapshot := e.current
	e.ref.Store(&snapshot)
}

// applyLoadReport copies a load report and adds the requests sent after it.
func (e *entry) applyLoadReport(r blackboard.LoadReport) {
	if r.TakenAt.Before(e.current.ReportAt) {
		return
	}
	e.current.ReportAt = r.TakenAt
	e.current.Running, e.current.Waiting = r.Running, r.Waiting
	e.current.QueuedPrefillTokens = r.QueuedPrefillTokens
	e.current.PrefillRate, e.current.DecodeRate = r.PrefillRate, r.DecodeRate
	e.current.MaxBatch, e.current.KVUsed = r.MaxBatch, r.KVUsed
	e.current.Leaving = e.current.Leaving || r.Leaving
	e.sentSinceReport = sentAfter(e.sentSinceReport, r.TakenAt)
	e.endedSinceReport = timesAfter(e.endedSinceReport, r.TakenAt)
	e.current.BacklogTokens, e.current.BacklogAt = float64(r.QueuedPrefillTokens), r.TakenAt
	e.current.SentSinceReport, e.current.SentTokensSinceReport = len(e.sentSinceReport), 0
	e.current.CompletedSinceReport = len(e.endedSinceReport)
	for _, s := range e.sentSinceReport {
		e.current.SentTokensSinceReport += s.uncachedTokens
		e.addBacklog(s.uncachedTokens, s.sentAt)
	}
}

// sentAfter drops the leading requests of s that were not sent after at.
func sentAfter(s []sentRequest, at time.Time) []sentRequest {
	i := 0
	for i < len(s) && !s[i].sentAt.After(at) {
		i++
	}
	return s[i:]
}

// timesAfter drops the leading times of s that are not after at.
func timesAfter(s []time.Time, at time.Time) []time.Time {
	i := 0
	for i < len(s) && !s[i].After(at) {
		i++
	}
	return s[i:]
}

// addBacklog reduces the backlog by what the endpoint can have prefilled up to
// now, then adds tokens.
func (e *entry) addBacklog(tokens int, now time.Time) {
	if dt := now.Sub(e.current.BacklogAt).Seconds(); dt > 0 {
		e.current.BacklogTokens = max(0, e.current.BacklogTokens-dt*e.current.PrefillRate)
		e.current.BacklogAt = now
	}
	e.current.BacklogTokens += float64(tokens)
}

// recordSent records a request that this gateway sent at now.
func (e *entry) recordSent(id string, uncachedTokens int, estimatedTTFTSeconds float64, now time.Time) {
	s := sentRequest{sentAt: now, uncachedTokens: uncachedTokens, estimatedTTFTSeconds: estimatedTTFTSeconds}
	e.inFlight[id] = s
	e.sentSinceReport = append(e.sentSinceReport, s)
	e.current.SentSinceReport++
	e.current.SentTokensSinceReport += uncachedTokens
	e.addBacklog(uncachedTokens, now)
}

// recordPeerSent records a request that another gateway sent at the given time. It
// ignores requests that the last load report already includes.
func (e *entry) recordPeerSent(uncachedTokens int, at time.Time) {
	if !at.After(e.current.ReportAt) {
		return
	}
	e.sentSinceReport = append(e.sentSinceReport, sentRequest{sentAt: at, uncachedTokens: uncachedTokens})
	e.current.SentSinceReport++
	e.current.SentTokensSinceReport += uncachedTokens
	e.addBacklog(uncachedTokens, at)
}

// recordFirstToken updates the TTFT bias from the first token of a request. Only
// the first call for a request has an effect.
func (e *entry) recordFirstToken(o *HealthOptions, id string, now time.Time) {
	s, ok := e.inFlight[id]
	if !ok || s.hasFirstToken {
		return
	}
	s.hasFirstToken = true
	e.inFlight[id] = s
	e.decayBias(now)
	excessSeconds := now.Sub(s.sentAt).Seconds() - s.estimatedTTFTSeconds
	e.current.TTFTBiasSeconds += biasWeight * (excessSeconds - e.current.TTFTBiasSeconds)
	e.health.recordTTFTBias(o, e.current.TTFTBiasSeconds, now)
}

// minBiasSeconds is the TTFT bias, of either sign, that counts as none.
const minBiasSeconds = 1e-3

// decayBias lets the TTFT bias decay by its half-life since the previous call.
func (e *entry) decayBias(now time.Time) {
	halfLives := now.Sub(e.biasUpdatedAt).Seconds() / biasHalfLife.Seconds()
	if halfLives <= 0 {
		return
	}
	e.biasUpdatedAt = now
	e.current.TTFTBiasSeconds *= math.Exp2(-halfLives)
	if math.Abs(e.current.TTFTBiasSeconds) < minBiasSeconds {
		e.current.TTFTBiasSeconds = 0
	}
}

// recordEnd removes a request from those in flight and updates the endpoint's
// health from its result. Unknown requests are ignored.
func (e *entry) recordEnd(o *HealthOptions, id string, r Result, now time.Time) {
	if _, ok := e.inFlight[id]; !ok {
		return
	}
	delete(e.inFlight, id)
	e.endedSinceReport = append(e.endedSinceReport, now)
	e.current.CompletedSinceReport++
	switch {
	case r == Success:
		e.health.recordSuccess(o, now)
	case r.isFailure():
		e.health.recordFailure(o, len(e.inFlight), now)
	}
}
