package configsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// maxConcurrentBlobReads is the number of blobs read from the store at a time.
const maxConcurrentBlobReads = 4

// handleHead processes a head read from the store: it reads and offers a newer
// revision, and repairs a store that went back to an older one. An error means
// that the same head should be processed again soon; invalid content is recorded
// by reject and is not an error.
func (c *Controller) handleHead(ctx context.Context, e platform.Entry) error {
	head, err := revision.ParseHead(e.Value)
	digest := revision.Digest(e.Value)
	if err != nil {
		c.reject(&ContentError{Digest: digest, Cause: err})
		return nil
	}
	if head.Revision < c.currentRevision() {
		staleHeadReads.Inc()
		if c.descendsFrom(digest) {
			c.repairStore(ctx, e.Version)
		}
		return nil
	}
	if !c.shouldRead(head, digest) {
		return nil
	}
	err = c.readRevision(ctx, e.Value, head)
	var contentErr *ContentError
	if errors.As(err, &contentErr) {
		c.reject(contentErr)
		return nil
	}
	return err
}

// shouldRead reports whether the head is higher than the revision in force and was
// not rejected within the last BadContentRetryDelay. It also counts heads that differ
// from the one in force but have its number.
func (c *Controller) shouldRead(head revision.Head, digest string) bool {
	current := c.Board.Intent.Get()
	if head.Revision == current.Revision && digest != current.Digest {
		digestConflicts.Inc()
	}
	if head.Revision <= current.Revision {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return digest != c.rejectedDigest || !time.Now().Before(c.rejectedRetryAt)
}

// reject records a head with invalid content, so that it is not read again before
// BadContentRetryDelay.
func (c *Controller) reject(contentErr *ContentError) {
	c.mu.Lock()
	alreadyRejected := c.rejectedDigest == contentErr.Digest
	c.rejectedDigest = contentErr.Digest
	c.rejectedRetryAt = time.Now().Add(c.Timing.BadContentRetryDelay)
	c.mu.Unlock()
	if alreadyRejected {
		return
	}
	badContentRevisions.Inc()
	c.Log.Warn("configuration rejected", "err", contentErr)
}

// readRevision reads the files that a head lists and offers the revision.
func (c *Controller) readRevision(ctx context.Context, raw []byte, head revision.Head) error {
	files := make([]revision.File, len(head.Files))
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentBlobReads)
	for i, ref := range head.Files {
		g.Go(func() error {
			content, err := c.readBlob(gctx, ref.SHA256)
			files[i] = revision.File{Name: ref.Name, SHA256: ref.SHA256, Content: content}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return asContentError(head, raw, err)
	}
	v, err := revision.Verify(raw, files)
	if err != nil {
		return asContentError(head, raw, err)
	}
	return c.offer(v, sourceStore)
}

// asContentError converts errors that a retry would not resolve to a *ContentError
// and returns others unchanged.
func asContentError(head revision.Head, raw []byte, err error) error {
	var missing *platform.NotFoundError
	var invalid *revision.InvalidError
	if errors.As(err, &missing) || errors.As(err, &invalid) {
		return &ContentError{Revision: head.Revision, Digest: revision.Digest(raw), Cause: err}
	}
	return err
}

// readBlob returns the content with the given digest, from the known blobs or from
// the store. Only content that matches the digest is kept; revision.Verify reports
// a mismatch.
func (c *Controller) readBlob(ctx context.Context, digest string) ([]byte, error) {
	c.mu.Lock()
	content, ok := c.blobs[digest]
	c.mu.Unlock()
	if ok {
		return content, nil
	}
	e, err := c.Store.Get(ctx, revision.BlobKey(digest))
	if err != nil {
		readFailures.Inc()
		return nil, err
	}
	if revision.Digest(e.Value) == digest {
		c.mu.Lock()
		c.blobs[digest] = e.Value
		c.mu.Unlock()
	}
	return e.Value, nil
}
