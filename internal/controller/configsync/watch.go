package configsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// watchLoop watches the head while this gateway is a watch holder.
func (c *Controller) watchLoop(ctx context.Context) {
	var after uint64
	failures := backoff{min: c.Timing.MinRetryDelay, max: c.Timing.MaxRetryDelay}
	for ctx.Err() == nil {
		if !c.holdsWatch() {
			watchesHeld.Set(0)
			sleep(ctx, c.Timing.PeerCheckInterval)
			continue
		}
		watchesHeld.Set(1)
		startedAt := time.Now()
		next, err := c.watchOnce(ctx, after)
		if err != nil {
			sleep(ctx, c.jitter(failures.nextDelay()))
			continue
		}
		failures.reset()
		if next == after && time.Since(startedAt) < c.Timing.MinRetryDelay {
			sleep(ctx, c.jitter(c.Timing.MinRetryDelay))
		}
		after = next
	}
}

// watchOnce waits for a head with a version above after and processes it. It
// returns the version that was processed, 0 if there is no head, and after on an
// error.
func (c *Controller) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	e, err := c.Store.Watch(ctx, revision.HeadKey, after, c.Timing.WatchTimeout)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		c.handleMissingHead(ctx)
		return 0, nil
	}
	if err != nil {
		watchFailures.Inc()
		return after, err
	}
	if err := c.handleHead(ctx, e); err != nil {
		return after, err
	}
	return e.Version, nil
}

// handleMissingHead repairs a store without a head if this gateway has a revision.
func (c *Controller) handleMissingHead(ctx context.Context) {
	if c.currentRevision() > 0 {
		staleHeadReads.Inc()
		c.repairStore(ctx, 0)
	}
}

// pollLoop polls the head at a low rate while this gateway is not a watch holder, as
// a fallback for the watches.
func (c *Controller) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.holdsWatch() {
			c.pollOnce(ctx)
		}
		sleep(ctx, c.jitter(c.pollInterval()))
	}
}

func (c *Controller) pollOnce(ctx context.Context) {
	e, err := c.Store.Get(ctx, revision.HeadKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		c.handleMissingHead(ctx)
		return
	}
	if err != nil {
		readFailures.Inc()
		return
	}
	// After a failed read of a file, the next poll or a peer supplies the revision.
	_ = c.handleHead(ctx, e)
}

// pollInterval returns this gateway's mean poll interval, which distributes the
// region's polls over its gateways.
func (c *Controller) pollInterval() time.Duration {
	if c.currentRevision() == 0 {
		return c.Timing.StartPollInterval
	}
	return c.Timing.PollInterval * time.Duration(len(c.liveGatewayIDs()))
}
