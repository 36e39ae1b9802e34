package routesync

import (
	"context"
	"time"

	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/store"
)

// minWatchWait keeps watches that are about to be replaced by a read from following each
// other without a pause.
const minWatchWait = 20 * time.Millisecond

// watchWait returns how long the store may delay its response to a watch that starts now.
func (c *Controller) watchWait(now time.Time) time.Duration {
	wait := watchWait
	routes, limits := c.Board.Routes.Get(), c.Board.Settings.Get().Limits
	if limits.RevokeStrict && routes != nil && routes.Accounts != nil {
		wait = min(wait, limits.Revocation/watchesPerRevocation)
	}
	if !c.rewrittenAt.IsZero() {
		// The read that is due then starts the proof anew after a restore.
		wait = min(wait, c.rewrittenAt.Sub(now))
	}
	return max(wait, minWatchWait)
}

// prove records that the store answered a call that was started at the given time, after
// the response has been applied.
//
// A configuration that can't be decoded is not in force anywhere and doesn't end the proof
// of the one that is: the version is invalid as a whole.
func (c *Controller) prove(revision store.Revision, startedAt freshness.Instant) {
	var inForce uint64
	if routes := c.Board.Routes.Get(); routes != nil {
		inForce = routes.Version
	}
	c.Proofs.Observe(freshness.Observation{AsOf: startedAt, Era: revision.Era, IsDirect: true}, inForce, c.Clock.Now())
}

// ReadConfig reads the configuration alone from the store and adopts it. It may be called
// while the controller runs.
func (c *Controller) ReadConfig(ctx context.Context) error {
	startedAt := c.Clock.Now()
	changes, revision, err := c.Source.ReadConfig(ctx)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if change.DataCentre == "" {
			c.apply(change)
		}
	}
	c.prove(revision, startedAt)
	return nil
}
