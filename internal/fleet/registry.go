package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is what the store holds under one endpoint's key.
type Entry struct {
	ID string
	// Endpoint is nil if the key is gone or its content names no endpoint.
	Endpoint *Endpoint
	// Deleted says that the key is gone.
	Deleted bool
	// Err says why the content names no endpoint.
	Err error
}

// EndpointView is what this gateway believes of one endpoint.
type EndpointView struct {
	Endpoint
	Region string
	// UpdatedAt is when the last entry of it was learned.
	UpdatedAt time.Time
	// LeavingSince is when this gateway learned that the endpoint leaves; zero if
	// it doesn't.
	LeavingSince time.Time
	// ColdUntil is until when it takes few requests.
	ColdUntil time.Time
	// MissingSince is when its entry was found missing after an outage of the
	// store; zero if it wasn't.
	MissingSince time.Time
	// AddressTakenAt is when another endpoint last answered at its address.
	AddressTakenAt time.Time
	// UnreachableAt is when a connection to it last could not be made: it may have
	// started again since and be cold.
	UnreachableAt time.Time
	// EvacuationEndedAt is when the evacuation of its data centre ended; it may be cold
	// without having said so yet.
	EvacuationEndedAt time.Time
}

// heartbeats is the number of heartbeats after which an endpoint's entry tells
// of a restart, or is gone.
const heartbeats = 3

// IsCold says whether the endpoint takes few requests only, as far as is known.
// beat is the time between two of its heartbeats.
func (b *EndpointView) IsCold(beat time.Duration, now time.Time) bool {
	return now.Before(b.ColdUntil) ||
		now.Before(b.UnreachableAt.Add(heartbeats*beat)) ||
		b.UpdatedAt.Before(b.EvacuationEndedAt) && now.Before(b.EvacuationEndedAt.Add(heartbeats*beat))
}

// IsAddressTaken says whether another endpoint has its address.
func (b *EndpointView) IsAddressTaken(beat time.Duration, now time.Time) bool {
	return now.Before(b.AddressTakenAt.Add(heartbeats * beat))
}

// ReregistrationGrace is how long after an outage of the store entries that lapsed
// meanwhile may take to be back.
const ReregistrationGrace = 2 * time.Second

// coldMargin is added to the time that an endpoint says it stays cold: the
// entry was written before it was read.
const coldMargin = 200 * time.Millisecond

// incarnation names one start of an endpoint.
type incarnation struct {
	id   string
	born int64
}

// Registry merges the entries of the endpoints of all regions. It is safe for concurrent use.
type Registry struct {
	mu sync.RWMutex
	// regions maps data centres to their regions.
	regions map[string]string
	beliefs map[string]*EndpointView
	// left holds the incarnations that leave, which nothing lifts.
	left map[incarnation]time.Time
	// returned is when the store came back after the last outage.
	returned time.Time
	// evacuated holds the data centres that are to get nothing.
	evacuated map[string]bool
	// freed is when the evacuation of a data centre ended.
	freed map[string]time.Time
}

// NewRegistry returns an empty registry. regions maps data centres to their
// regions; endpoints of others are not used.
func NewRegistry(regions map[string]string) *Registry {
	return &Registry{
		regions:   regions,
		beliefs:   make(map[string]*EndpointView),
		left:      make(map[incarnation]time.Time),
		evacuated: make(map[string]bool),
		freed:     make(map[string]time.Time),
	}
}

// SetRegions takes in changed regions of data centres.
func (r *Registry) SetRegions(regions map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regions = regions
	for id, b := range r.beliefs {
		region, known := regions[b.DataCentre]
		if !known {
			delete(r.beliefs, id)
			continue
		}
		b.Region = region
	}
}

// Change is a change of belief worth a log line.
type Change struct {
	ID   string
	Kind string
	// Address is that of an endpoint that is gone.
	Address string
}

// The changes of belief.
const (
	ChangeNew        = "new"
	ChangeRestarted  = "restarted"
	ChangeLeaving    = "leaving"
	ChangeRemoved    = "gone"
	ChangeMissing    = "missing"
	ChangeReappeared = "back"
	ChangeInvalid    = "entry_broken"
)

// Apply takes in changed entries.
func (r *Registry) Apply(entries []Entry, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Change
	for _, e := range entries {
		out = append(out, r.apply(e, now)...)
	}
	return out
}

// Replace takes in all entries that there are; what is not among them is gone.
func (r *Registry) Replace(entries []Entry, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Change
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		out = append(out, r.apply(e, now)...)
	}
	for id := range r.beliefs {
		if !present[id] {
			out = append(out, r.apply(Entry{ID: id, Deleted: true}, now)...)
		}
	}
	return out
}

// RecordStoreRecovery notes that the store answers again after an outage.
func (r *Registry) RecordStoreRecovery(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned = now
}

func (r *Registry) apply(e Entry, now time.Time) []Change {
	switch {
	case e.Deleted:
		return r.remove(e.ID, now)
	case e.Endpoint == nil:
		return r.broken(e.ID)
	default:
		return r.update(*e.Endpoint, now)
	}
}

// remove takes in that an entry is gone. Right after an outage the endpoint is
// given the time to write it again.
func (r *Registry) remove(id string, now time.Time) []Change {
	b, ok := r.beliefs[id]
	if !ok {
		return nil
	}
	if b.LeavingSince.IsZero() && now.Before(r.returned.Add(ReregistrationGrace)) {
		if !b.MissingSince.IsZero() {
			return nil
		}
		b.MissingSince = now
		return []Change{{ID: id, Kind: ChangeMissing}}
	}
	delete(r.beliefs, id)
	return []Change{gone(b)}
}

