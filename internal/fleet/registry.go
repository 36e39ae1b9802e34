package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is the state of one endpoint's key in the store.
type Entry struct {
	ID string
	// Endpoint is nil if the key was deleted or its value is invalid.
	Endpoint *Endpoint
	// Deleted is set if the key was deleted or has expired.
	Deleted bool
	// Err says why the value is invalid.
	Err error
}

// ReregistrationGrace is how long endpoints whose entries expired during a store
// outage have to write them again before they count as gone.
const ReregistrationGrace = 2 * time.Second

// coldMargin extends the remaining cold start time that an entry states, since
// the entry was written some time before it was read.
const coldMargin = 200 * time.Millisecond

// Registry holds the views of the endpoints of all regions. It is safe for
// concurrent use.
type Registry struct {
	mu sync.RWMutex
	// regions maps data centres to their regions.
	regions map[string]string
	views   map[string]*EndpointView
	// leaving holds the incarnations that are leaving. No later entry of the same
	// incarnation lifts the mark.
	leaving map[incarnationKey]leavingMark
	// refused holds when incarnations last refused a connection. No later entry of the
	// same incarnation lifts the mark: it may have been written before.
	refused map[incarnationKey]time.Time
	// cold holds until when incarnations are cold by their own health responses. No later
	// entry of the same incarnation lifts the mark: it may have been written before.
	cold map[incarnationKey]time.Time
	// gone holds the incarnations whose entries were deleted. An entry that was written
	// before is no sign of them: a store that is restored from a copy has it again.
	gone map[incarnationKey]goneMark
	// currentAt is when the entries were last known to match the store; followedSince is since
	// when they have been followed without a gap.
	currentAt, followedSince time.Time
	// versionsLeft holds when an endpoint of a software version was last removed.
	versionsLeft map[serviceVersion]time.Time
	// storeRecoveredAt is when the last store outage ended.
	storeRecoveredAt time.Time
	// evacuated holds the data centres that get no requests.
	evacuated map[string]bool
	// evacuationEnded is when the last evacuation of each data centre ended.
	evacuationEnded map[string]time.Time
	// changes counts the changes of any of these.
	changes         uint64
	lastFingerprint atomic.Pointer[fingerprint]
	history         entryHistory

	usableMu sync.Mutex
	// usable holds the last result of Usable for each service.
	usable map[string]usableList
}

// usableList is the result of Usable at a time.
type usableList struct {
	at      time.Time
	changes uint64
	list    []EndpointView
}

// usableListTTL is how long a usableList is used while nothing changes: a small part
// of the time for which a taken address keeps an endpoint out of it.
const usableListTTL = 100 * time.Millisecond

// NewRegistry returns an empty registry. regions maps data centres to their
// regions; endpoints in data centres that it lacks are ignored.
func NewRegistry(regions map[string]string) *Registry {
	return &Registry{
		regions:         regions,
		views:           make(map[string]*EndpointView),
		leaving:         make(map[incarnationKey]leavingMark),
		refused:         make(map[incarnationKey]time.Time),
		cold:            make(map[incarnationKey]time.Time),
		gone:            make(map[incarnationKey]goneMark),
		versionsLeft:    make(map[serviceVersion]time.Time),
		evacuated:       make(map[string]bool),
		evacuationEnded: make(map[string]time.Time),
		usable:          make(map[string]usableList),
	}
}

// lockForChange locks the registry for a change.
func (r *Registry) lockForChange() {
	r.mu.Lock()
	r.changes++
}

// SetRegions replaces the map of data centres to regions. Endpoints in data
// centres that it lacks are removed.
func (r *Registry) SetRegions(regions map[string]string, now time.Time) {
	r.lockForChange()
	defer r.mu.Unlock()
	r.regions = regions
	for id, v := range r.views {
		region, known := regions[v.DataCentre]
		if !known {
			delete(r.views, id)
			r.recordVersionLeft(&v.Endpoint, now)
			continue
		}
		v.Region = region
	}
}

// Change is a change of an endpoint's view that is worth logging.
type Change struct {
	ID   string
	Kind string
	// Address is the endpoint's address; set for ChangeRemoved only.
	Address string
}

// The kinds of change.
const (
	ChangeNew        = "new"
	ChangeRestarted  = "restarted"
	ChangeLeaving    = "leaving"
	ChangeRemoved    = "gone"
	ChangeMissing    = "missing"
	ChangeReappeared = "back"
	ChangeInvalid    = "entry_broken"
)

// Apply merges changed entries and returns the resulting changes.
func (r *Registry) Apply(entries []Entry, now time.Time) []Change {
	r.lockForChange()
	defer r.mu.Unlock()
	var out []Change
	for _, e := range entries {
		out = append(out, r.apply(e, now)...)
	}
	return out
}

