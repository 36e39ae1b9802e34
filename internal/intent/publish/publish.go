// Package publish writes a folder's files to the store as the next revision. It
// merges them file by file with concurrent changes (three-way merge), validates
// the result and swaps the head by compare-and-swap. If the response to the swap
// is lost, the change id tells whether the change was published.
package publish

import (
	"context"
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// Options configures a Publisher. Zero fields get defaults.
type Options struct {
	// MaxCallAttempts is the maximum number of attempts of one call while the
	// store is unavailable.
	MaxCallAttempts int
	// MaxSwapAttempts is the maximum number of attempts to swap the head before
	// Apply gives up.
	MaxSwapAttempts int
	// Now returns the publication time of revisions.
	Now func() time.Time
	// Sleep waits between attempts; it returns ctx's error if ctx ends first.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Defaults of Options.
const (
	DefaultMaxCallAttempts = 6
	DefaultMaxSwapAttempts = 20
)

// Publisher publishes changes and reads the history of revisions. It is safe for
// concurrent use if the store and the functions in Options are.
type Publisher struct {
	store platform.Store
	opts  Options
}

// New returns a publisher for the given store.
func New(store platform.Store, opts Options) *Publisher {
	if opts.MaxCallAttempts == 0 {
		opts.MaxCallAttempts = DefaultMaxCallAttempts
	}
	if opts.MaxSwapAttempts == 0 {
		opts.MaxSwapAttempts = DefaultMaxSwapAttempts
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Sleep == nil {
		opts.Sleep = sleep
	}
	return &Publisher{store: store, opts: opts}
}

// Base is the revision that a folder was pulled from.
type Base struct {
	// Revision is the newest revision known not to contain the change.
	Revision uint64             `json:"revision"`
	Files    []revision.FileRef `json:"files"`
}

// Change is a change that an operator wants to publish.
type Change struct {
	// ID is the result of NewChangeID for the other fields.
	ID     string
	Author string
	// Files are all files of the folder.
	Files []intent.File
	// Base is nil if it is unknown. The change is then rejected unless the store
	// is empty, Replace is set or the head holds the same files.
	Base *Base
	// Replace makes the first head that Apply reads the base, so that the folder
	// replaces all of its files.
	Replace bool
	// Resumed reports that an earlier call of Apply may have published the change.
	Resumed bool
}

// Apply publishes the change, or finds out whether it was published before. The
// error is a *ChangeIDMismatchError if the id was made for a different change and
// nil otherwise; all other failures are part of the outcome.
func (p *Publisher) Apply(ctx context.Context, ch Change) (Outcome, error) {
	r := newApplyRun(p, ch)
	for attempt := 1; ; attempt++ {
		outcome, err := r.attempt(ctx, attempt > p.opts.MaxSwapAttempts)
		if outcome != nil || err != nil {
			return outcome, err
		}
		if err := p.opts.Sleep(ctx, backoff(attempt)); err != nil {
			return r.storeFailedOutcome(err), nil
		}
	}
}

// Plan describes what Apply would do now.
type Plan struct {
	Head revision.Head `json:"head"`
	// Changes lists the head's files that would change.
	Changes []FileChange `json:"changes"`
	// Kept lists the files that only others changed since the base.
	Kept      []string       `json:"kept,omitempty"`
	Conflicts []FileConflict `json:"conflicts,omitempty"`
	// Files holds the merged files, nil if there is a conflict.
	Files []intent.File `json:"-"`
}

// Plan determines what Apply would do, without writing anything. The error is a
// *NoBaseError, a *StoreBehindError or a failure to read from the store.
func (p *Publisher) Plan(ctx context.Context, ch Change) (*Plan, error) {
	r := newApplyRun(p, ch)
	head, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if err := r.setBase(head); err != nil {
		return nil, err
	}
	merged := threeWayMerge(r.base, r.ours, fileDigestsOf(head.Files))
	plan := &Plan{Head: head.Head, Kept: merged.kept}
	if len(merged.conflicts) > 0 {
		plan.Conflicts = p.blame(ctx, head, merged.conflicts)
		return plan, nil
	}
	plan.Changes = Diff(head.Files, merged.files.refs())
	plan.Files, err = r.readContents(ctx, merged.files)
	return plan, err
}
