package configsync

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// maxAncestors is the number of past heads that a gateway remembers.
const maxAncestors = 64

// recordAncestors notes the head in force and its parent as ancestors of what comes.
func (c *Controller) recordAncestors(digest, parent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ancestorDigests = append(c.ancestorDigests, parent, digest)
	if extra := len(c.ancestorDigests) - maxAncestors; extra > 0 {
		c.ancestorDigests = c.ancestorDigests[extra:]
	}
}

// descendsFrom says whether the revision in force is known to come after the
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

// repairStore writes the revision in force back into a store that lost it: one that
// came back empty (version 0) or with a head that the revision in force
// descends from. The head is swapped only if it still has this version, so a
// publication that comes first wins.
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
	c.Log.Warn("store had lost the configuration; written back", "revision", v.Head.Revision)
}

// headChanged says whether the head no longer has the version, or can't be read.
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