// Replace merges the complete list of entries and returns the resulting changes.
// Endpoints that it lacks are treated as deleted.
func (r *Registry) Replace(entries []Entry, now time.Time) []Change {
	r.lockForChange()
	defer r.mu.Unlock()
	var out []Change
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		out = append(out, r.apply(e, now)...)
	}
	for id := range r.views {
		if !present[id] {
			out = append(out, r.apply(Entry{ID: id, Deleted: true}, now)...)
		}
	}
	return out
}

// StoreOutageAfter is the time without a read of the store after which the store counts
// as out of reach. It is longer than another gateway needs to take over as store reader.
const StoreOutageAfter = 2500 * time.Millisecond

// RecordCurrent records that the entries matched the store at the given time.
func (r *Registry) RecordCurrent(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !at.After(r.currentAt) {
		return
	}
	if at.Sub(r.currentAt) > StoreOutageAfter {
		r.followedSince = at
	}
	r.currentAt = at
}

// IsOutOfDate reports whether endpoints may have changed without this gateway having had a
// chance to learn of it.
func (r *Registry) IsOutOfDate(now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.currentAt) > StoreOutageAfter
}

// RecordStoreRecovery records that the store answers again after an outage.
// Entries found missing within ReregistrationGrace are kept for that time.
func (r *Registry) RecordStoreRecovery(now time.Time) {
	r.lockForChange()
	defer r.mu.Unlock()
	r.storeRecoveredAt = now
}

func (r *Registry) apply(e Entry, now time.Time) []Change {
	switch {
	case e.Deleted:
		return r.remove(e.ID, now)
	case e.Endpoint == nil:
		return r.invalidate(e.ID, now)
	default:
		return r.update(*e.Endpoint, now)
	}
}

// remove handles a deleted entry. Right after a store outage the endpoint is only
// marked as missing, so that it has time to write its entry again.
func (r *Registry) remove(id string, now time.Time) []Change {
	v, ok := r.views[id]
	if !ok {
		return nil
	}
	if v.LeavingSince.IsZero() && now.Before(r.storeRecoveredAt.Add(ReregistrationGrace)) {
		if !v.MissingSince.IsZero() {
			return nil
		}
		v.MissingSince = now
		return []Change{{ID: id, Kind: ChangeMissing}}
	}
	delete(r.views, id)
	r.recordVersionLeft(&v.Endpoint, now)
	r.gone[incarnationKey{v.ID, v.Incarnation}] = goneMark{sequence: v.Sequence, at: now}
	return []Change{removal(v)}
}

func removal(v *EndpointView) Change {
	return Change{ID: v.ID, Kind: ChangeRemoved, Address: v.Address}
}

// invalidate handles an entry with an invalid value: the endpoint is not used
// until a valid entry comes.
func (r *Registry) invalidate(id string, now time.Time) []Change {
	v, ok := r.views[id]
	if !ok {
		return nil
	}
	delete(r.views, id)
	r.recordVersionLeft(&v.Endpoint, now)
	return []Change{{ID: id, Kind: ChangeInvalid}}
}

func (r *Registry) update(e Endpoint, now time.Time) []Change {
	region, known := r.regions[e.DataCentre]
	if !known {
		return nil
	}
	key := incarnationKey{e.ID, e.Incarnation}
	old, ok := r.views[e.ID]
	if ok && isOlder(e, old.Endpoint) {
		return nil
	}
	if mark, isGone := r.gone[key]; !ok && isGone && e.Sequence <= mark.sequence {
		return nil
	}
	if ok && old.Incarnation != e.Incarnation {
		r.recordVersionLeft(&old.Endpoint, now)
	}
	next := EndpointView{Endpoint: e, Region: region, UpdatedAt: now}
	if ok && isSameEntry(e, old.Endpoint) {
		// What was observed since the entry was written still holds.
		next = *old
		next.MissingSince = time.Time{}
	} else if e.ColdRemaining > 0 {
		next.ColdUntil = now.Add(e.ColdRemaining + coldMargin)
	}
	mark, isLeaving := r.leaving[key]
	if e.State == Draining && !mark.inEntry {
		if !isLeaving {
			mark.since = now
		}
		mark.inEntry = true
		r.leaving[key] = mark
	}
	next.LeavingSince = mark.since
	next.RefusedAt, next.HealthColdUntil = r.refused[key], r.cold[key]
	r.views[e.ID] = &next
	return changesOf(old, &next)
}

// isOlder reports whether an entry was written before another one of the same id.
func isOlder(e, than Endpoint) bool {
	if e.Incarnation != than.Incarnation {
		return e.Incarnation < than.Incarnation
	}
	return e.Sequence < than.Sequence
}

// isSameEntry reports whether two entries are the same one, apart from what a peer that
// passes it on updates.
func isSameEntry(a, b Endpoint) bool {
	a.State, a.ColdRemaining, a.RemovalIn = b.State, b.ColdRemaining, b.RemovalIn
	return a == b
}

