package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// incarnationKey identifies one incarnation of an endpoint.
type incarnationKey struct {
	id          string
	incarnation int64
}

// leavingMark says that an incarnation is leaving.
type leavingMark struct {
	since time.Time
	// inEntry is set if its entry says so, not only its responses.
	inEntry bool
}

// goneMark holds the sequence number of an incarnation's last entry, and when that was
// deleted.
type goneMark struct {
	sequence int64
	at       time.Time
}

// goneRetention is how long a goneMark is kept: longer than the age of the copies that the
// store is restored from.
const goneRetention = 10 * time.Minute

// leavingRetention is how long the mark of a leaving incarnation is kept. It is
// longer than an entry of that incarnation can be delayed.
const leavingRetention = 10 * time.Minute

// MarkLeaving records that an incarnation is leaving, as its responses or a peer say. It
// reports whether this was not known before.
func (r *Registry) MarkLeaving(id string, incarnation int64, now time.Time) bool {
	key := incarnationKey{id, incarnation}
	r.mu.RLock()
	_, known := r.leaving[key]
	r.mu.RUnlock()
	if known {
		return false
	}
	r.lockForChange()
	defer r.mu.Unlock()
	if _, ok := r.leaving[key]; ok {
		return false
	}
	r.leaving[key] = leavingMark{since: now}
	if v, ok := r.views[id]; ok && v.Incarnation == incarnation {
		v.LeavingSince = now
	}
	return true
}

// LeavingEndpoint identifies an incarnation that is leaving.
type LeavingEndpoint struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"inc"`
}

const (
	// leavingNewsTime is how long a gateway tells its peers of an endpoint whose entry
	// doesn't say that it is leaving: several heartbeats, some of which may be lost.
	leavingNewsTime = 3 * time.Second
	// maxLeavingNews bounds the list.
	maxLeavingNews = 32
)

// NewlyLeaving returns the incarnations that were lately found to be leaving although
// their entries don't say so, ordered by id.
func (r *Registry) NewlyLeaving(now time.Time) []LeavingEndpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []LeavingEndpoint
	for key, mark := range r.leaving {
		if !mark.inEntry && now.Sub(mark.since) <= leavingNewsTime {
			out = append(out, LeavingEndpoint{ID: key.id, Incarnation: key.incarnation})
		}
	}
	slices.SortFunc(out, func(a, b LeavingEndpoint) int { return strings.Compare(a.ID, b.ID) })
	return out[:min(len(out), maxLeavingNews)]
}

// MarkAddressTaken records that another endpoint answered at the address of the
// given incarnation.
func (r *Registry) MarkAddressTaken(id string, incarnation int64, now time.Time) {
	r.updateView(id, incarnation, func(v *EndpointView) { v.AddressTakenAt = now })
}

// MarkRefused records that the given incarnation refused a connection of this gateway.
func (r *Registry) MarkRefused(id string, incarnation int64, now time.Time) {
	r.lockForChange()
	defer r.mu.Unlock()
	r.refused[incarnationKey{id, incarnation}] = now
	if v, ok := r.views[id]; ok && v.Incarnation == incarnation {
		v.RefusedAt = now
	}
}

// RefusedEndpoint identifies an incarnation that refused a connection, AgeMillis ago.
type RefusedEndpoint struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"inc"`
	AgeMillis   int64  `json:"age_ms,omitempty"`
}

const (
	// refusedNewsTime is how long a gateway tells its peers of a refused connection:
	// several heartbeats, some of which may be lost.
	refusedNewsTime = 1500 * time.Millisecond
	// refusedRepeat is by how much a refused connection has to be later than the one that
	// is known to count as another one. It exceeds the transit time of a heartbeat, or
	// gateways would tell each other of the same one for ever.
	refusedRepeat = time.Second
	// refusedRetention is how long refused connections are kept, longer than an endpoint
	// counts as cold for them.
	refusedRetention = time.Minute
	// maxRefusedNews bounds the list.
	maxRefusedNews = 64
)

// NewlyRefused returns the incarnations that lately refused connections, the latest
// first.
func (r *Registry) NewlyRefused(now time.Time) []RefusedEndpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []RefusedEndpoint
	for key, at := range r.refused {
		if age := now.Sub(at); age <= refusedNewsTime {
			out = append(out, RefusedEndpoint{ID: key.id, Incarnation: key.incarnation, AgeMillis: max(age.Milliseconds(), 0)})
		}
	}
	slices.SortFunc(out, func(a, b RefusedEndpoint) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), strings.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxRefusedNews)]
}

// ApplyRefused merges refused connections of which a peer has told. It returns the ids
// of the endpoints for which none was known.
func (r *Registry) ApplyRefused(list []RefusedEndpoint, now time.Time) []string {
	var found []string
	for _, e := range list {
		key, at := incarnationKey{e.ID, e.Incarnation}, now.Add(-time.Duration(e.AgeMillis)*time.Millisecond)
		r.mu.RLock()
		known, ok := r.refused[key]
		r.mu.RUnlock()
		if e.AgeMillis < 0 || ok && at.Sub(known) <= refusedRepeat {
			continue
		}
		r.MarkRefused(e.ID, e.Incarnation, at)
		if !ok {
			found = append(found, e.ID)
		}
	}
	return found
}

// MarkCold records that the given incarnation said in a health response that it is cold
// until the given time.
func (r *Registry) MarkCold(id string, incarnation int64, until time.Time) {
	r.lockForChange()
	defer r.mu.Unlock()
	r.cold[incarnationKey{id, incarnation}] = until
	if v, ok := r.views[id]; ok && v.Incarnation == incarnation {
		v.HealthColdUntil = until
	}
}

// MarkUnreachable records that a connection to the given incarnation failed.
func (r *Registry) MarkUnreachable(id string, incarnation int64, now time.Time) {
	r.updateView(id, incarnation, func(v *EndpointView) { v.UnreachableAt = now })
}

func (r *Registry) updateView(id string, incarnation int64, set func(*EndpointView)) {
	r.lockForChange()
	defer r.mu.Unlock()
	if v, ok := r.views[id]; ok && v.Incarnation == incarnation {
		set(v)
	}
}

// removeExpiredMarks removes the marks that no entry can need any more. The caller must
// hold the lock.
func (r *Registry) removeExpiredMarks(now time.Time) {
	for key, mark := range r.leaving {
		if now.Sub(mark.since) > leavingRetention {
			delete(r.leaving, key)
		}
	}
	for key, mark := range r.gone {
		if now.Sub(mark.at) > goneRetention {
			delete(r.gone, key)
		}
	}
	for key, at := range r.refused {
		if now.Sub(at) > refusedRetention {
			delete(r.refused, key)
		}
	}
	for key, until := range r.cold {
		if now.After(until) {
			delete(r.cold, key)
		}
	}
}
