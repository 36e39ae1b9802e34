// Package pace limits the requests in flight at endpoints that have just started or
// recovered, until they have shown what they can take. It is pure: no I/O, no clock, no
// random source; the current time is an argument.
//
// It answers the load in which an endpoint comes back empty while the others are busy:
// each gateway sees the idle endpoint and sends to it, although its caches are cold or
// its fault is not over. Each endpoint has a window of requests in flight. It doubles
// with each round of responses that come as fast as expected, and shrinks when one is
// late, refused or failed. From the size at which that happened it grows by steps. An
// endpoint whose window has not limited it for a while has proved itself and has none.
//
// The window is a preference among endpoints: where no other endpoint can serve a
// request, it gives way (MayExceed).
package pace

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Cause is why an endpoint gets a window.
type Cause string

// The causes.
const (
	// Started means that the endpoint was seen for the first time, or that its cold start
	// is over.
	Started Cause = "started"
	// Recovered means that the endpoint was unreachable or refused connections.
	Recovered Cause = "recovered"
	// Returned means that the evacuation of the endpoint's data centre has ended.
	Returned Cause = "returned"
)

// Result is what became of a request.
type Result int

// The results.
const (
	// Answered means that the first output of the response arrived.
	Answered Result = iota
	// Refused means that the endpoint did not run the request because of its load.
	Refused
	// Failed means that the endpoint failed the request.
	Failed
	// Unreachable means that no connection could be established, or that the endpoint
	// ended.
	Unreachable
	// Abandoned means that the request ended before its first output for another reason,
	// such as its deadline.
	Abandoned
)

// String returns the name of the result, as it appears in logs.
func (r Result) String() string {
	if !r.IsValid() {
		return "unknown"
	}
	return [...]string{"answered", "refused", "failed", "unreachable", "abandoned"}[r]
}

// IsValid reports whether r is one of the results.
func (r Result) IsValid() bool { return r >= Answered && r <= Abandoned }

// Sample is what one request showed of its endpoint.
type Sample struct {
	// Expected is the time to the first output that was expected when the request was
	// sent. Actual is the time that it took, or the time to the end of the request
	// if there was none.
	Expected, Actual time.Duration
	// Objective is the time that was left until the latency objective when the request was
	// sent; 0 or less if none was.
	Objective time.Duration
	Result    Result
	// Count is the number of requests that the sample stands for: the number of gateways
	// that take their part of the window, where each sees its own requests only. 0
	// counts as 1.
	Count int
}

const (
	// Expectations are off by up to about half, so a response is late after lateFactor
	// times the expected time and lateSlack.
	lateFactor = 2
	lateSlack  = 50 * time.Millisecond
	// An endpoint whose reported load is wrong makes expectations wrong in either direction.
	// A response within comfortableShare of the objective is not late, whatever was
	// expected, and one after the objective is.
	comfortableShare = 0.25
)

// isLate reports whether the sample shows that the endpoint holds too many requests.
func (s Sample) isLate() bool {
	limit := lateFactor*s.Expected + lateSlack
	if s.Objective > 0 {
		comfortable := time.Duration(comfortableShare * float64(s.Objective))
		limit = min(max(limit, comfortable), s.Objective)
	}
	return s.Actual > limit
}

// Unlimited is the room of an endpoint without a window.
const Unlimited = math.MaxInt

// Bounds of the state.
const (
	// maxWindows bounds the endpoints that have a window or had one lately.
	maxWindows = 4096
	// maxAge is the time after which an endpoint is no longer one that has just started or
	// recovered, whatever became of its window.
	maxAge = time.Minute
)

// Tracker holds the windows of endpoints. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	windows map[string]*window
	// count is the number of windows. It lets Room and Record return early as long as no
	// endpoint has one.
	count atomic.Int64
}

// New returns a tracker without windows.
func New() *Tracker { return &Tracker{windows: make(map[string]*window)} }

// Begin gives an incarnation of an endpoint a window. An endpoint that ends or can't be
// reached soon after it got one begins with less. It reports whether the window is
// new, or smaller than the one before.
func (t *Tracker) Begin(id string, incarnation int64, cause Cause, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.windows[id]
	if !ok && len(t.windows) >= maxWindows && !t.removeExpired(now) {
		return false
	}
	if ok && old.incarnation > incarnation {
		return false
	}
	if ok && old.incarnation == incarnation && !old.proved && cause == Started {
		return false
	}
	w := newWindow(incarnation, cause, now)
	if ok && now.Sub(old.beganAt) < relapseTime && (cause == Recovered || old.incarnation < incarnation) {
		w.relapse(old, now)
	}
	t.windows[id] = w
	t.count.Store(int64(len(t.windows)))
	return !ok || old.proved || old.incarnation != incarnation || w.size < old.size
}

// Room returns how many more requests an endpoint with the given number in flight may
// get; 0 or less for none, Unlimited without a window.
func (t *Tracker) Room(id string, incarnation int64, inFlight int, now time.Time) int {
	if t.count.Load() == 0 {
		return Unlimited
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.open(id, incarnation, now)
	if w == nil {
		return Unlimited
	}
	return w.room(inFlight, now)
}

// MayExceed reports whether a request that no endpoint with room can serve in time may be
// sent to an endpoint without room. It may as long as nothing speaks against it. If the
// endpoint has just refused or failed requests, or ended, one more would only be lost.
// allPaced is set if all endpoints that could serve the request have windows. If one of
// them has just been late then, one more request would make those behind it late as well;
// otherwise the alternative is an endpoint that is late too.
func (t *Tracker) MayExceed(id string, incarnation int64, inFlight int, allPaced bool, now time.Time) bool {
	if t.count.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.open(id, incarnation, now)
	return w == nil || w.mayExceed(inFlight, allPaced, now)
}

// Record records what a request showed of its endpoint. The zero Change means that
// nothing worth logging followed.
func (t *Tracker) Record(id string, incarnation int64, s Sample, now time.Time) Change {
	if t.count.Load() == 0 {
		return Change{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.open(id, incarnation, now)
	if w == nil {
		return Change{}
	}
	return w.record(s, now)
}

// HasWindow reports whether the incarnation has a window.
func (t *Tracker) HasWindow(id string, incarnation int64, now time.Time) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open(id, incarnation, now) != nil
}

// Forget drops the window of an endpoint that no longer exists.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.windows, id)
	t.count.Store(int64(len(t.windows)))
}

// open returns the window of an incarnation, nil if it has none. The caller must hold
// the lock.
func (t *Tracker) open(id string, incarnation int64, now time.Time) *window {
	w, ok := t.windows[id]
	switch {
	case !ok:
		return nil
	case w.isOver(now):
		delete(t.windows, id)
		t.count.Store(int64(len(t.windows)))
		return nil
	case w.incarnation != incarnation || w.proved:
		return nil
	default:
		return w
	}
}

// removeExpired removes the windows that can't matter any more, and reports whether
// there were any. The caller must hold the lock.
func (t *Tracker) removeExpired(now time.Time) bool {
	for id, w := range t.windows {
		if w.isOver(now) {
			delete(t.windows, id)
		}
	}
	t.count.Store(int64(len(t.windows)))
	return len(t.windows) < maxWindows
}
