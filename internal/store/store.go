// Package store defines what the gateway uses of a key-value store: reads,
// watches, conditional writes and leases. It is the only place that outlasts a
// process.
package store

import (
	"context"
	"fmt"
	"time"
)

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// ModRevision is the store's revision at the key's last write, Created that
	// at its creation.
	ModRevision    uint64
	CreateRevision uint64
}

// Event is one change of a key. A deletion has no value.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of the items under a prefix, ordered by key. Pages of one
// listing are not a snapshot.
type Page struct {
	Items []Item
	// More says that further items follow the last one.
	More bool
	// Revision is the store's revision when the page was read.
	Revision uint64
}

// Condition holds if a key was last written at a revision; 0 means that the
// key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a key. A lease other than 0 removes it when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a change that takes effect as a whole, if all its conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// LeaseID names a lease; 0 is none.
type LeaseID uint64

// Store is the key-value store. Every call is counted and limited by the
// platform. Besides those named at the methods, errors are *UnavailableError.
type Store interface {
	// Range returns the items under prefix that follow the key after. A stale
	// read is cheap, and may be seconds old.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch returns the changes under prefix since the revision after and the
	// revision to continue from. It waits for the first change for at most
	// wait, and then returns none. The error is a *CompactedError if the
	// changes are no longer known.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Commit applies a change and returns its revision. The error is a
	// *ConflictError if a condition doesn't hold, a *LeaseEndedError if a
	// lease has ended.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Grant returns a new lease and its duration, which may differ from ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease from now on; *LeaseEndedError if it has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// CompactedError says that the changes since a revision are forgotten.
type CompactedError struct{ After uint64 }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes since revision %d are no longer known", e.After)
}

// ConflictError says that a condition of a change doesn't hold. Current are the
// items of its conditions that exist.
type ConflictError struct{ Current []Item }

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the change does not hold" }

// LeaseEndedError says that a lease has ended.
type LeaseEndedError struct{ Lease LeaseID }

// Error implements error.
func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// UnavailableError says that a call brought no usable answer.
type UnavailableError struct {
	Op string
	// MaybeApplied says that a change may have taken effect, or may still.
	MaybeApplied bool
	Cause        error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
