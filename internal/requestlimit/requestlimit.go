// Package requestlimit keeps the requests to endpoints that name a limit within it: so
// many a second from all gateways together. It is pure: no I/O, no clock; the current
// time is an argument.
//
// It answers the load in which endpoints in need get as many requests as before from
// gateways each of which sees only its own. One gateway, the coordinator, gives out a
// permit for each request; the others hold back while it has none.
package requestlimit

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// burstTime is the time whose permits can be saved up, beside the first one.
	burstTime = 250 * time.Millisecond
	// minPerSecond is the least that is sent to an endpoint whatever its limit: somebody
	// has to find out when it names none any more.
	minPerSecond = 0.1
	// maxHold bounds how long a gateway that got no permit holds back, since the limit may
	// be lifted meanwhile.
	maxHold = 2 * time.Second
	// newsTime is how long a gateway tells its peers of a new or lifted limit: several
	// heartbeats, some of which may be lost.
	newsTime = 3 * time.Second
	// maxNews bounds the limits of one message.
	maxNews = 256
	// maxEndpoints is the number of endpoints above which those are dropped that have
	// named no limit for as long as retention.
	maxEndpoints = 1024
	retention    = time.Minute
)

// Limit is what a gateway tells others of an endpoint's limit.
type Limit struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"inc"`
	// PerSecond is the limit in requests a second. It is 0 if Lifted is set: the endpoint
	// names no limit any more.
	PerSecond float64 `json:"per_s,omitempty"`
	Lifted    bool    `json:"lifted,omitempty"`
	// AgeMillis is the time since the endpoint said so.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// Tracker holds the limits of endpoints, and the permits that this gateway can give out
// as their coordinator. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	count     atomic.Int64
}

type endpoint struct {
	incarnation int64
	perSecond   float64
	lifted      bool
	// saidAt is when the endpoint last named a limit, or its response without one showed
	// that it is lifted. changedAt is when the one followed the other.
	saidAt, changedAt time.Time
	// heldUntil is when this gateway may ask for a permit again.
	heldUntil time.Time
	bucket    bucket
}

// bucket holds the permits that a coordinator can give out.
type bucket struct {
	permits    float64
	share      float64
	refilledAt time.Time
	// waiting is the number of requests without a permit since there were enough.
	waiting int
}

// New returns a tracker that knows no limits.
func New() *Tracker { return &Tracker{endpoints: make(map[string]*endpoint)} }

// Record records what a response of an endpoint's incarnation says of its limit, in
// requests a second; nil if it names none. sentAt is when the request was sent: a response
// without a limit shows nothing if the request is older than what is known. It reports
// whether the limit is new or lifted.
func (t *Tracker) Record(id string, incarnation int64, perSecond *float64, sentAt, now time.Time) bool {
	if perSecond == nil && t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[id]
	switch {
	case perSecond != nil:
		return t.set(id, incarnation, *perSecond, now)
	case !ok || e.incarnation != incarnation || e.lifted || !sentAt.After(e.saidAt):
		return false
	default:
		e.lift(now)
		return true
	}
}

// set sets the limit as of the given time and reports whether there was none. The caller
// must hold the lock.
func (t *Tracker) set(id string, incarnation int64, perSecond float64, at time.Time) bool {
	e, ok := t.endpoints[id]
	if !ok || e.incarnation != incarnation {
		if len(t.endpoints) >= maxEndpoints {
			t.removeOld(at)
		}
		t.endpoints[id] = &endpoint{incarnation: incarnation, perSecond: perSecond, saidAt: at, changedAt: at}
		t.count.Store(int64(len(t.endpoints)))
		return true
	}
	isNew := e.lifted
	if isNew {
		e.changedAt, e.bucket, e.heldUntil = at, bucket{}, time.Time{}
	}
	e.perSecond, e.lifted, e.saidAt = perSecond, false, at
	return isNew
}

func (e *endpoint) lift(at time.Time) {
	e.perSecond, e.lifted, e.saidAt, e.changedAt, e.heldUntil = 0, true, at, at, time.Time{}
}

// Get returns the limit of an endpoint's incarnation and whether it has one.
func (t *Tracker) Get(id string, incarnation int64, now time.Time) (Limit, bool) {
	if t.count.Load() == 0 {
		return Limit{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[id]
	if !ok || e.incarnation != incarnation || e.lifted {
		return Limit{}, false
	}
	return e.limit(id, now), true
}

func (e *endpoint) limit(id string, now time.Time) Limit {
	return Limit{ID: id, Incarnation: e.incarnation, PerSecond: e.perSecond, Lifted: e.lifted, AgeMillis: max(now.Sub(e.saidAt).Milliseconds(), 0)}
}

// Apply merges what another gateway knows of a limit, unless this one knows something
// newer. It reports whether the limit is new or lifted.
func (t *Tracker) Apply(l Limit, now time.Time) bool {
	if l.ID == "" || l.AgeMillis < 0 || !(l.PerSecond >= 0) {
		return false
	}
	at := now.Add(-time.Duration(l.AgeMillis) * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[l.ID]
	switch {
	case ok && !at.After(e.saidAt):
		return false
	case !l.Lifted:
		return t.set(l.ID, l.Incarnation, l.PerSecond, at)
	case !ok || e.incarnation != l.Incarnation || e.lifted:
		return false
	default:
		e.lift(at)
		return true
	}
}

// Lifted returns the message that the limit of an endpoint's incarnation is lifted, and
// whether it is.
func (t *Tracker) Lifted(id string, incarnation int64, now time.Time) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[id]
	if !ok || e.incarnation != incarnation || !e.lifted {
		return Limit{}, false
	}
	return e.limit(id, now), true
}

// News returns the limits that are new or lifted, ordered by id.
func (t *Tracker) News(now time.Time) []Limit {
	return t.list(now, func(e *endpoint) bool { return now.Sub(e.changedAt) <= newsTime })
}

// All returns all limits in force, ordered by id.
func (t *Tracker) All(now time.Time) []Limit {
	return t.list(now, func(e *endpoint) bool { return !e.lifted })
}

func (t *Tracker) list(now time.Time, include func(*endpoint) bool) []Limit {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Limit
	for id, e := range t.endpoints {
		if include(e) {
			out = append(out, e.limit(id, now))
		}
	}
	slices.SortFunc(out, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), strings.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxNews)]
}

// Hold lets this gateway send no request to the endpoint for the given time, unless the
// limit is lifted before.
func (t *Tracker) Hold(id string, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.endpoints[id]; ok && !e.lifted {
		e.heldUntil = now.Add(d)
	}
}

// Remaining returns the time for which the endpoint gets no request of this gateway, 0 if
// it may ask for a permit now.
func (t *Tracker) Remaining(id string, incarnation int64, now time.Time) time.Duration {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[id]
	if !ok || e.incarnation != incarnation {
		return 0
	}
	return max(e.heldUntil.Sub(now), 0)
}

// TryTake takes a permit for one request, if this gateway, which may give out the given
// share of the limit (above 0, at most 1), has one. If not, it returns how long to hold
// back: requests that find none get different times. An endpoint without a limit needs no
// permit.
func (t *Tracker) TryTake(id string, share float64, now time.Time) (hold time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.endpoints[id]
	if !known || e.lifted {
		return 0, true
	}
	return e.bucket.take(max(e.perSecond, minPerSecond), share, now)
}

// take takes a permit from the bucket. It begins empty, and permits come at the lower of
// the last two shares, so that nothing is given out for a time in which another gateway
// gave out permits.
func (b *bucket) take(perSecond, share float64, now time.Time) (hold time.Duration, ok bool) {
	if b.refilledAt.IsZero() {
		b.refilledAt, b.share = now, share
	}
	elapsed := max(now.Sub(b.refilledAt).Seconds(), 0)
	capacity := 1 + perSecond*share*burstTime.Seconds()
	b.permits = min(b.permits+elapsed*perSecond*min(share, b.share), capacity)
	b.refilledAt, b.share = now, share
	if b.permits == capacity {
		b.waiting = 0
	}
	if b.permits >= 1 {
		b.permits--
		b.waiting = max(b.waiting-1, 0)
		return 0, true
	}
	b.waiting++
	seconds := (float64(b.waiting) - b.permits) / (perSecond * share)
	return min(time.Duration(min(seconds, maxHold.Seconds())*float64(time.Second)), maxHold), false
}

// Resign drops the permits of this gateway: another one is the endpoint's coordinator.
func (t *Tracker) Resign(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.bucket = bucket{}
	}
}

// Forget drops the limit of an endpoint that no longer exists.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, id)
	t.count.Store(int64(len(t.endpoints)))
}

// removeOld drops the endpoints of which nothing was heard for as long as retention. The
// caller must hold the lock.
func (t *Tracker) removeOld(now time.Time) {
	for id, e := range t.endpoints {
		if now.Sub(e.saidAt) > retention {
			delete(t.endpoints, id)
		}
	}
}
