// Package store defines the key-value store interface that the gateway depends
// on: reads, watches, conditional writes and leases. The store is the only place
// where the gateway keeps state beyond the life of a process.
package store

import (
	"context"
	"fmt"
	"time"
)

// Item is a key with its value and metadata.
type Item struct {
	Key   string
	Value []byte
	// ModRevision is the store's revision at the last write of the key.
	ModRevision uint64
	// CreateRevision is the store's revision at the creation of the key.
	CreateRevision uint64
}

// Event is a change of one key. If it is a deletion, Value is empty.
type Event struct {
	Item
	Deleted bool
}

// Page holds some of the items under a prefix, ordered by key. The pages of one
// listing may be read at different revisions; together they are not a snapshot.
type Page struct {
	Items []Item
	// More reports whether further items follow the last one.
	More bool
	// Revision is the store's revision at which the page was read.
	Revision uint64
}

// Condition holds if the key was last written at the revision. Revision 0 means
// that the key must not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a key. If Lease is not 0, the key is deleted when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction. All its writes and deletes are applied atomically if all
// conditions hold, none otherwise.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	// Deletes lists keys to delete.
	Deletes []string
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Store is a key-value store. The platform counts and rate-limits every call.
// Methods return *UnavailableError for all failures that their comments don't
// name.
type Store interface {
	// Range returns a page of the items under prefix whose keys follow after;
	// an empty after returns the first page. A stale read is cheaper but may
	// return data that is seconds old.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch returns the events under prefix after the revision after, and the
	// revision to continue from. It blocks until there is an event, for at most
	// wait; if there is none by then, it returns no events and no error. The
	// error is a *CompactedError if the store no longer has the events.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Commit applies a transaction and returns its revision. The error is a
	// *ConflictError if a condition doesn't hold, or a *LeaseEndedError if a
	// lease of its writes has ended.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Grant creates a lease and returns it with its actual duration, which may
	// differ from ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive restarts the duration of a lease. The error is a
	// *LeaseEndedError if the lease has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// CompactedError reports that the store has dropped events after the revision
// After.
type CompactedError struct{ After uint64 }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("events after revision %d have been compacted", e.After)
}

// ConflictError reports that a condition of a transaction doesn't hold. Current
// holds the existing items of the condition keys.
type ConflictError struct{ Current []Item }

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// LeaseEndedError reports that a lease has expired or was revoked.
type LeaseEndedError struct{ Lease LeaseID }

// Error implements error.
func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// UnavailableError reports a call that got no usable response from the store.
type UnavailableError struct {
	// Op names the operation.
	Op string
	// MaybeApplied reports whether a write may have been applied, or may still
	// be.
	MaybeApplied bool
	Cause        error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
