// Package budget keeps limits that hold for the sum over all gateways: each
// gateway takes its part of them and no more. It is pure: now is an argument.
package budget

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets that a window is divided into.
const bucketCount = 50

// window counts events over a sliding time.
type window struct {
	width   time.Duration
	counts  [bucketCount]int
	current int64
}

func newWindow(length time.Duration) *window {
	return &window{width: max(length/(bucketCount-1), time.Millisecond)}
}

// advance empties the buckets that are over.
func (w *window) advance(now time.Time) int {
	n := now.UnixNano() / int64(w.width)
	for steps := 0; w.current < n && steps < bucketCount; steps++ {
		w.current++
		w.counts[w.current%bucketCount] = 0
	}
	w.current = max(n, w.current)
	return int(w.current % bucketCount)
}

func (w *window) add(now time.Time) { w.counts[w.advance(now)]++ }

func (w *window) sum(now time.Time) int {
	w.advance(now)
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

// RetrySettings bound the repeats of requests that a service gets.
type RetrySettings struct {
	// Ratio is the number of repeats that each request allows, Slack that
	// which all gateways together have beyond, both within Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// caution is the part of the budget that is used: gateways count in windows
// of their own, and the number of gateways may have just changed.
const caution = 0.8

// RetryBudget is the retry budget of one gateway. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	settings RetrySettings
	services map[string]*retryCounts
}

type retryCounts struct{ requests, repeats *window }

// NewRetryBudget returns a budget.
func NewRetryBudget(s RetrySettings) *RetryBudget {
	return &RetryBudget{settings: s, services: make(map[string]*retryCounts)}
}

// Configure takes changed settings. A changed window begins empty.
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
		c = &retryCounts{requests: newWindow(r.settings.Window), repeats: newWindow(r.settings.Window)}
		r.services[service] = c
	}
	return c
}

// RecordRequest notes a request for a service.
func (r *RetryBudget) RecordRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts(service).requests.add(now)
}

// TrySpend says whether a request may be sent once more, and takes it from the
// budget. gateways is the number of gateways that share the slack.
func (r *RetryBudget) TrySpend(service string, gateways int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts(service)
	allowed := r.settings.Ratio*float64(c.requests.sum(now)) + r.settings.Slack/float64(max(gateways, 1))
	if float64(c.repeats.sum(now)+1) > caution*allowed {
		return false
	}
	c.repeats.add(now)
	return true
}
