// Package backoff keeps requests away from endpoints that have asked for a pause. It is
// pure: no I/O, no clock; the current time is an argument.
//
// It answers the load in which an endpoint refuses what it can't take and says when it
// can again. If all that was kept away came back at once, it would refuse again; so it
// comes back step by step.
package backoff

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPause bounds the pause that an endpoint can ask for.
	MaxPause = 10 * time.Minute
	// After a pause an endpoint gets one request in the first rampStep, and in each
	// further one twice as many as before, for rampSteps.
	rampStep  = 250 * time.Millisecond
	rampSteps = 8
	// maxPauses is the number of pauses above which expired ones are removed.
	maxPauses = 1024
)

// returnSpread is the time over which callers return after a pause of all endpoints: as
// long as an endpoint needs to take all requests again.
const returnSpread = rampSteps * rampStep

// ReturnAfter returns when a caller is to come back whose request found all endpoints
// paused, the first of them for the given time. Requests with different keys come back
// at different times.
func ReturnAfter(soonest time.Duration, key string) time.Duration {
	return soonest + time.Duration(float64(xxhash.Sum64String(key))/math.MaxUint64*float64(returnSpread))
}

// Tracker holds the pauses that endpoints have asked this gateway for. Incarnations of
// endpoints are of type I. It is safe for concurrent use.
type Tracker[I comparable] struct {
	mu     sync.Mutex
	pauses map[string]*pause[I]
	count  atomic.Int64
}

// pause is the pause of one incarnation of an endpoint, with the steps after it.
type pause[I comparable] struct {
	incarnation I
	until       time.Time
	// admitted is the number of requests that were sent in the given step after it.
	step, admitted int
}

// New returns a tracker without pauses.
func New[I comparable]() *Tracker[I] { return &Tracker[I]{pauses: make(map[string]*pause[I])} }

// Record records that an incarnation of an endpoint asks for a pause from now on. It
// returns how long this gateway will pause: at most MaxPause, and never shorter than
// asked for before.
func (t *Tracker[I]) Record(id string, incarnation I, asked time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(min(asked, MaxPause))
	if p, ok := t.pauses[id]; ok && p.incarnation == incarnation && p.until.After(until) {
		until = p.until
	}
	t.pauses[id] = &pause[I]{incarnation: incarnation, until: until}
	if len(t.pauses) > maxPauses {
		t.removeExpired(now)
	}
	t.count.Store(int64(len(t.pauses)))
	return until.Sub(now)
}

// IsEmpty reports whether no endpoint is known to have asked for a pause.
func (t *Tracker[I]) IsEmpty() bool { return t.count.Load() == 0 }

// Remaining returns the time for which the endpoint gets no request, 0 if it may get one
// now. The request is not counted: the caller calls TryAdmit when it sends it.
func (t *Tracker[I]) Remaining(id string, incarnation I, now time.Time) time.Duration {
	if t.IsEmpty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remaining(id, incarnation, now)
}

// TryAdmit counts a request that is sent to the endpoint now and returns true, or returns
// false if the endpoint gets none now.
func (t *Tracker[I]) TryAdmit(id string, incarnation I, now time.Time) bool {
	if t.IsEmpty() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remaining(id, incarnation, now) > 0 {
		return false
	}
	if p, ok := t.pauses[id]; ok {
		p.admitted++
	}
	return true
}

func (t *Tracker[I]) remaining(id string, incarnation I, now time.Time) time.Duration {
	p, ok := t.pauses[id]
	if !ok {
		return 0
	}
	step := int(now.Sub(p.until) / rampStep)
	switch {
	case p.incarnation != incarnation || step >= rampSteps:
		delete(t.pauses, id)
		t.count.Store(int64(len(t.pauses)))
		return 0
	case now.Before(p.until):
		return p.until.Sub(now)
	case step != p.step:
		p.step, p.admitted = step, 0
	}
	if p.admitted < 1<<step {
		return 0
	}
	return p.until.Add(time.Duration(step+1) * rampStep).Sub(now)
}

func (t *Tracker[I]) removeExpired(now time.Time) {
	for id, p := range t.pauses {
		if now.Sub(p.until) >= rampSteps*rampStep {
			delete(t.pauses, id)
		}
	}
}
