package publish

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// run is one call of Apply.
type run struct {
	p    *Publisher
	ch   Change
	mine listing
	// local holds the folder's contents by digest.
	local map[string][]byte
	// base is set from the change or, to replace, from the first head read.
	base listing
	at   time.Time
	// floor is the newest revision up to which the chain is known not to
	// hold the change.
	floor uint64
	// pending says that a write of the head got no answer and may still take
	// effect; pendingVersion is the version that it compares with.
	pending        bool
	pendingVersion uint64
	// earlier says the same of a write that an earlier run may have sent. That
	// run decided as this one does, so it only matters when this one stops
	// without a decision.
	earlier        bool
	earlierVersion uint64
	// unsettled says that the chain has not been searched since the change
	// may have been published.
	unsettled   bool
	lastFailure error
	// seen says that the head has been read, so that floor holds.
	seen bool
}

func newRun(p *Publisher, ch Change) *run {
	r := &run{
		p:     p,
		ch:    ch,
		mine:  listingOf(FileRefs(ch.Files)),
		local: make(map[string][]byte, len(ch.Files)),
		at:    p.opts.Now().UTC().Truncate(time.Second),

		unsettled: ch.Resumed,
	}
	for _, f := range ch.Files {
		r.local[revision.Digest(f.Content)] = f.Content
	}
	return r
}

// attempt reads the head, settles earlier writes, and unless this is the last
// attempt tries to swap the head. A nil outcome without an error asks for
// another attempt.
func (r *run) attempt(ctx context.Context, last bool) (Outcome, error) {
	head, err := r.p.readHead(ctx)
	if err != nil {
		return r.stopped(err), nil
	}
	outcome, err := r.settle(ctx, head)
	if outcome != nil || err != nil {
		return outcome, err
	}
	if last {
		return r.gaveUp(), nil
	}
	merged, outcome := r.merge(ctx, head)
	if outcome != nil {
		return outcome, nil
	}
	warnings, outcome := r.prepare(ctx, head, merged)
	if outcome != nil {
		return outcome, nil
	}
	return r.swap(ctx, head, merged, warnings), nil
}

// settle looks for the change in the chain, as far as it may be there.
func (r *run) settle(ctx context.Context, head headState) (Outcome, error) {
	if r.open() {
		rev, found, err := r.p.find(ctx, head, r.settleFloor(), r.ch.ID)
		if err != nil {
			return r.stopped(err), nil
		}
		if found {
			return Accepted{Revision: rev}, nil
		}
	}
	r.closeWrites(head)
	r.floor, r.seen, r.unsettled = head.Revision, true, false
	if r.ch.matchesID() {
		return nil, nil
	}
	return nil, &ChangeIDMismatchError{ChangeID: r.ch.ID}
}

// open tells whether the change may be published by a write that is not settled.
func (r *run) open() bool { return r.unsettled || r.pending || r.earlier }

// closeWrites drops the writes that can't take effect any more, because the
// head has a newer version than the one that they compare with.
func (r *run) closeWrites(head headState) {
	if r.ch.Resumed && !r.seen {
		r.earlier, r.earlierVersion = true, head.version
	}
	if head.version > r.earlierVersion {
		r.earlier = false
	}
	if head.version > r.pendingVersion {
		r.pending = false
	}
}

// settleFloor returns the revision up to which the change can't be.
func (r *run) settleFloor() uint64 {
	if r.seen || r.ch.Base == nil {
		return r.floor
	}
	return r.ch.Base.Revision
}

// setBase fixes the base at the first head read. The error is a *NoBaseError
// or a *BehindError.
func (r *run) setBase(head headState) error {
	switch {
	case r.base != nil:
	case r.ch.Replace:
		r.base = listingOf(head.Files)
	case r.ch.Base != nil && r.ch.Base.Revision > head.Revision:
		return &StoreBehindError{Base: r.ch.Base.Revision, Head: head.Revision}
	case r.ch.Base != nil:
		r.base = listingOf(r.ch.Base.Files)
	case head.version == 0:
		r.base = listing{}
	default:
		return &NoBaseError{Head: head.Head}
	}
	return nil
}

// merge rebases the change on the head.
func (r *run) merge(ctx context.Context, head headState) (listing, Outcome) {
	current := listingOf(head.Files)
	if err := r.setBase(head); err != nil {
		if current.equal(r.mine) {
			return nil, r.unchanged(head)
		}
		return nil, r.rejected(err)
	}
	merged := rebase(r.base, r.mine, current)
	if len(merged.conflicts) > 0 {
		return nil, r.rejected(&ConflictError{Files: r.p.blame(ctx, head, merged.conflicts)})
	}
	if head.version != 0 && merged.files.equal(current) {
		return nil, r.unchanged(head)
	}
	return merged.files, nil
}

func (r *run) unchanged(head headState) Outcome {
	if r.pending {
		return r.unknown()
	}
	return Accepted{Revision: head.Revision, Unchanged: true}
}

