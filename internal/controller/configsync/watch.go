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
	failures := backoff{min: c.Timing.RetryMin, max: c.Timing.RetryMax}
	for ctx.Err() == nil {
		if !c.holdsWatch() {
			watchHeld.Set(0)
			pause(ctx, c.Timing.PeerTick)
			continue
		}
		watchHeld.Set(1)
		began := time.Now()
		next, err := c.watchOnce(ctx, after)
		if err != nil {
			pause(ctx, c.jitter(failures.step()))
			continue
		}
		failures.reset()
		if next == after && time.Since(began) < c.Timing.RetryMin {
			pause(ctx, c.jitter(c.Timing.RetryMin))
		}
		after = next
	}
}

// watchOnce waits for a head whose version is above after, and returns the
// version that was handled.
func (c *Controller) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	e, err := c.Store.Watch(ctx, revision.HeadKey, after, c.Timing.WatchWait)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		c.takeMissing(ctx)
		return 0, nil
	}
	if err != nil {
		watchFailures.Inc()
		return after, err
	}
	if err := c.takeHead(ctx, e); err != nil {
		return after, err
	}
	return e.Version, nil
}

// takeMissing handles a store without a head.
func (c *Controller) takeMissing(ctx context.Context) {
	if c.holding() > 0 {
		storeBehind.Inc()
		c.repair(ctx, 0)
	}
}

// pollLoop reads the head now and then, as the net under the watches.
func (c *Controller) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.holdsWatch() {
			c.pollOnce(ctx)
		}
		pause(ctx, c.jitter(c.pollInterval()))
	}
}

func (c *Controller) pollOnce(ctx context.Context) {
	e, err := c.Store.Get(ctx, revision.HeadKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		c.takeMissing(ctx)
		return
	}
	if err != nil {
		readFailures.Inc()
		return
	}
	// A failed read of a file is made up by the next poll or by a peer.
	_ = c.takeHead(ctx, e)
}

// pollInterval spreads a region's polls over its gateways.
func (c *Controller) pollInterval() time.Duration {
	if c.holding() == 0 {
		return c.Timing.StartPollEvery
	}
	return c.Timing.PollEvery * time.Duration(len(c.liveIDs()))
}