func gone(b *EndpointView) Change { return Change{ID: b.ID, Kind: ChangeRemoved, Address: b.Address} }

// broken takes in an entry that names no endpoint: until a sound one comes the
// endpoint is not used.
func (r *Registry) broken(id string) []Change {
	if _, ok := r.beliefs[id]; !ok {
		return nil
	}
	delete(r.beliefs, id)
	return []Change{{ID: id, Kind: ChangeInvalid}}
}

func (r *Registry) update(e Endpoint, now time.Time) []Change {
	region, known := r.regions[e.DataCentre]
	if !known {
		return nil
	}
	key := incarnation{e.ID, e.Incarnation}
	old, ok := r.beliefs[e.ID]
	if ok && isOlder(e, old.Endpoint) {
		return nil
	}
	next := EndpointView{Endpoint: e, Region: region, UpdatedAt: now}
	if e.ColdRemaining > 0 {
		next.ColdUntil = now.Add(e.ColdRemaining + coldMargin)
	}
	if since, left := r.left[key]; left {
		next.LeavingSince = since
	} else if e.State == Draining {
		r.left[key] = now
		next.LeavingSince = now
	}
	r.beliefs[e.ID] = &next
	return changesOf(old, &next)
}

// isOlder says whether an entry was written before another one of the same id.
func isOlder(e, than Endpoint) bool {
	if e.Incarnation != than.Incarnation {
		return e.Incarnation < than.Incarnation
	}
	return e.Sequence < than.Sequence
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

// SetEvacuated takes in the data centres that are to get nothing. Endpoints of
// one that is taken back may be cold without having said so yet.
func (r *Registry) SetEvacuated(set map[string]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for dc := range r.evacuated {
		if !set[dc] {
			r.freed[dc] = now
		}
	}
	r.evacuated = set
}

// Expire ends the waits that are over: entries that did not come back, and the
// marks of incarnations that left long ago.
func (r *Registry) Expire(now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Change
	for id, b := range r.beliefs {
		if !b.MissingSince.IsZero() && now.Sub(b.MissingSince) >= ReregistrationGrace {
			delete(r.beliefs, id)
			out = append(out, gone(b))
		}
	}
	for key, since := range r.left {
		if now.Sub(since) > rememberLeft {
			delete(r.left, key)
		}
	}
	return out
}

// rememberLeft is how long the mark of a leaving incarnation is kept, which is
// longer than a late entry of it can take.
const rememberLeft = 10 * time.Minute

// MarkLeaving takes in from a peer that an incarnation leaves, and says whether
// that is news.
func (r *Registry) MarkLeaving(id string, born int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := incarnation{id, born}
	if _, ok := r.left[key]; ok {
		return false
	}
	r.left[key] = now
	if b, ok := r.beliefs[id]; ok && b.Incarnation == born {
		b.LeavingSince = now
	}
	return true
}

// MarkAddressTaken notes that another endpoint answers at the address of one.
func (r *Registry) MarkAddressTaken(id string, born int64, now time.Time) {
	r.mark(id, born, func(b *EndpointView) { b.AddressTakenAt = now })
}

// MarkUnreachable notes that no connection to an endpoint could be made.
func (r *Registry) MarkUnreachable(id string, born int64, now time.Time) {
	r.mark(id, born, func(b *EndpointView) { b.UnreachableAt = now })
}

func (r *Registry) mark(id string, born int64, set func(*EndpointView)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, ok := r.beliefs[id]; ok && b.Incarnation == born {
		set(b)
	}
}

// Usable returns the endpoints of a service that may get new requests, ordered
// by id. beat is the time between two heartbeats.
func (r *Registry) Usable(service string, beat time.Duration, now time.Time) []EndpointView {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []EndpointView
	for _, b := range r.beliefs {
		if b.Service != service || !b.LeavingSince.IsZero() || b.IsAddressTaken(beat, now) || r.evacuated[b.DataCentre] {
			continue
		}
		c := *b
		c.EvacuationEndedAt = r.freed[b.DataCentre]
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b EndpointView) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Entries returns the endpoints as entries that another registry can take in.
// Those whose entry is missing are left out: other gateways may know that they
// are gone.
func (r *Registry) Entries(now time.Time) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Endpoint, 0, len(r.beliefs))
	for _, b := range r.beliefs {
		if !b.MissingSince.IsZero() {
			continue
		}
		e := b.Endpoint
		if e.ColdRemaining > 0 {
			e.ColdRemaining = max(b.ColdUntil.Sub(now), time.Millisecond)
		}
		if !b.LeavingSince.IsZero() {
			e.State = Draining
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Fingerprint identifies all that the entries say, but for what changes with
// each heartbeat.
func (r *Registry) Fingerprint() uint64 {
	h := xxhash.New()
	for _, e := range r.Entries(time.Time{}) {
		_, _ = fmt.Fprintf(h, "%s %d %s %s %s %d %d %t\n", e.ID, e.Incarnation, e.Service, e.Address, e.DataCentre, e.Slots, e.State, e.ColdRemaining > 0)
	}
	return h.Sum64()
}

// Get returns one endpoint.
func (r *Registry) Get(id string) (EndpointView, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	b, ok := r.beliefs[id]
	if !ok {
		return EndpointView{}, false
	}
	c := *b
	c.EvacuationEndedAt = r.freed[b.DataCentre]
	return c, true
}