// prepare validates the merged files and writes all that the new head needs:
// the contents, and the log entry of the head that it replaces.
func (r *run) prepare(ctx context.Context, head headState, merged listing) (intent.Diagnostics, Outcome) {
	files, err := r.contents(ctx, merged)
	if err != nil {
		return nil, r.stopped(err)
	}
	_, diags := intent.Parse(files)
	if diags.HasFaults() {
		return nil, r.rejected(&InvalidError{Diagnostics: diags})
	}
	if err := r.writeBlobs(ctx, head, merged); err != nil {
		return nil, r.stopped(err)
	}
	if head.version == 0 {
		return diags, nil
	}
	if err := r.p.writeLog(ctx, head.Revision, head.raw); err != nil {
		return nil, r.stopped(err)
	}
	return diags, nil
}

// contents returns the files of a list, from the folder or from the store.
func (r *run) contents(ctx context.Context, l listing) ([]intent.File, error) {
	files := make([]intent.File, 0, len(l))
	for _, name := range l.names() {
		content, ok := r.local[l[name]]
		if !ok {
			var err error
			if content, err = r.p.ReadBlob(ctx, l[name]); err != nil {
				return nil, errors.Wrapf(err, "read %s", name)
			}
		}
		files = append(files, intent.File{Name: name, Content: content})
	}
	return files, nil
}

// writeBlobs writes the contents that the head does not name yet.
func (r *run) writeBlobs(ctx context.Context, head headState, merged listing) error {
	present := make(map[string]bool, len(head.Files))
	for _, f := range head.Files {
		present[f.SHA256] = true
	}
	for _, name := range merged.names() {
		digest := merged[name]
		if present[digest] {
			continue
		}
		if err := r.p.create(ctx, revision.BlobKey(digest), r.local[digest]); err != nil {
			return errors.Wrapf(err, "write %s", name)
		}
		present[digest] = true
	}
	return nil
}

// writeLog writes a head that is, or was, in force to the log. Every publisher
// writes the log entry of the head that it is about to replace, so each
// revision below the head has one, whoever was killed in between.
func (p *Publisher) writeLog(ctx context.Context, rev uint64, raw []byte) error {
	return p.create(ctx, revision.LogKey(rev), raw)
}

// swap puts the new head in the place of the old one.
func (r *run) swap(ctx context.Context, head headState, merged listing, warnings intent.Diagnostics) Outcome {
	next, raw, err := r.nextHead(head, merged)
	if err != nil {
		return r.rejected(err)
	}
	r.unsettled = true
	_, err = r.p.store.Put(ctx, revision.HeadKey, raw, platform.PutOptions{IfVersion: &head.version})
	switch {
	case err == nil:
		// The next publisher writes the entry if this one can't.
		_ = r.p.writeLog(ctx, next.Revision, raw)
		return Accepted{Revision: next.Revision, Kept: r.kept(head), Warnings: warnings}
	case isConflict(err):
		return nil
	}
	r.noteFailure(err, head.version)
	return nil
}

func (r *run) nextHead(head headState, merged listing) (revision.Head, []byte, error) {
	next := revision.Head{
		Revision:    head.Revision + 1,
		ChangeID:    r.ch.ID,
		Files:       merged.refs(),
		Author:      r.ch.Author,
		PublishedAt: r.at,
	}
	if head.version != 0 {
		next.ParentDigest = revision.Digest(head.raw)
	}
	raw, err := next.Encode()
	if err != nil {
		return next, nil, err
	}
	_, err = revision.ParseHead(raw)
	return next, raw, err
}

func (r *run) kept(head headState) []string {
	return rebase(r.base, r.mine, listingOf(head.Files)).kept
}

// noteFailure keeps what a write of the head without an answer leaves open.
func (r *run) noteFailure(err error, version uint64) {
	r.lastFailure = err
	var u *platform.UnavailableError
	if errors.As(err, &u) && !u.MaybeApplied {
		r.unsettled = false
		return
	}
	r.pending = true
	r.pendingVersion = version
}

// rejected is only the truth when no write is open; else nothing is certain.
func (r *run) rejected(reason error) Outcome {
	if r.pending {
		return r.unknown()
	}
	return Rejected{Reason: reason}
}

// stopped is the outcome when the store fails before the change is settled.
func (r *run) stopped(err error) Outcome {
	r.lastFailure = err
	if r.open() {
		return r.unknown()
	}
	return Rejected{Reason: &StoreFailedError{Cause: err}}
}

// gaveUp is the outcome when no attempt came to an end.
func (r *run) gaveUp() Outcome {
	if r.lastFailure != nil {
		return r.stopped(r.lastFailure)
	}
	return r.rejected(&ContentionError{Attempts: r.p.opts.MaxSwapAttempts})
}

func (r *run) unknown() Outcome {
	return Unknown{ChangeID: r.ch.ID, Cause: r.lastFailure}
}
