// Package publish puts a folder's files into the store as the next revision:
// a three-way merge by file, validation of the merged result, and a
// compare-and-swap of the head. A lost answer is settled by the change id.
package publish

import (
	"context"
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// Options are the settings of a Publisher. Zero fields get defaults.
type Options struct {
	// MaxCallAttempts is how often one call is made while the store is unavailable.
	MaxCallAttempts int
	// MaxSwapAttempts is how often the head is swapped before Apply gives up.
	MaxSwapAttempts int
	// Now returns the time that revisions are stamped with.
	Now func() time.Time
	// Sleep waits between tries; it returns ctx's error when that ends first.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Defaults of Options.
const (
	DefaultMaxCallAttempts = 6
	DefaultMaxSwapAttempts = 20
)

// Publisher publishes changes and reads the chain of revisions.
type Publisher struct {
	store platform.Store
	opts  Options
}

// New returns a publisher on the given store.
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

// Base is what a folder was taken from.
type Base struct {
	// Revision is the newest one that is known not to hold the change.
	Revision uint64             `json:"revision"`
	Files    []revision.FileRef `json:"files"`
}

// Change is what an operator asks for.
type Change struct {
	// ID is made by NewChangeID from the other fields.
	ID     string
	Author string
	// Files are the whole folder.
	Files []intent.File
	// Base is nil when it is not known; then only an empty store or Replace
	// lets the change through.
	Base *Base
	// Replace takes the head that Apply finds first as the base, so that the
	// folder replaces it as a whole.
	Replace bool
	// Resumed says that an earlier run may have published the change already.
	Resumed bool
}

// Apply publishes the change, or finds out what became of it. The error is a
// *MismatchError when the id belongs to other contents; otherwise the outcome
// tells all.
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

// Plan is what Apply would do now.
type Plan struct {
	Head revision.Head `json:"head"`
	// Changes lists what would change in the head's files.
	Changes []FileChange `json:"changes"`
	// Kept names the files that others changed since the base.
	Kept      []string       `json:"kept,omitempty"`
	Conflicts []FileConflict `json:"conflicts,omitempty"`
	// Files are the contents of the merged result, nil on a conflict.
	Files []intent.File `json:"-"`
}

// Plan works out what Apply would do, without writing anything. The error is a
// *NoBaseError, a *BehindError or a failure of the store.
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
