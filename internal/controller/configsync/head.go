package configsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// maxConcurrentBlobReads is the number of contents read at a time.
const maxConcurrentBlobReads = 4

// handleHead handles the head as the store gave it. An error means that the
// same head should be tried again soon; bad content is noted and is no error.
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
	var bad *ContentError
	if errors.As(err, &bad) {
		c.reject(bad)
		return nil
	}
	return err
}

// shouldRead says whether the head is higher than the revision in force and not
// known to be bad.
func (c *Controller) shouldRead(head revision.Head, digest string) bool {
	own := c.Board.Intent.Get()
	if head.Revision == own.Revision && digest != own.Digest {
		digestConflicts.Inc()
	}
	if head.Revision <= own.Revision {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return digest != c.rejectedDigest || !time.Now().Before(c.rejectedRetryAt)
}

// reject notes a head with bad content, so that it isn't read again at once.
func (c *Controller) reject(bad *ContentError) {
	c.mu.Lock()
	again := c.rejectedDigest == bad.Digest
	c.rejectedDigest = bad.Digest
	c.rejectedRetryAt = time.Now().Add(c.Timing.BadContentRetryDelay)
	c.mu.Unlock()
	if again {
		return
	}
	badContentRevisions.Inc()
	c.Log.Warn("configuration refused", "err", bad)
}

// readRevision reads the files of a head and offers the revision.
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

// asContentError turns failures that a retry won't mend into a *ContentError.
func asContentError(head revision.Head, raw []byte, err error) error {
	var missing *platform.NotFoundError
	var invalid *revision.InvalidError
	if errors.As(err, &missing) || errors.As(err, &invalid) {
		return &ContentError{Revision: head.Revision, Digest: revision.Digest(raw), Cause: err}
	}
	return err
}

// readBlob returns a content from the files in force or from the store.
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
