// Package kv is the stand-in of the platform's key-value service: an in-memory
// store with compare-and-swap, leases and watches, which counts its calls and
// can refuse those above its rates.
package kv

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/platform"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// ValueTooLargeError says that a value exceeds MaxValueBytes.
type ValueTooLargeError struct{ Bytes int }

// Error implements error.
func (e *ValueTooLargeError) Error() string {
	return "value of " + strconv.Itoa(e.Bytes) + " bytes is too large"
}

// Store is the in-memory store. Every change wakes all waiting watches.
type Store struct {
	mu      sync.Mutex
	items   map[string]item
	leases  map[platform.LeaseID]lease
	next    int
	changed chan struct{}
}

type item struct {
	value   []byte
	version uint64
	lease   platform.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items:   map[string]item{},
		leases:  map[platform.LeaseID]lease{},
		changed: make(chan struct{}),
	}
}

// Get returns the entry of key or a *platform.NotFoundError.
func (s *Store) Get(key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.entry(key)
}

func (s *Store) entry(key string) (platform.Entry, error) {
	it, ok := s.items[key]
	if !ok {
		return platform.Entry{}, &platform.NotFoundError{Key: key}
	}
	return platform.Entry{Key: key, Value: it.value, Version: it.version}, nil
}

// Put writes key under the given conditions.
func (s *Store) Put(key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	if len(value) > MaxValueBytes {
		return platform.Entry{}, &ValueTooLargeError{Bytes: len(value)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[opts.Lease]; opts.Lease != "" && !ok {
		return platform.Entry{}, &platform.NotFoundError{Key: string(opts.Lease)}
	}
	old := s.items[key]
	if opts.IfVersion != nil && *opts.IfVersion != old.version {
		return platform.Entry{}, &platform.ConflictError{Key: key, Actual: old.version}
	}
	s.items[key] = item{value: value, version: old.version + 1, lease: opts.Lease}
	s.announce()
	return s.entry(key)
}

// Delete removes key, if it has the given version.
func (s *Store) Delete(key string, ifVersion *uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	old, ok := s.items[key]
	if ifVersion != nil && *ifVersion != old.version {
		return &platform.ConflictError{Key: key, Actual: old.version}
	}
	if !ok {
		return &platform.NotFoundError{Key: key}
	}
	delete(s.items, key)
	s.announce()
	return nil
}

// List returns the entries whose key starts with prefix, in no order.
func (s *Store) List(prefix string) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	out := []platform.Entry{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, platform.Entry{Key: k, Value: it.value, Version: it.version})
		}
	}
	return out
}

// Changes returns a channel that is closed at the next change of any key.
func (s *Store) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Grant makes a lease.
func (s *Store) Grant(ttl time.Duration) platform.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := platform.LeaseID("lease-" + strconv.Itoa(s.next))
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id
}

// KeepAlive renews a lease; a lease that ended is not found.
func (s *Store) KeepAlive(id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return &platform.NotFoundError{Key: string(id)}
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke ends a lease and removes its keys.
func (s *Store) Revoke(id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		return &platform.NotFoundError{Key: string(id)}
	}
	s.end(id)
	return nil
}

// expire ends the leases that are over.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if !l.expires.After(now) {
			s.end(id)
		}
	}
}

func (s *Store) end(id platform.LeaseID) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.lease == id {
			delete(s.items, k)
		}
	}
	s.announce()
}

func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Dump returns a copy of every entry, for Restore.
func (s *Store) Dump() []platform.Entry { return s.List("") }

// Restore replaces the whole content, as a store restored from a backup.
func (s *Store) Restore(entries []platform.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = make(map[string]item, len(entries))
	for _, e := range entries {
		s.items[e.Key] = item{value: e.Value, version: e.Version}
	}
	s.announce()
}
