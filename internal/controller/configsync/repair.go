package configsync

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// maxAncestors is the maximum number of ancestor digests that a gateway keeps.
const maxAncestors = 64

// recordAncestors adds the head in force and its parent to the ancestors of later
// revisions.
func (c *Controller) recordAncestors(digest, parent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ancestorDigests = append(c.ancestorDigests, parent, digest)
	if extra := len(c.ancestorDigests) - maxAncestors; extra > 0 {
		c.ancestorDigests = c.ancestorDigests[extra:]
	}
}

// descendsFrom reports whether the revision in force is known to descend from the
// head with this digest.
func (c *Controller) descendsFrom(digest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.ancestorDigests {
		if a == digest {
			return true
		}
	}
	return false
}

// repairStore writes the revision in force back into a store that lost it: a store
// that was restored empty (version 0) or with a head from which the revision in
// force descends. The head is replaced only if it still has the given version, so
// that a concurrent publication takes precedence. The random delay before the
// second read of the head avoids most concurrent repairs.
func (c *Controller) repairStore(ctx context.Context, version uint64) {
	if !sleep(ctx, c.jitter(c.Timing.MaxRetryDelay)) || c.headChanged(ctx, version) {
		return
	}
	v, err := revision.ParseSnapshot(c.Board.Intent.Get().Snapshot)
	if err != nil {
		return
	}
	if err := c.writeBack(ctx, v, version); err != nil {
		storeRepairFailures.Inc()
		return
	}
	storeRepairs.Inc()
	c.Log.Warn("store had lost the configuration; wrote the revision in force back", "revision", v.Head.Revision)
}

// headChanged reports whether the head no longer has the version or can't be read.
// Version 0 means that there is no head.
func (c *Controller) headChanged(ctx context.Context, version uint64) bool {
	e, err := c.Store.Get(ctx, revision.HeadKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return version != 0
	}
	return err != nil || e.Version != version
}

func (c *Controller) writeBack(ctx context.Context, v *revision.Verified, version uint64) error {
	var absent uint64
	for _, f := range v.Files {
		_, err := c.Store.Put(ctx, revision.BlobKey(f.SHA256), f.Content, platform.PutOptions{IfVersion: &absent})
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	_, err := c.Store.Put(ctx, revision.HeadKey, v.RawHead, platform.PutOptions{IfVersion: &version})
	return err
}
