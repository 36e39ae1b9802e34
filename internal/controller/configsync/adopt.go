package configsync

import (
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// source names where a revision came from.
type source string

const (
	sourceStore source = "store"
	sourcePeer  source = "peer"
)

// candidate is a whole and valid revision that may be adopted.
type candidate struct {
	state  blackboard.IntentState
	files  []revision.File
	parent string
	source   source
}

// ContentError says that a revision's content is not acceptable.
type ContentError struct {
	Revision uint64
	Digest   string
	Cause    error
}

// Error implements error.
func (e *ContentError) Error() string {
	return fmt.Sprintf("revision %d (%.12s) has bad content: %v", e.Revision, e.Digest, e.Cause)
}

// Unwrap returns the cause.
func (e *ContentError) Unwrap() error { return e.Cause }

// offer adopts a verified revision if it is valid and higher than the one in
// force. A gateway that holds none keeps it until it may start. One offer is
// handled at a time, so that a revision that comes from the store and from a
// peer at once is parsed once.
func (c *Controller) offer(v *revision.Verified, from source) error {
	c.offerMu.Lock()
	defer c.offerMu.Unlock()
	if v.Head.Revision <= c.highestRevision() {
		return nil
	}
	in, err := c.Parse(v.Files)
	if err != nil {
		return &ContentError{Revision: v.Head.Revision, Digest: v.Digest, Cause: err}
	}
	snapshot, err := v.Snapshot()
	if err != nil {
		return &ContentError{Revision: v.Head.Revision, Digest: v.Digest, Cause: err}
	}
	next := &candidate{
		state:  blackboard.IntentState{Revision: v.Head.Revision, Digest: v.Digest, Snapshot: snapshot, Intent: in},
		files:  v.Files,
		parent: v.Head.ParentDigest,
		source:   from,
	}
	if c.currentRevision() == 0 {
		c.keepPending(next)
		c.adoptFirst()
		return nil
	}
	c.adopt(next)
	return nil
}

// currentRevision returns the revision in force.
func (c *Controller) currentRevision() uint64 { return c.Board.Intent.Get().Revision }

func (c *Controller) keepPending(next *candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil || next.state.Revision > c.pending.state.Revision {
		c.pending = next
	}
}

// adoptFirst adopts the first revision, once the peers had time to name a higher
// one and none does.
func (c *Controller) adoptFirst() {
	age := time.Since(c.startedAt)
	if age < c.Timing.StartGrace {
		return
	}
	c.mu.Lock()
	first := c.pending
	c.mu.Unlock()
	if first == nil {
		return
	}
	if c.highestClaimedRevision() > first.state.Revision && age < c.Timing.MaxStartDelay {
		return
	}
	c.adopt(first)
}

// adopt puts next in force, unless the revision in force is as high.
func (c *Controller) adopt(next *candidate) {
	next.state.InForceSince = time.Now()
	changed := c.Board.Intent.Update(func(old blackboard.IntentState) (blackboard.IntentState, bool) {
		return next.state, next.state.Revision > old.Revision
	})
	if !changed {
		return
	}
	c.retainBlobs(next.files)
	c.recordAncestors(next.state.Digest, next.parent)
	revisionInForce.Set(int64(next.state.Revision))
	if next.source == sourcePeer {
		adoptedFromPeers.Inc()
	} else {
		adoptedFromStore.Inc()
	}
	c.Log.Info("configuration in force", "revision", next.state.Revision, "digest", next.state.Digest, "from", next.source)
}

// retainBlobs keeps only the contents of the adopted files.
func (c *Controller) retainBlobs(files []revision.File) {
	blobs := make(map[string][]byte, len(files))
	for _, f := range files {
		blobs[f.SHA256] = f.Content
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blobs = blobs
	c.pending = nil
}
