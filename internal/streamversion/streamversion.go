// Package streamversion keeps by which software version of a service streams were begun. Events of
// two versions don't fit together, so a stream that breaks may go on only at endpoints of the
// version that began it. It makes no calls and starts no goroutines.
package streamversion

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retention is how long after its first event, or the last refresh of its record, a stream may be
// taken up again.
const Retention = time.Minute

// maxRecords limits the records of one generation.
const maxRecords = 1 << 15

// ID identifies a stream.
type ID uint64

// IDOf returns the ID of the stream whose first event the caller's attempt with the given id
// brought.
func IDOf(attemptID string) ID { return ID(xxhash.Sum64String(attemptID)) }

// Record says which version of a service began a stream.
type Record struct {
	ID      ID     `json:"i" lenient:"required"`
	Service string `json:"s" lenient:"required"`
	Version string `json:"v" lenient:"required"`
}

type entry struct {
	service, version string
	// isAmbiguous is set if two versions are said to have begun the stream.
	isAmbiguous bool
}

// generation holds the records of one span of Retention, or of fewer time if there are many.
type generation struct {
	entries map[ID]entry
	// unsent holds the records of this gateway, by service, that it has told no other.
	unsent map[string][]Record
}

func newGeneration() generation {
	return generation{entries: make(map[ID]entry), unsent: make(map[string][]Record)}
}

// Records holds the records that this gateway made and those that others told it. Each is kept for
// Retention at least, unless there are more than maxRecords in that time. It is safe for
// concurrent use.
type Records struct {
	mu sync.Mutex
	// current has been filled since currentSince, previous before that.
	current, previous generation
	currentSince      time.Time
}

// NewRecords returns an empty Records.
func NewRecords() *Records {
	return &Records{current: newGeneration(), previous: newGeneration()}
}

// Begin records a stream that this gateway relays.
func (r *Records) Begin(record Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(record, now)
	r.current.unsent[record.Service] = append(r.current.unsent[record.Service], record)
}

// Keep records a stream that another gateway relays.
func (r *Records) Keep(record Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(record, now)
}

// put adds a record to the current generation. r.mu has to be held.
func (r *Records) put(record Record, now time.Time) {
	r.rotate(now)
	e, ok := r.get(record.ID)
	if !ok {
		e = entry{service: record.Service, version: record.Version}
	}
	if e.service != record.Service || e.version != record.Version {
		e.isAmbiguous = true
	}
	r.current.entries[record.ID] = e
}

// rotate begins a new generation if the current one is old or full.
func (r *Records) rotate(now time.Time) {
	age := now.Sub(r.currentSince)
	if age < Retention && len(r.current.entries) < maxRecords {
		return
	}
	r.previous, r.current = r.current, newGeneration()
	if age >= 2*Retention {
		r.previous = newGeneration()
	}
	r.currentSince = now
}

func (r *Records) get(id ID) (entry, bool) {
	if e, ok := r.current.entries[id]; ok {
		return e, true
	}
	e, ok := r.previous.entries[id]
	return e, ok
}

// Lookup returns the version of a service that began a stream. ok is false if it isn't known.
func (r *Records) Lookup(id ID, service string, now time.Time) (version string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	e, ok := r.get(id)
	if !ok || e.isAmbiguous || e.service != service {
		return "", false
	}
	return e.version, true
}

// TakeUnsent returns the records of this gateway that no other has been told of, for the services
// for which isDue returns true, and counts them as told.
func (r *Records) TakeUnsent(isDue func(service string) bool, now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	var out []Record
	for _, g := range []generation{r.previous, r.current} {
		for service, records := range g.unsent {
			if len(records) > 0 && isDue(service) {
				out = append(out, records...)
				delete(g.unsent, service)
			}
		}
	}
	return out
}
