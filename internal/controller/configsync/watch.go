package configsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// watchLoop holds a watch of the head while this gateway is a holder.
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
		began := time.Now()
		next, err := c.watchOnce(ctx, after)
		if err != nil {
			sleep(ctx, c.jitter(failures.nextDelay()))
			continue
		}
		failures.reset()
		if next == after && time.Since(began) < c.Timing.MinRetryDelay {
			sleep(ctx, c.jitter(c.Timing.MinRetryDelay))
		}
		after = next
	}
}

// watchOnce waits for a head whose version is above after, and returns the
// version that was handled.
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

// handleMissingHead handles a store without a head.
func (c *Controller) handleMissingHead(ctx context.Context) {
	if c.currentRevision() > 0 {
		staleHeadReads.Inc()
		c.repairStore(ctx, 0)
	}
}

// pollLoop reads the head now and then, as the net under the watches.
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
	// A failed read of a file is made up by the next poll or by a peer.
	_ = c.handleHead(ctx, e)
}

// pollInterval spreads a region's polls over its gateways.
func (c *Controller) pollInterval() time.Duration {
	if c.currentRevision() == 0 {
		return c.Timing.StartPollInterval
	}
	return c.Timing.PollInterval * time.Duration(len(c.liveGatewayIDs()))
}
