package publish

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// applyRun is one call of Apply.
type applyRun struct {
	p    *Publisher
	change   Change
	ours fileDigests
	// ourContents holds the folder's contents by digest.
	ourContents map[string][]byte
	// base is set from the change or, to replace, from the first head read.
	base fileDigests
	publishedAt   time.Time
	// searchedUpTo is the newest revision up to which the chain is known not to
	// hold the change.
	searchedUpTo uint64
	// writePending says that a write of the head got no answer and may still take
	// effect; pendingVersion is the version that it compares with.
	writePending        bool
	pendingWriteVersion uint64
	// earlierWritePending says the same of a write that an earlier run may have sent. That
	// run decided as this one does, so it only matters when this one stops
	// without a decision.
	earlierWritePending        bool
	earlierWriteVersion uint64
	// searchNeeded says that the chain has not been searched since the change
	// may have been published.
	searchNeeded   bool
	lastFailure error
	// headRead says that the head has been read, so that floor holds.
	headRead bool
}

func newApplyRun(p *Publisher, ch Change) *applyRun {
	r := &applyRun{
		p:     p,
		change:    ch,
		ours:  fileDigestsOf(FileRefs(ch.Files)),
		ourContents: make(map[string][]byte, len(ch.Files)),
		publishedAt:    p.opts.Now().UTC().Truncate(time.Second),

		searchNeeded: ch.Resumed,
	}
	for _, f := range ch.Files {
		r.ourContents[revision.Digest(f.Content)] = f.Content
	}
	return r
}

// attempt reads the head, settles earlier writes, and unless this is the last
// attempt tries to swap the head. A nil outcome without an error asks for
// another attempt.
func (r *applyRun) attempt(ctx context.Context, last bool) (Outcome, error) {
	head, err := r.p.readHead(ctx)
	if err != nil {
		return r.storeFailedOutcome(err), nil
	}
	outcome, err := r.resolveEarlierWrites(ctx, head)
	if outcome != nil || err != nil {
		return outcome, err
	}
	if last {
		return r.attemptsExhaustedOutcome(), nil
	}
	merged, outcome := r.mergeWithHead(ctx, head)
	if outcome != nil {
		return outcome, nil
	}
	warnings, outcome := r.prepareSwap(ctx, head, merged)
	if outcome != nil {
		return outcome, nil
	}
	return r.swapHead(ctx, head, merged, warnings), nil
}

// resolveEarlierWrites looks for the change in the chain, as far as it may be there.
func (r *applyRun) resolveEarlierWrites(ctx context.Context, head storedHead) (Outcome, error) {
	if r.mayBePublished() {
		rev, found, err := r.p.findChange(ctx, head, r.searchFloor(), r.change.ID)
		if err != nil {
			return r.storeFailedOutcome(err), nil
		}
		if found {
			return Accepted{Revision: rev}, nil
		}
	}
	r.clearSupersededWrites(head)
	r.searchedUpTo, r.headRead, r.searchNeeded = head.Revision, true, false
	if r.change.hasMatchingID() {
		return nil, nil
	}
	return nil, &ChangeIDMismatchError{ChangeID: r.change.ID}
}

// mayBePublished tells whether the change may be published by a write that is not settled.
func (r *applyRun) mayBePublished() bool { return r.searchNeeded || r.writePending || r.earlierWritePending }

// clearSupersededWrites drops the writes that can't take effect any more, because the
// head has a newer version than the one that they compare with.
func (r *applyRun) clearSupersededWrites(head storedHead) {
	if r.change.Resumed && !r.headRead {
		r.earlierWritePending, r.earlierWriteVersion = true, head.version
	}
	if head.version > r.earlierWriteVersion {
		r.earlierWritePending = false
	}
	if head.version > r.pendingWriteVersion {
		r.writePending = false
	}
}

// searchFloor returns the revision up to which the change can't be.
func (r *applyRun) searchFloor() uint64 {
	if r.headRead || r.change.Base == nil {
		return r.searchedUpTo
	}
	return r.change.Base.Revision
}

// setBase fixes the base at the first head read. The error is a *NoBaseError
// or a *BehindError.
func (r *applyRun) setBase(head storedHead) error {
	switch {
	case r.base != nil:
	case r.change.Replace:
		r.base = fileDigestsOf(head.Files)
	case r.change.Base != nil && r.change.Base.Revision > head.Revision:
		return &StoreBehindError{Base: r.change.Base.Revision, Head: head.Revision}
	case r.change.Base != nil:
		r.base = fileDigestsOf(r.change.Base.Files)
	case head.version == 0:
		r.base = fileDigests{}
	default:
		return &NoBaseError{Head: head.Head}
	}
	return nil
}

