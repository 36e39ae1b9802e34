package configsync

import (
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// source is where a revision came from.
type source string

const (
	sourceStore source = "store"
	sourcePeer  source = "peer"
)

// candidate is a complete, valid revision that may be adopted.
type candidate struct {
	state  blackboard.IntentState
	files  []revision.File
	parent string
	source source
}

// ContentError reports that the head or the files of a revision are missing or
// invalid.
type ContentError struct {
	Revision uint64
	Digest   string
	Cause    error
}

// Error implements error.
func (e *ContentError) Error() string {
	return fmt.Sprintf("revision %d (%.12s) has invalid content: %v", e.Revision, e.Digest, e.Cause)
}

// Unwrap returns the cause.
func (e *ContentError) Unwrap() error { return e.Cause }

// offer parses a verified revision and adopts it if it is valid and higher than
// the one in force. A gateway without a revision keeps it as pending until
// adoptFirst adopts it. Calls are serialized, so that a revision that arrives from
// the store and from a peer at the same time is parsed only once. The error is a
// *ContentError.
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
		source: from,
	}
	if c.currentRevision() == 0 {
		c.keepPending(next)
		c.adoptFirst()
		return nil
	}
	c.adopt(next)
	return nil
}

// currentRevision returns the number of the revision in force, 0 if there is none.
func (c *Controller) currentRevision() uint64 { return c.Board.Intent.Get().Revision }

func (c *Controller) keepPending(next *candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil || next.state.Revision > c.pending.state.Revision {
		c.pending = next
	}
}

// adoptFirst adopts the pending revision of a starting gateway. It waits for
// StartGrace, so that peers can report a higher revision, and then, while one
// does, until MaxStartDelay at most.
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

// adopt puts next in force unless the revision in force is as high or higher.
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

// retainBlobs replaces the known blobs by the contents of the adopted files and
// clears the pending revision.
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
