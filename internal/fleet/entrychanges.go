package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EntryChanges are the entries that differ between two states of a registry.
type EntryChanges struct {
	// Fingerprint is that of the state that the changes lead to.
	Fingerprint uint64     `json:"fingerprint"`
	Changed     []Endpoint `json:"changed,omitempty"`
	// Removed are the ids of the endpoints that are gone.
	Removed []string `json:"removed,omitempty"`
}

// AsEntries returns the changes in the form in which a registry applies them.
func (c EntryChanges) AsEntries() []Entry {
	out := make([]Entry, 0, len(c.Changed)+len(c.Removed))
	for i := range c.Changed {
		out = append(out, Entry{ID: c.Changed[i].ID, Endpoint: &c.Changed[i]})
	}
	for _, id := range c.Removed {
		out = append(out, Entry{ID: id, Deleted: true})
	}
	return out
}

const (
	// maxStates is the number of earlier states that entryHistory keeps: about as many as
	// there are changes in a minute while endpoints are replaced.
	maxStates = 256
	// maxChangedIDs bounds the ids in all states together.
	maxChangedIDs = 8192
)

// entryHistory holds which entries changed between the last states of a registry.
type entryHistory struct {
	mu sync.Mutex
	// hashes holds a hash of each entry of the last state.
	hashes map[string]uint64
	states []entryState
	ids    int
}

// entryState is a state of the entries, and the ids of those that differ from the state
// before.
type entryState struct {
	fingerprint uint64
	changed     []string
}

// describe returns a line with the values of an entry but those that change with each
// heartbeat.
func describe(e Endpoint) string {
	return fmt.Sprintf("%s %d %s %s %s %d %d %t\n", e.ID, e.Incarnation, e.Service, e.Address, e.DataCentre, e.Slots, e.State, e.ColdRemaining > 0)
}

// record records the entries, ordered by id, and returns their fingerprint.
func (h *entryHistory) record(entries []Endpoint) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var changed []string
	hashes, all := make(map[string]uint64, len(entries)), xxhash.New()
	for _, e := range entries {
		line := describe(e)
		hash := xxhash.Sum64String(line)
		if last, ok := h.hashes[e.ID]; !ok || last != hash {
			changed = append(changed, e.ID)
		}
		hashes[e.ID] = hash
		_, _ = all.WriteString(line)
	}
	for id := range h.hashes {
		if _, ok := hashes[id]; !ok {
			changed = append(changed, id)
		}
	}
	fingerprint := all.Sum64()
	if len(changed) > 0 || len(h.states) == 0 {
		h.hashes = hashes
		h.states = append(h.states, entryState{fingerprint: fingerprint, changed: changed})
		h.ids += len(changed)
	}
	for len(h.states) > 1 && (len(h.states) > maxStates || h.ids > maxChangedIDs) {
		h.ids -= len(h.states[0].changed)
		h.states = h.states[1:]
	}
	return fingerprint
}

// since returns the ids of the entries that have changed since the state with the given
// fingerprint, and the last state's fingerprint. It returns false if that state isn't known.
func (h *entryHistory) since(fingerprint uint64) (ids []string, last uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.states) - 1; i >= 0; i-- {
		if h.states[i].fingerprint == fingerprint {
			slices.Sort(ids)
			return slices.Compact(ids), h.states[len(h.states)-1].fingerprint, true
		}
		ids = append(ids, h.states[i].changed...)
	}
	return nil, 0, false
}

// EntriesSince returns the changes that lead from the state with the given fingerprint to the
// present one. It returns false if that state isn't known or the changes are about as long as
// the whole list.
func (r *Registry) EntriesSince(fingerprint uint64, now time.Time) (EntryChanges, bool) {
	r.Fingerprint()
	ids, last, ok := r.history.since(fingerprint)
	if !ok {
		return EntryChanges{}, false
	}
	entries := r.Entries(now)
	if len(ids) > len(entries)/2 {
		return EntryChanges{}, false
	}
	changes := EntryChanges{Fingerprint: last}
	for _, id := range ids {
		i, isPresent := slices.BinarySearchFunc(entries, id, func(e Endpoint, id string) int { return strings.Compare(e.ID, id) })
		if isPresent {
			changes.Changed = append(changes.Changed, entries[i])
		} else {
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes, true
}