// mergeWithHead rebases the change on the head.
func (r *applyRun) mergeWithHead(ctx context.Context, head storedHead) (fileDigests, Outcome) {
	current := fileDigestsOf(head.Files)
	if err := r.setBase(head); err != nil {
		if current.equal(r.ours) {
			return nil, r.unchangedOutcome(head)
		}
		return nil, r.rejectedOutcome(err)
	}
	merged := threeWayMerge(r.base, r.ours, current)
	if len(merged.conflicts) > 0 {
		return nil, r.rejectedOutcome(&ConflictError{Files: r.p.blame(ctx, head, merged.conflicts)})
	}
	if head.version != 0 && merged.files.equal(current) {
		return nil, r.unchangedOutcome(head)
	}
	return merged.files, nil
}

func (r *applyRun) unchangedOutcome(head storedHead) Outcome {
	if r.writePending {
		return r.unknownOutcome()
	}
	return Accepted{Revision: head.Revision, Unchanged: true}
}

// prepareSwap validates the merged files and writes all that the new head needs:
// the contents, and the log entry of the head that it replaces.
func (r *applyRun) prepareSwap(ctx context.Context, head storedHead, merged fileDigests) (intent.Diagnostics, Outcome) {
	files, err := r.readContents(ctx, merged)
	if err != nil {
		return nil, r.storeFailedOutcome(err)
	}
	_, diags := intent.Parse(files)
	if diags.HasFaults() {
		return nil, r.rejectedOutcome(&InvalidError{Diagnostics: diags})
	}
	if err := r.writeBlobs(ctx, head, merged); err != nil {
		return nil, r.storeFailedOutcome(err)
	}
	if head.version == 0 {
		return diags, nil
	}
	if err := r.p.writeLog(ctx, head.Revision, head.raw); err != nil {
		return nil, r.storeFailedOutcome(err)
	}
	return diags, nil
}

// readContents returns the files of a list, from the folder or from the store.
func (r *applyRun) readContents(ctx context.Context, l fileDigests) ([]intent.File, error) {
	files := make([]intent.File, 0, len(l))
	for _, name := range l.names() {
		content, ok := r.ourContents[l[name]]
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
func (r *applyRun) writeBlobs(ctx context.Context, head storedHead, merged fileDigests) error {
	present := make(map[string]bool, len(head.Files))
	for _, f := range head.Files {
		present[f.SHA256] = true
	}
	for _, name := range merged.names() {
		digest := merged[name]
		if present[digest] {
			continue
		}
		if err := r.p.createKey(ctx, revision.BlobKey(digest), r.ourContents[digest]); err != nil {
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
	return p.createKey(ctx, revision.LogKey(rev), raw)
}

// swapHead puts the new head in the place of the old one.
func (r *applyRun) swapHead(ctx context.Context, head storedHead, merged fileDigests, warnings intent.Diagnostics) Outcome {
	next, raw, err := r.newHead(head, merged)
	if err != nil {
		return r.rejectedOutcome(err)
	}
	r.searchNeeded = true
	_, err = r.p.store.Put(ctx, revision.HeadKey, raw, platform.PutOptions{IfVersion: &head.version})
	switch {
	case err == nil:
		// The next publisher writes the entry if this one can't.
		_ = r.p.writeLog(ctx, next.Revision, raw)
		return Accepted{Revision: next.Revision, Kept: r.keptFiles(head), Warnings: warnings}
	case isConflict(err):
		return nil
	}
	r.recordSwapFailure(err, head.version)
	return nil
}

func (r *applyRun) newHead(head storedHead, merged fileDigests) (revision.Head, []byte, error) {
	next := revision.Head{
		Revision:    head.Revision + 1,
		ChangeID:    r.change.ID,
		Files:       merged.refs(),
		Author:      r.change.Author,
		PublishedAt: r.publishedAt,
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

func (r *applyRun) keptFiles(head storedHead) []string {
	return threeWayMerge(r.base, r.ours, fileDigestsOf(head.Files)).kept
}

// recordSwapFailure keeps what a write of the head without an answer leaves open.
func (r *applyRun) recordSwapFailure(err error, version uint64) {
	r.lastFailure = err
	var u *platform.UnavailableError
	if errors.As(err, &u) && !u.MaybeApplied {
		r.searchNeeded = false
		return
	}
	r.writePending = true
	r.pendingWriteVersion = version
}

// rejectedOutcome is only the truth when no write is open; else nothing is certain.
func (r *applyRun) rejectedOutcome(reason error) Outcome {
	if r.writePending {
		return r.unknownOutcome()
	}
	return Rejected{Reason: reason}
}

// storeFailedOutcome is the outcome when the store fails before the change is settled.
func (r *applyRun) storeFailedOutcome(err error) Outcome {
	r.lastFailure = err
	if r.mayBePublished() {
		return r.unknownOutcome()
	}
	return Rejected{Reason: &StoreFailedError{Cause: err}}
}

// attemptsExhaustedOutcome is the outcome when no attempt came to an end.
func (r *applyRun) attemptsExhaustedOutcome() Outcome {
	if r.lastFailure != nil {
		return r.storeFailedOutcome(r.lastFailure)
	}
	return r.rejectedOutcome(&ContentionError{Attempts: r.p.opts.MaxSwapAttempts})
}

func (r *applyRun) unknownOutcome() Outcome {
	return Unknown{ChangeID: r.change.ID, Cause: r.lastFailure}
}
