package datastore

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/sched"
)

// HealthOptions bound ejection and return.
type HealthOptions struct {
	// MaxConsecutiveFailures in a row that eject an endpoint.
	MaxConsecutiveFailures int
	// EjectWhenAllFailed ejects without waiting for Failures when every request
	// in flight at the endpoint has failed and none has succeeded since.
	EjectWhenAllFailed bool
	// BaseEjection is the first time out; it doubles up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// RecoveryShares are the shares of a returning endpoint; each lasts StepTime
	// and needs a success.
	RecoveryShares   []float64
	RecoveryStepTime time.Duration
	// MaxTTFTBiasSeconds of smoothed excess over the estimate, over SlowSamples
	// requests, eject a slow endpoint.
	MaxTTFTBiasSeconds float64
	MinTTFTSamples     int
}

// DefaultHealthOptions are the options in production.
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

// BaselineHealthOptions are the options of the version before, for comparison.
func BaselineHealthOptions() HealthOptions { return DefaultHealthOptions() }

// health is the state of one endpoint's health.
type health struct {
	state     sched.Health
	failures  int
	ejections int
	// until is the end of the ejection.
	until time.Time
	// step, stepAt and proved are the progress of the return.
	step   int
	stepAt time.Time
	proved bool
	// samples counts times to first token since the last change of state.
	samples int
}

// failure notes a failed request; inFlight is what is left at the endpoint.
func (h *health) failure(o *HealthOptions, inFlight int, now time.Time) {
	h.failures++
	if h.state == sched.Ejected {
		return
	}
	complete := o.EjectWhenAllFailed && inFlight == 0 && h.failures >= 2
	if h.state == sched.Recovering || h.failures >= o.MaxConsecutiveFailures || complete {
		h.eject(o, now)
	}
}

func (h *health) eject(o *HealthOptions, now time.Time) {
	d := o.BaseEjection << min(h.ejections, 10)
	h.ejections++
	h.state = sched.Ejected
	h.until = now.Add(min(d, o.MaxEjection))
	h.samples = 0
}

// success notes a whole answer.
func (h *health) success(o *HealthOptions, now time.Time) {
	h.failures = 0
	h.proved = true
	h.advance(o, now)
	if h.state == sched.Ejected {
		// A call that was let through for want of others succeeded.
		h.startReturn(now)
	}
}

// observe notes a time to first token; excess is its smoothed difference to
// the estimate in seconds.
func (h *health) observe(o *HealthOptions, excess float64, now time.Time) {
	h.samples++
	if h.state == sched.Healthy && h.samples >= o.MinTTFTSamples && excess > o.MaxTTFTBiasSeconds {
		h.eject(o, now)
	}
}

func (h *health) startReturn(now time.Time) {
	h.state = sched.Recovering
	h.failures = 0
	h.step, h.stepAt, h.proved = 0, now, false
	h.samples = 0
}

// advance moves the state on as time passes; it returns whether it changed.
func (h *health) advance(o *HealthOptions, now time.Time) bool {
	switch {
	case h.state == sched.Ejected && !now.Before(h.until):
		h.startReturn(now)
		return true
	case h.state == sched.Recovering && h.proved && now.Sub(h.stepAt) >= o.RecoveryStepTime:
		h.step++
		h.stepAt, h.proved = now, false
		if h.step >= len(o.RecoveryShares) {
			h.state = sched.Healthy
			h.ejections = 0
		}
		return true
	}
	return false
}

// share is the share of requests that a returning endpoint takes.
func (h *health) share(o *HealthOptions) float64 {
	if h.state != sched.Recovering || h.step >= len(o.RecoveryShares) {
		return 1
	}
	return o.RecoveryShares[h.step]
}
