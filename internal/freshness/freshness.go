// Package freshness decides whether a configuration is known to be recent enough for the
// keys in it to be trusted. The load that it answers is that of keys being taken away
// while gateways are cut off, frozen or far behind: a request that is sent later than a
// bound after the store acknowledged such a configuration must not run at any gateway.
//
// A proof is a time as of which a gateway is known to have everything that the store had
// acknowledged. It always dates from the start of the call that brought it, never from
// the arrival of the response, which may have waited in a socket. The package has no clock
// of its own and does no I/O.
package freshness

import (
	"sync"
	"time"
)

// Instant is a point in time of one machine, as the time since its boot.
type Instant time.Duration

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the point in time d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Clock tells the time, which goes on while the process or the machine is frozen.
type Clock interface{ Now() Instant }

// Observation says that as of a time the store had acknowledged no configuration newer
// than a version.
type Observation struct {
	// AsOf is when the call was started that brought the observation, less the age that
	// the response stated.
	AsOf Instant
	// Version is the newest version that the observation covers; 0 if there is none.
	Version uint64
	// Era is the store's era; 0 if it isn't known.
	Era uint64
	// IsDirect is set if the store itself gave the response, not another gateway.
	IsDirect bool
}

// Tracker holds the latest proof of a gateway. It is safe for concurrent use.
type Tracker struct {
	rewriteTime time.Duration

	mu sync.Mutex
	// proved is set once there is a proof; asOf is its time.
	proved bool
	asOf   Instant
	// era is the newest era seen, 0 for none. restoredAt is when it was first seen, if it
	// replaced another one; otherwise restored is not set.
	era        uint64
	restored   bool
	restoredAt Instant
}

// NewTracker returns a tracker without a proof. rewriteTime is how long operators may
// take after a restore of the store to write again what the older copy lacks.
func NewTracker(rewriteTime time.Duration) *Tracker { return &Tracker{rewriteTime: rewriteTime} }

// Observe takes in an observation, by a gateway whose configuration had at least the
// version inForce after the observation was made, at the time now. It reports whether the
// observation counts as a proof.
//
// An observation of a newer version than inForce proves nothing. Nor does one of a store
// that was restored less than the rewriting time before: the older copy may lack a
// configuration that had been acknowledged. The proof from before the restore counts on
// until it is too old.
func (t *Tracker) Observe(o Observation, inForce uint64, now Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeEra(o.Era, now)
	switch {
	case inForce == 0 || o.Version > inForce || o.AsOf > now:
		return false
	case o.IsDirect && o.Era == t.era && t.awaitsRewriting(o.AsOf):
		return false
	case !t.proved || o.AsOf > t.asOf:
		t.proved, t.asOf = true, o.AsOf
	}
	return true
}

// ObserveEra takes in the era of the store, as Observe does; 0 if it isn't known.
func (t *Tracker) ObserveEra(era uint64, now Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeEra(era, now)
}

func (t *Tracker) observeEra(era uint64, now Instant) {
	if era <= t.era {
		return
	}
	if t.era != 0 {
		t.restored, t.restoredAt = true, now
	}
	t.era = era
}

// awaitsRewriting reports whether a call to the store that is started at a time proves
// nothing, since the store was restored a moment before.
func (t *Tracker) awaitsRewriting(at Instant) bool {
	return t.restored && at < t.restoredAt.Add(t.rewriteTime)
}

// MayProve reports whether a call to the store that is started now can be a proof.
func (t *Tracker) MayProve(now Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.awaitsRewriting(now)
}

// AsOf returns the time of the latest proof. ok is false if there is none.
func (t *Tracker) AsOf() (asOf Instant, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf, t.proved
}

// Age returns the age of the latest proof. ok is false if there is none.
func (t *Tracker) Age(now Instant) (age time.Duration, ok bool) {
	asOf, ok := t.AsOf()
	return now.Sub(asOf), ok
}

// Era returns the newest era of the store that is known, 0 for none.
func (t *Tracker) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// MayServe reports whether the latest proof is at most bound old.
func (t *Tracker) MayServe(now Instant, bound time.Duration) bool {
	age, ok := t.Age(now)
	return ok && age <= bound
}
