package publish

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// applyRun is the state of one call of Apply.
type applyRun struct {
	publisher *Publisher
	change    Change
	ours      fileDigests
	// ourContents maps digests to the contents of the folder's files.
	ourContents map[string][]byte
	// base is the change's base or, for Replace, the first head read; see setBase.
	base        fileDigests
	publishedAt time.Time
	// searchedUpTo is the newest revision that was searched: neither it nor any
	// before it contains the change.
	searchedUpTo uint64
	// writePending reports that a write of the head got no response and may still
	// take effect; pendingWriteVersion is the version that it compares with.
	writePending        bool
	pendingWriteVersion uint64
	// earlierWritePending reports the same of a write that an earlier call of
	// Apply may have sent. That call would reach the same decision as this one, so
	// the write only matters if this call ends without a decision.
	earlierWritePending bool
	earlierWriteVersion uint64
	// searchNeeded reports that the change may have been published since the
	// history was last searched for it.
	searchNeeded bool
	lastFailure  error
	// headRead reports that the head has been read, so that searchedUpTo is valid.
	headRead bool
}

func newApplyRun(p *Publisher, ch Change) *applyRun {
	r := &applyRun{
		publisher:   p,
		change:      ch,
		ours:        fileDigestsOf(FileRefs(ch.Files)),
		ourContents: make(map[string][]byte, len(ch.Files)),
		publishedAt: p.opts.Now().UTC().Truncate(time.Second),

		searchNeeded: ch.Resumed,
	}
	for _, f := range ch.Files {
		r.ourContents[revision.Digest(f.Content)] = f.Content
	}
	return r
}

// attempt reads the head, finds out whether earlier writes took effect and, unless
// last is set, tries to swap the head. A nil outcome without an error means that
// another attempt is needed.
func (r *applyRun) attempt(ctx context.Context, last bool) (Outcome, error) {
	head, err := r.publisher.readHead(ctx)
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

// resolveEarlierWrites searches the history for the change if an earlier write may
// have published it. The outcome is nil if it was not published.
func (r *applyRun) resolveEarlierWrites(ctx context.Context, head storedHead) (Outcome, error) {
	if r.mayBePublished() {
		rev, found, err := r.publisher.findChange(ctx, head, r.searchFloor(), r.change.ID)
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

// mayBePublished reports whether a write with an unknown result may have published
// the change or may still publish it.
func (r *applyRun) mayBePublished() bool {
	return r.searchNeeded || r.writePending || r.earlierWritePending
}

// clearSupersededWrites forgets pending writes that can't take effect any more
// because the head has a newer version than the one they compare with.
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

// searchFloor returns the newest revision that is known to precede the change.
func (r *applyRun) searchFloor() uint64 {
	if r.headRead || r.change.Base == nil {
		return r.searchedUpTo
	}
	return r.change.Base.Revision
}

// setBase sets the base when the first head is read and keeps it afterwards. The
// error is a *NoBaseError or a *StoreBehindError.
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

// mergeWithHead merges the change with the head's files. The outcome is set
// if there is nothing to publish or the change is rejected.
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
		return nil, r.rejectedOutcome(&ConflictError{Files: r.publisher.blame(ctx, head, merged.conflicts)})
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

// prepareSwap validates the merged files and writes what the new head depends on:
// the blobs and the log entry of the head that it replaces.
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
	if err := r.publisher.writeLog(ctx, head.Revision, head.raw); err != nil {
		return nil, r.storeFailedOutcome(err)
	}
	return diags, nil
}

// readContents returns the files listed in l, from the folder or from the store.
func (r *applyRun) readContents(ctx context.Context, l fileDigests) ([]intent.File, error) {
	files := make([]intent.File, 0, len(l))
	for _, name := range l.names() {
		content, ok := r.ourContents[l[name]]
		if !ok {
			var err error
			if content, err = r.publisher.ReadBlob(ctx, l[name]); err != nil {
				return nil, errors.Wrapf(err, "read %s", name)
			}
		}
		files = append(files, intent.File{Name: name, Content: content})
	}
	return files, nil
}

// writeBlobs writes the contents that the head does not refer to yet.
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
		if err := r.publisher.createKey(ctx, revision.BlobKey(digest), r.ourContents[digest]); err != nil {
			return errors.Wrapf(err, "write %s", name)
		}
		present[digest] = true
	}
	return nil
}

// writeLog writes the log entry of a current or past head. Every publisher writes
// the entry of the head that it is about to replace, so that each revision before
// the head has one even if its own publisher was killed.
func (p *Publisher) writeLog(ctx context.Context, rev uint64, raw []byte) error {
	return p.createKey(ctx, revision.LogKey(rev), raw)
}

// swapHead replaces the head by compare-and-swap. The outcome is nil if another
// attempt is needed.
func (r *applyRun) swapHead(ctx context.Context, head storedHead, merged fileDigests, warnings intent.Diagnostics) Outcome {
	next, raw, err := r.newHead(head, merged)
	if err != nil {
		return r.rejectedOutcome(err)
	}
	r.searchNeeded = true
	_, err = r.publisher.store.Put(ctx, revision.HeadKey, raw, platform.PutOptions{IfVersion: &head.version})
	switch {
	case err == nil:
		// If this write fails, the next publisher writes the entry.
		_ = r.publisher.writeLog(ctx, next.Revision, raw)
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

// recordSwapFailure records a failed write of the head and whether it may have
// taken effect or still may.
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

// rejectedOutcome returns Rejected, or Unknown while a write is pending that may
// still publish the change.
func (r *applyRun) rejectedOutcome(reason error) Outcome {
	if r.writePending {
		return r.unknownOutcome()
	}
	return Rejected{Reason: reason}
}

// storeFailedOutcome returns the outcome if the store fails before it is known
// whether the change was published.
func (r *applyRun) storeFailedOutcome(err error) Outcome {
	r.lastFailure = err
	if r.mayBePublished() {
		return r.unknownOutcome()
	}
	return Rejected{Reason: &StoreFailedError{Cause: err}}
}

// attemptsExhaustedOutcome returns the outcome after the last attempt.
func (r *applyRun) attemptsExhaustedOutcome() Outcome {
	if r.lastFailure != nil {
		return r.storeFailedOutcome(r.lastFailure)
	}
	return r.rejectedOutcome(&ContentionError{Attempts: r.publisher.opts.MaxSwapAttempts})
}

func (r *applyRun) unknownOutcome() Outcome {
	return Unknown{ChangeID: r.change.ID, Cause: r.lastFailure}
}
