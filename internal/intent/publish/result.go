package publish

import (
	"fmt"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// Outcome is the outcome of a change: Accepted, Rejected or Unknown.
type Outcome interface{ isOutcome() }

// Accepted reports that the change is in the history of revisions permanently.
type Accepted struct {
	Revision uint64
	// Unchanged reports that nothing was published because the head already has
	// the same files.
	Unchanged bool
	// Kept lists the files that other changes modified since the base and that
	// this change did not touch.
	Kept     []string
	Warnings intent.Diagnostics
}

// Rejected reports that the change was not published and never will be.
type Rejected struct {
	// Reason is an *InvalidError, *ConflictError, *NoBaseError,
	// *StoreBehindError, *StoreFailedError or *ContentionError, or a
	// *revision.InvalidError if the new head exceeds a limit.
	Reason error
}

// Unknown reports that the change may have been published. Calling Apply again
// with the same change id and Resumed set finds out.
type Unknown struct {
	ChangeID string
	Cause    error
}

func (Accepted) isOutcome() {}
func (Rejected) isOutcome() {}
func (Unknown) isOutcome()  {}

// InvalidError reports that the merged configuration has faults.
type InvalidError struct{ Diagnostics intent.Diagnostics }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the merged configuration has %d faults", len(e.Diagnostics.WithSeverity(intent.Fault)))
}

// FileConflict is a file that another change modified since the base, too.
type FileConflict struct {
	File string `json:"file"`
	// Revision, ChangeID, Author and PublishedAt are those of the other change.
	Revision    uint64    `json:"revision"`
	ChangeID    string    `json:"change_id"`
	Author      string    `json:"author"`
	PublishedAt time.Time `json:"at"`
}

// ConflictError reports that other changes modified the same files.
type ConflictError struct{ Files []FileConflict }

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Files))
	for i, f := range e.Files {
		lines[i] = fmt.Sprintf("%s was changed in revision %d by %s (change %s)", f.File, f.Revision, f.Author, f.ChangeID)
	}
	return "conflict: " + strings.Join(lines, "; ")
}

// NoBaseError reports that the store holds a configuration, but the revision that
// the folder was pulled from is unknown.
type NoBaseError struct{ Head revision.Head }

// Error implements error.
func (e *NoBaseError) Error() string {
	return fmt.Sprintf("the folder has no base, and the store holds revision %d by %s", e.Head.Revision, e.Head.Author)
}

// StoreBehindError reports that the store's newest revision is older than the one
// that the folder was pulled from: it is a different store, or one that lost data.
type StoreBehindError struct{ Base, Head uint64 }

// Error implements error.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the folder was taken from revision %d, but the store's newest is %d", e.Base, e.Head)
}

// StoreFailedError reports that the store failed before the head was written.
type StoreFailedError struct{ Cause error }

// Error implements error.
func (e *StoreFailedError) Error() string {
	return fmt.Sprintf("nothing was published: the store failed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoreFailedError) Unwrap() error { return e.Cause }

// ContentionError reports that a concurrent change swapped the head first in every
// attempt.
type ContentionError struct{ Attempts int }

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("other changes were faster in each of %d attempts", e.Attempts)
}

// ChangeIDMismatchError reports that a change id was made for a different change
// and that the history does not contain it.
type ChangeIDMismatchError struct{ ChangeID string }

// Error implements error.
func (e *ChangeIDMismatchError) Error() string {
	return fmt.Sprintf("change %s was made from other contents or another base", e.ChangeID)
}

// ChainError reports that the history of revisions is incomplete or inconsistent.
type ChainError struct {
	Revision uint64
	Reason   string
}

// Error implements error.
func (e *ChainError) Error() string {
	return fmt.Sprintf("history of revision %d: %s", e.Revision, e.Reason)
}
