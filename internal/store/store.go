// Package store defines the key-value store interface that the gateway depends
// on: reads, watches, conditional writes and leases. The store is the only place
// where the gateway keeps state beyond the life of a process.
package store

import (
	"context"
	"fmt"
	"time"
)

// Revision is a revision of the store in one of its eras. An era ends when the store is
// restored from an older copy: what was written after the copy is lost, and the numbers of
// revisions and leases are given out again. So revisions of different eras can't be compared.
type Revision struct {
	// Era is 0 if the store doesn't say.
	Era    uint64
	Number uint64
}

// IsZero reports whether r is no revision. The first one of the store has the number 1.
func (r Revision) IsZero() bool { return r.Number == 0 }

// Item is a key with its value and metadata.
type Item struct {
	Key   string
	Value []byte
	// ModRevision is the store's revision at the last write of the key.
	ModRevision Revision
	// CreateRevision is the store's revision at the creation of the key.
	CreateRevision Revision
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
	Revision Revision
}

// Condition holds if the key was last written at the revision. The zero revision means
// that the key must not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key. If Lease is not zero, the key is deleted when the lease ends.
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

// LeaseID identifies a lease that the store gave out in an era; the zero value means no
// lease.
type LeaseID struct{ Era, Number uint64 }

// IsZero reports whether id is no lease.
func (id LeaseID) IsZero() bool { return id.Number == 0 }

// Store is a key-value store. The platform counts and rate-limits every call.
// Methods return *UnavailableError for all failures that their comments don't
// name; its cause is a *RestoredError if the store has been restored since the revision
// or the lease was read that the call rests on, or since the call was sent.
type Store interface {
	// Range returns a page of the items under prefix whose keys follow after;
	// an empty after returns the first page. A stale read is cheaper but may
	// return data that is seconds old.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch returns the events under prefix after the revision after, and the
	// revision to continue from. It blocks until there is an event, for at most
	// wait; if there is none by then, it returns no events and no error. The
	// error is a *CompactedError if the store no longer has the events.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit applies a transaction and returns its revision. The error is a
	// *ConflictError if a condition doesn't hold, or a *LeaseEndedError if a
	// lease of its writes has ended.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Grant creates a lease and returns it with its actual duration, which may
	// differ from ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive restarts the duration of a lease. The error is a
	// *LeaseEndedError if the lease has ended or the store was restored since.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// CompactedError reports that the store has dropped events after the revision
// After.
type CompactedError struct{ After Revision }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("events after revision %d have been compacted", e.After.Number)
}

// RestoredError reports that the store has been restored from an older copy: its era is
// not the one that a call rests on.
type RestoredError struct{ Want, Got uint64 }

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the store has been restored: era %d instead of %d", e.Got, e.Want)
}

// ConflictError reports that a condition of a transaction doesn't hold. Current
// holds the existing items of the condition keys.
type ConflictError struct{ Current []Item }

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// LeaseEndedError reports that a lease has expired or was revoked.
type LeaseEndedError struct{ Lease LeaseID }

// Error implements error.
func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease.Number) }

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
