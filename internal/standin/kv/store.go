// Package kv is a stand-in for the platform's key-value service: an in-memory store
// with compare-and-swap, leases and watches, which counts calls and can limit their
// rate.
package kv

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/platform"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// ValueTooLargeError reports a value of more than MaxValueBytes.
type ValueTooLargeError struct{ Bytes int }

// Error implements error.
func (e *ValueTooLargeError) Error() string {
	return "value of " + strconv.Itoa(e.Bytes) + " bytes is too large"
}

// Store is the in-memory store, safe for concurrent use. Expired leases end at the
// next call; nothing runs in the background.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	leases    map[platform.LeaseID]lease
	lastLease int
	era       platform.Era
	// changed is closed and replaced at every change of any key.
	changed chan struct{}
}

type item struct {
	value   []byte
	version uint64
	// lease is empty for a key that doesn't expire.
	lease platform.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items:   map[string]item{},
		leases:  map[platform.LeaseID]lease{},
		era:     platform.Era{Number: 1},
		changed: make(chan struct{}),
	}
}

// Get returns the entry of key or a *platform.NotFoundError.
func (s *Store) Get(key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	return s.entry(key)
}

func (s *Store) entry(key string) (platform.Entry, error) {
	it, ok := s.items[key]
	if !ok {
		return platform.Entry{}, &platform.NotFoundError{Key: key}
	}
	return platform.Entry{Key: key, Value: it.value, Version: it.version}, nil
}

// Era returns the present era.
func (s *Store) Era() platform.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// checkEra returns a *platform.RestoredError if want is neither 0 nor the present era. The
// caller holds the lock.
func (s *Store) checkEra(want uint64) error {
	if want == 0 || want == s.era.Number {
		return nil
	}
	return &platform.RestoredError{Want: want, Got: s.era.Number}
}

// Put writes key under the conditions of opts. The error is a *ValueTooLargeError,
// a *platform.RestoredError if the era is over, a *platform.ConflictError if the version
// differs, or a *platform.NotFoundError if the lease has ended.
func (s *Store) Put(key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	if len(value) > MaxValueBytes {
		return platform.Entry{}, &ValueTooLargeError{Bytes: len(value)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	if err := s.checkEra(opts.Era); err != nil {
		return platform.Entry{}, err
	}
	if _, ok := s.leases[opts.Lease]; opts.Lease != "" && !ok {
		return platform.Entry{}, &platform.NotFoundError{Key: string(opts.Lease)}
	}
	old := s.items[key]
	if opts.IfVersion != nil && *opts.IfVersion != old.version {
		return platform.Entry{}, &platform.ConflictError{Key: key, ActualVersion: old.version}
	}
	s.items[key] = item{value: value, version: old.version + 1, lease: opts.Lease}
	s.notifyChange()
	return s.entry(key)
}

// Delete removes key under the conditions of opts. The error is as that of Put; if there
// is no such key, it is a *platform.NotFoundError.
func (s *Store) Delete(key string, opts platform.DeleteOptions) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	if err := s.checkEra(opts.Era); err != nil {
		return err
	}
	ifVersion := opts.IfVersion
	old, ok := s.items[key]
	if ifVersion != nil && *ifVersion != old.version {
		return &platform.ConflictError{Key: key, ActualVersion: old.version}
	}
	if !ok {
		return &platform.NotFoundError{Key: key}
	}
	delete(s.items, key)
	s.notifyChange()
	return nil
}

// List returns the entries whose key starts with prefix, in no particular order.
func (s *Store) List(prefix string) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	out := []platform.Entry{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, platform.Entry{Key: k, Value: it.value, Version: it.version})
		}
	}
	return out
}

// Changes returns a channel that is closed at the next change of any key. Keys of an
// expired lease change only when another call ends the lease.
func (s *Store) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (s *Store) Grant(ttl time.Duration) platform.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := platform.LeaseID("lease-" + strconv.FormatUint(s.era.Number, 10) + "-" + strconv.Itoa(s.lastLease))
	s.leases[id] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return id
}

// KeepAlive renews a lease for another ttl. The error is a *platform.NotFoundError
// if the lease has ended.
func (s *Store) KeepAlive(id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	l, ok := s.leases[id]
	if !ok {
		return &platform.NotFoundError{Key: string(id)}
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke ends a lease and removes its keys. The error is a *platform.NotFoundError
// if the lease has ended already.
func (s *Store) Revoke(id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	if _, ok := s.leases[id]; !ok {
		return &platform.NotFoundError{Key: string(id)}
	}
	s.endLease(id)
	return nil
}

// endExpiredLeases ends the leases that have expired. The caller holds the lock.
func (s *Store) endExpiredLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if !l.expiresAt.After(now) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *Store) endLease(id platform.LeaseID) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.lease == id {
			delete(s.items, k)
		}
	}
	s.notifyChange()
}

// notifyChange wakes all waiting watches. The caller holds the lock.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Dump returns every entry, as a backup for Restore.
func (s *Store) Dump() []platform.Entry { return s.List("") }

// Restore replaces the whole content by a backup and begins an era. Versions go back to
// those of the backup, all leases have ended, and restored keys have no lease.
func (s *Store) Restore(entries []platform.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = platform.Era{Number: s.era.Number + 1, BeganAt: time.Now()}
	s.leases = map[platform.LeaseID]lease{}
	s.items = make(map[string]item, len(entries))
	for _, e := range entries {
		s.items[e.Key] = item{value: e.Value, version: e.Version}
	}
	s.notifyChange()
}
