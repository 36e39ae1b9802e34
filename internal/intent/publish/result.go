package publish

import (
	"fmt"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// Outcome is the verdict on a change: Accepted, Rejected or Unknown.
type Outcome interface{ isOutcome() }

// Accepted says that the change is in the chain of revisions for good.
type Accepted struct {
	Revision uint64
	// Unchanged says that the head holds the same files already, so nothing
	// was published.
	Unchanged bool
	// Kept names the files that other changes altered since the base and
	// that this change left as they are.
	Kept     []string
	Warnings intent.Diagnostics
}

// Rejected says that the change is not in the chain and never will be.
type Rejected struct {
	// Reason is an *InvalidError, *ConflictError, *NoBaseError,
	// *BehindError, *UnreachableError or *ContentionError.
	Reason error
}

// Unknown says that the change may have been published. Applying again under
// the same change id settles it.
type Unknown struct {
	ChangeID string
	Cause    error
}

func (Accepted) isOutcome() {}
func (Rejected) isOutcome() {}
func (Unknown) isOutcome()  {}

// InvalidError says that the merged result has faults.
type InvalidError struct{ Diagnostics intent.Diagnostics }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the merged configuration has %d faults", len(e.Diagnostics.WithSeverity(intent.Fault)))
}

// FileConflict is one file that two changes altered since the same base.
type FileConflict struct {
	File string `json:"file"`
	// Revision, ChangeID, Author and At are those of the other change.
	Revision    uint64    `json:"revision"`
	ChangeID    string    `json:"change_id"`
	Author      string    `json:"author"`
	PublishedAt time.Time `json:"at"`
}

// ConflictError names the changes that altered the same files.
type ConflictError struct{ Files []FileConflict }

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Files))
	for i, f := range e.Files {
		lines[i] = fmt.Sprintf("%s was changed in revision %d by %s (change %s)", f.File, f.Revision, f.Author, f.ChangeID)
	}
	return "conflict: " + strings.Join(lines, "; ")
}

// NoBaseError says that the store holds a configuration and it is not known
// which revision the folder was taken from.
type NoBaseError struct{ Head revision.Head }

// Error implements error.
func (e *NoBaseError) Error() string {
	return fmt.Sprintf("the folder has no base, and the store holds revision %d by %s", e.Head.Revision, e.Head.Author)
}

// StoreBehindError says that the store's newest revision is older than the one that
// the folder was taken from: it is another store, or one that has lost data.
type StoreBehindError struct{ Base, Head uint64 }

// Error implements error.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the folder was taken from revision %d, but the store's newest is %d", e.Base, e.Head)
}

// StoreFailedError says that the store failed before the head was written.
type StoreFailedError struct{ Cause error }

// Error implements error.
func (e *StoreFailedError) Error() string {
	return fmt.Sprintf("nothing was published: the store failed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoreFailedError) Unwrap() error { return e.Cause }

// ContentionError says that other changes won every attempt.
type ContentionError struct{ Attempts int }

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("other changes were faster in each of %d attempts", e.Attempts)
}

// ChangeIDMismatchError says that a change id was made from other contents than those
// given with it now, and that the chain does not hold it.
type ChangeIDMismatchError struct{ ChangeID string }

// Error implements error.
func (e *ChangeIDMismatchError) Error() string {
	return fmt.Sprintf("change %s was made from other contents or another base", e.ChangeID)
}

// ChainError says that the history is not whole.
type ChainError struct {
	Revision uint64
	Reason   string
}

// Error implements error.
func (e *ChainError) Error() string {
	return fmt.Sprintf("history of revision %d: %s", e.Revision, e.Reason)
}
