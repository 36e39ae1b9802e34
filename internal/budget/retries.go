// Package budget enforces limits that apply to all gateways together: each
// gateway takes no more than its share. It reads no clock; the current time is
// an argument.
package budget

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets that a sliding window is divided into.
const bucketCount = 50

// slidingCounter counts events in a sliding window.
type slidingCounter struct {
	bucketWidth time.Duration
	counts      [bucketCount]int
	current     int64
}

func newSlidingCounter(window time.Duration) *slidingCounter {
	return &slidingCounter{bucketWidth: max(window/(bucketCount-1), time.Millisecond)}
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
func (w *slidingCounter) advance(now time.Time) int {
	n := now.UnixNano() / int64(w.bucketWidth)
	for steps := 0; w.current < n && steps < bucketCount; steps++ {
		w.current++
		w.counts[w.current%bucketCount] = 0
	}
	w.current = max(n, w.current)
	return int(w.current % bucketCount)
}

func (w *slidingCounter) add(now time.Time) { w.counts[w.advance(now)]++ }

func (w *slidingCounter) sum(now time.Time) int {
	w.advance(now)
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

// RetrySettings limits the retries of requests to a service.
type RetrySettings struct {
	// Ratio is the number of retries that each request allows. Slack is the
	// number of retries that all gateways together may make in addition. Both
	// apply within Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safetyFactor is the part of the budget that is used. The rest covers that
// each gateway counts in its own window, and that the number of gateways may
// have just changed.
const safetyFactor = 0.8

// RetryBudget is the retry budget of one gateway, separate for each service. It
// is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	settings RetrySettings
	services map[string]*retryCounts
}

type retryCounts struct{ requests, retries *slidingCounter }

// NewRetryBudget returns a budget that has counted no requests.
func NewRetryBudget(s RetrySettings) *RetryBudget {
	return &RetryBudget{settings: s, services: make(map[string]*retryCounts)}
}

// Configure replaces the settings. If Window changes, all counts are reset.
func (r *RetryBudget) Configure(s RetrySettings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Window != r.settings.Window {
		clear(r.services)
	}
	r.settings = s
}

func (r *RetryBudget) counts(service string) *retryCounts {
	c, ok := r.services[service]
	if !ok {
		c = &retryCounts{requests: newSlidingCounter(r.settings.Window), retries: newSlidingCounter(r.settings.Window)}
		r.services[service] = c
	}
	return c
}

// RecordRequest counts a request to a service. Each request is recorded once,
// whatever its number of retries.
func (r *RetryBudget) RecordRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts(service).requests.add(now)
}

// UnknownGateways stands for the number of gateways while it is not known.
const UnknownGateways = 0

// TrySpend takes one retry from the budget and reports whether the budget
// allowed it. gateways is the number of gateways that divide the slack among
// them; with UnknownGateways none of the slack is used.
func (r *RetryBudget) TrySpend(service string, gateways int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts(service)
	allowed := r.settings.Ratio * float64(c.requests.sum(now))
	if gateways != UnknownGateways {
		allowed += r.settings.Slack / float64(gateways)
	}
	if float64(c.retries.sum(now)+1) > safetyFactor*allowed {
		return false
	}
	c.retries.add(now)
	return true
}
