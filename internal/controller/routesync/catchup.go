package routesync

import (
	"context"
	"time"
)

// catchUp is an attempt to bring into force a version that another gateway has. It goes on when
// those who wait for it give up: over a slow link, one that is begun anew each time never ends.
type catchUp struct {
	// done is closed at the end of the attempt; succeeded is valid then.
	done      chan struct{}
	succeeded bool
}

// startCatchUp runs attempt in the background, unless another one is under way or the controller
// has ended. It returns the one that is under way, nil if there is none, and whether it was
// started.
func (c *Controller) startCatchUp(attempt func(ctx context.Context) bool) (running *catchUp, started bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catchingUp != nil || c.background.Err() != nil {
		return c.catchingUp, false
	}
	u := &catchUp{done: make(chan struct{})}
	c.catchingUp = u
	c.tasks.Go(func() {
		u.succeeded = attempt(c.background)
		c.mu.Lock()
		c.catchingUp = nil
		c.mu.Unlock()
		close(u.done)
	})
	return u, true
}

// stopCatchUp ends the attempt that is under way, if any, and prevents further ones.
func (c *Controller) stopCatchUp() {
	c.mu.Lock()
	c.endBackground()
	c.mu.Unlock()
	c.tasks.Wait()
}

// wait waits for the end of the attempt and reports whether it succeeded. It returns false if ctx
// ends first, and on a nil u.
func (u *catchUp) wait(ctx context.Context) bool {
	if u == nil {
		return false
	}
	select {
	case <-u.done:
		return u.succeeded
	case <-ctx.Done():
		return false
	}
}

// Fetch adopts the configuration of another gateway that has the given version, and reports
// whether the version came into force before ctx ended. It may be called while the controller
// runs. It fetches nothing during another fetch.
func (c *Controller) Fetch(ctx context.Context, gateway string, version uint64) bool {
	if c.isInForce(version) {
		return true
	}
	u, started := c.startCatchUp(func(ctx context.Context) bool { return c.fetchFromPeer(ctx, gateway, version) })
	return started && u.wait(ctx)
}

// fetchFromPeer fetches and adopts the configuration of a peer that has at least the given
// version, and reports whether that version is in force then. It fetches nothing if the version
// has come into force meanwhile.
func (c *Controller) fetchFromPeer(ctx context.Context, id string, version uint64) bool {
	if c.isInForce(version) {
		return true
	}
	gw, ok := c.Gateways.Get(id)
	if !ok {
		return false
	}
	raw, err := c.Client.FetchRoutes(ctx, gw.PeerAddress)
	if err != nil {
		c.Logger.Warn("cannot fetch configuration from gateway", "gateway", id, "err", err)
		return false
	}
	table, err := c.Source.Decode(raw)
	if err != nil {
		c.apply(Change{Err: err})
		return false
	}
	fetched.Inc()
	c.adopt(table)
	return c.isInForce(version)
}

// readUnfetched reads from the store a version that could not be fetched from the store reader,
// and reports whether it is in force then. A gateway may hear the store reader and not reach
// it, for instance while their link is cut in one direction. It waits for as long as if it
// didn't hear it: fetches also fail while a whole region fetches at once. behindSince is when the
// first version was heard of that has not come into force since. It is called by one attempt at a
// time.
func (c *Controller) readUnfetched(ctx context.Context, version uint64, behindSince time.Time) bool {
	now := time.Now()
	if now.Sub(behindSince) < c.staleAfter() || now.Sub(c.unfetchedReadAt) < unfetchedReadInterval {
		return false
	}
	c.unfetchedReadAt = now
	unfetched.Inc()
	if err := c.ReadConfig(ctx); err != nil {
		c.Logger.Warn("cannot read from the store the configuration that could not be fetched", "version", version, "err", err)
		return false
	}
	return c.isInForce(version)
}

// isInForce reports whether the version, or a newer one, is in force.
func (c *Controller) isInForce(version uint64) bool {
	routes := c.Board.Routes.Get()
	return routes != nil && routes.Version >= version
}