func changesOf(old, next *EndpointView) []Change {
	var out []Change
	switch {
	case old == nil:
		out = append(out, Change{ID: next.ID, Kind: ChangeNew})
	case old.Incarnation != next.Incarnation:
		out = append(out, Change{ID: next.ID, Kind: ChangeRestarted})
	case !old.MissingSince.IsZero():
		out = append(out, Change{ID: next.ID, Kind: ChangeReappeared})
	}
	if !next.LeavingSince.IsZero() && (old == nil || old.LeavingSince.IsZero() || old.Incarnation != next.Incarnation) {
		out = append(out, Change{ID: next.ID, Kind: ChangeLeaving})
	}
	return out
}

// SetEvacuated replaces the set of data centres that get no requests. Endpoints of
// a data centre that is no longer evacuated may be cold before their entries say
// so.
func (r *Registry) SetEvacuated(set map[string]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(r.evacuated, set) {
		return
	}
	r.changes++
	for dc := range r.evacuated {
		if !set[dc] {
			r.evacuationEnded[dc] = now
		}
	}
	r.evacuated = set
}

// RemoveExpired removes the endpoints whose entries did not reappear within
// ReregistrationGrace, and old marks of leaving endpoints and of refused connections.
// It returns the resulting changes.
func (r *Registry) RemoveExpired(now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Change
	for id, v := range r.views {
		if !v.MissingSince.IsZero() && now.Sub(v.MissingSince) >= ReregistrationGrace {
			delete(r.views, id)
			r.recordVersionLeft(&v.Endpoint, now)
			r.gone[incarnationKey{v.ID, v.Incarnation}] = goneMark{sequence: v.Sequence, at: now}
			r.changes++
			out = append(out, removal(v))
		}
	}
	r.removeExpiredMarks(now)
	r.removeOldVersions(now)
	return out
}

// Usable returns the endpoints of a service that may get new requests, ordered
// by id. heartbeatInterval is the time between two heartbeats of an endpoint. The list
// is shared and must not be changed. An endpoint whose address is no longer taken
// appears in it up to usableListTTL later.
func (r *Registry) Usable(service string, heartbeatInterval time.Duration, now time.Time) []EndpointView {
	r.usableMu.Lock()
	defer r.usableMu.Unlock()
	r.mu.RLock()
	defer r.mu.RUnlock()
	last, ok := r.usable[service]
	if age := now.Sub(last.at); ok && last.changes == r.changes && age >= 0 && age < usableListTTL {
		return last.list
	}
	list := slices.Clip(r.usableNow(service, heartbeatInterval, now))
	r.usable[service] = usableList{at: now, changes: r.changes, list: list}
	return list
}

func (r *Registry) usableNow(service string, heartbeatInterval time.Duration, now time.Time) []EndpointView {
	var out []EndpointView
	for _, v := range r.views {
		if v.Service != service || !v.LeavingSince.IsZero() || v.IsAddressTaken(heartbeatInterval, now) || r.evacuated[v.DataCentre] {
			continue
		}
		c := *v
		c.EvacuationEndedAt = r.evacuationEnded[v.DataCentre]
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b EndpointView) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Entries returns the endpoints in the form in which the registry of a peer can
// merge them, ordered by id. Endpoints whose entry is missing are left out, since
// the peer may know already that they are gone.
func (r *Registry) Entries(now time.Time) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Endpoint, 0, len(r.views))
	for _, v := range r.views {
		if !v.MissingSince.IsZero() {
			continue
		}
		e := v.Endpoint
		if e.ColdRemaining > 0 {
			e.ColdRemaining = max(v.ColdUntil.Sub(now), time.Millisecond)
		}
		e.State = Ready
		if r.leaving[incarnationKey{v.ID, v.Incarnation}].inEntry {
			e.State = Draining
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// fingerprint is the fingerprint of the entries after so many changes.
type fingerprint struct{ changes, hash uint64 }

// Fingerprint returns a hash of the entries without the values that change with
// each heartbeat. Registries with equal entries have the same fingerprint.
func (r *Registry) Fingerprint() uint64 {
	r.mu.RLock()
	changes := r.changes
	r.mu.RUnlock()
	if last := r.lastFingerprint.Load(); last != nil && last.changes == changes {
		return last.hash
	}
	f := fingerprint{changes: changes, hash: r.history.record(r.Entries(time.Time{}))}
	r.lastFingerprint.Store(&f)
	return f.hash
}

// Get returns the view of an endpoint, and whether the endpoint is known.
func (r *Registry) Get(id string) (EndpointView, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	v, ok := r.views[id]
	if !ok {
		return EndpointView{}, false
	}
	c := *v
	c.EvacuationEndedAt = r.evacuationEnded[v.DataCentre]
	return c, true
}
