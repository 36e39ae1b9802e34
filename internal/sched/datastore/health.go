package datastore

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/sched"
)

// HealthOptions configure the ejection and recovery of endpoints.
type HealthOptions struct {
	// MaxConsecutiveFailures is the number of consecutive failures that ejects an
	// endpoint.
	MaxConsecutiveFailures int
	// EjectWhenAllFailed ejects an endpoint after as few as two consecutive failures
	// if no request is left in flight there: every request there has failed and
	// none has succeeded since.
	EjectWhenAllFailed bool
	// BaseEjection is the duration of the first ejection. It doubles with each
	// further ejection up to MaxEjection, until the endpoint is healthy again.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// RecoveryShares are the shares of requests for which a recovering endpoint is
	// considered, step by step. Each step lasts at least RecoveryStepTime and
	// until a request has succeeded.
	RecoveryShares   []float64
	RecoveryStepTime time.Duration
	// MaxTTFTBiasSeconds is the TTFT bias above which a slow endpoint is ejected
	// once MinTTFTSamples first tokens have been observed.
	MaxTTFTBiasSeconds float64
	MinTTFTSamples     int
}

// DefaultHealthOptions returns the options used in production.
func DefaultHealthOptions() HealthOptions {
	return HealthOptions{
		MaxConsecutiveFailures: 3,
		EjectWhenAllFailed:     true,
		BaseEjection:           5 * time.Second,
		MaxEjection:            60 * time.Second,
		RecoveryShares:         []float64{0.05, 0.2, 0.5},
		RecoveryStepTime:       2 * time.Second,
		MaxTTFTBiasSeconds:     2,
		MinTTFTSamples:         8,
	}
}

// BaselineHealthOptions returns the options of the previous version of the
// scheduler, which experiments compare with.
func BaselineHealthOptions() HealthOptions { return DefaultHealthOptions() }

// healthState is the circuit breaker of one endpoint. Its zero value is healthy.
type healthState struct {
	state               sched.Health
	consecutiveFailures int
	ejections           int
	// ejectedUntil is the end of the current ejection.
	ejectedUntil time.Time
	// recoveryStep, stepStartedAt and stepSucceeded track the progress of the
	// recovery.
	recoveryStep  int
	stepStartedAt time.Time
	stepSucceeded bool
	// ttftSamples counts the first tokens observed since the last ejection or the
	// last start of a recovery.
	ttftSamples int
}

// recordFailure records a failed request. inFlight is the number of this gateway's
// requests left in flight at the endpoint.
func (h *healthState) recordFailure(o *HealthOptions, inFlight int, now time.Time) {
	h.consecutiveFailures++
	if h.state == sched.Ejected {
		return
	}
	allFailed := o.EjectWhenAllFailed && inFlight == 0 && h.consecutiveFailures >= 2
	if h.state == sched.Recovering || h.consecutiveFailures >= o.MaxConsecutiveFailures || allFailed {
		h.eject(o, now)
	}
}

func (h *healthState) eject(o *HealthOptions, now time.Time) {
	d := o.BaseEjection << min(h.ejections, 10)
	h.ejections++
	h.state = sched.Ejected
	h.ejectedUntil = now.Add(min(d, o.MaxEjection))
	h.ttftSamples = 0
}

// recordSuccess records a complete response.
func (h *healthState) recordSuccess(o *HealthOptions, now time.Time) {
	h.consecutiveFailures = 0
	h.stepSucceeded = true
	h.advance(o, now)
	if h.state == sched.Ejected {
		// Ejected endpoints get requests when no other endpoint is usable.
		h.startRecovery(now)
	}
}

// recordTTFTBias records a first token. biasSeconds is the endpoint's TTFT bias
// including that token.
func (h *healthState) recordTTFTBias(o *HealthOptions, biasSeconds float64, now time.Time) {
	h.ttftSamples++
	if h.state == sched.Healthy && h.ttftSamples >= o.MinTTFTSamples && biasSeconds > o.MaxTTFTBiasSeconds {
		h.eject(o, now)
	}
}

func (h *healthState) startRecovery(now time.Time) {
	h.state = sched.Recovering
	h.consecutiveFailures = 0
	h.recoveryStep, h.stepStartedAt, h.stepSucceeded = 0, now, false
	h.ttftSamples = 0
}

// advance makes the transitions that are due at now. It reports whether the state
// or the recovery step changed.
func (h *healthState) advance(o *HealthOptions, now time.Time) bool {
	switch {
	case h.state == sched.Ejected && !now.Before(h.ejectedUntil):
		h.startRecovery(now)
		return true
	case h.state == sched.Recovering && h.stepSucceeded && now.Sub(h.stepStartedAt) >= o.RecoveryStepTime:
		h.recoveryStep++
		h.stepStartedAt, h.stepSucceeded = now, false
		if h.recoveryStep >= len(o.RecoveryShares) {
			h.state = sched.Healthy
			h.ejections = 0
		}
		return true
	}
	return false
}

// recoveryShare returns the share of requests for which the endpoint is
// considered; it is 1 unless the endpoint is recovering.
func (h *healthState) recoveryShare(o *HealthOptions) float64 {
	if h.state != sched.Recovering || h.recoveryStep >= len(o.RecoveryShares) {
		return 1
	}
	return o.RecoveryShares[h.recoveryStep]
}
