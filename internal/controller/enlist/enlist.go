// Package enlist is the controller that keeps this gateway listed in the store
// under a lease, and reads there which other gateways there are.
package enlist

import (
	"context"
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/store"
)

// prefix is the prefix of the keys under which gateways are listed.
const prefix = "hickorystage/gateways/"

// Times of the controller.
const (
	// leaseTime is how long the store lists a gateway that is not heard of.
	leaseTime = 8 * time.Second
	// interval is the time between two renewals and looks at the list.
	interval = 2 * time.Second
	// retryInterval is the pause after a failure.
	retryInterval = 500 * time.Millisecond
	// leaveTimeout bounds the removal from the list at the end.
	leaveTimeout = 500 * time.Millisecond
)

// Controller lists the gateway.
type Controller struct {
	board    *blackboard.Edge
	store    store.Store
	gateways *fleet.Gateways
	logger   *log.Logger

	// lease is 0 while the gateway is not listed.
	lease store.Lease
}

// New returns the controller.
func New(board *blackboard.Edge, s store.Store, gateways *fleet.Gateways, logger *log.Logger) *Controller {
	return &Controller{board: board, store: s, gateways: gateways, logger: logger}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "enlist" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for ctx.Err() == nil {
		state, changed := c.board.Lifecycle.Watch()
		pause := c.step(ctx, state)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	c.leave()
	return nil
}

// step makes the calls that the state asks for and returns the time until the
// next.
func (c *Controller) step(ctx context.Context, state blackboard.Lifecycle) time.Duration {
	if state == blackboard.Draining || state == blackboard.Stopped {
		c.leave()
		return interval
	}
	err := c.renew(ctx)
	if err == nil {
		err = c.look(ctx)
	}
	if err != nil {
		c.logger.Debug("list of gateways not reachable", "err", err)
		return retryInterval
	}
	return interval
}

// renew keeps the lease, or lists the gateway under a new one.
func (c *Controller) renew(ctx context.Context) error {
	if c.lease != 0 {
		err := c.store.KeepAlive(ctx, c.lease)
		var ended *store.LeaseEndedError
		if !errors.As(err, &ended) {
			return err
		}
		c.logger.Warn("listing lapsed")
		c.lease = 0
	}
	lease, _, err := c.store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	value, err := json.Marshal(c.gateways.Self())
	if err != nil {
		return errors.Wrap(err, "encode gateway")
	}
	key := prefix + c.gateways.Self().ID
	if _, err := c.store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value, Lease: lease}}}); err != nil {
		return err
	}
	c.lease = lease
	c.logger.Info("listed", "lease", lease)
	return nil
}

// look reads the list. A gateway that misses itself there is listed anew.
func (c *Controller) look(ctx context.Context) error {
	var list []fleet.Gateway
	after, present := "", false
	for {
		page, err := c.store.Range(ctx, prefix, after, true)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			var gw fleet.Gateway
			if err := json.Unmarshal(item.Value, &gw); err != nil {
				c.logger.Warn("entry of a gateway not readable", "key", item.Key, "err", err)
				continue
			}
			present = present || gw == c.gateways.Self()
			list = append(list, gw)
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	c.gateways.Listed(list, time.Now())
	if !present {
		// A stale read may miss a new entry; one more write does no harm.
		c.lease = 0
	}
	return nil
}

// leave takes the gateway out of the list.
func (c *Controller) leave() {
	if c.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := c.store.Revoke(ctx, c.lease); err != nil {
		c.logger.Warn("not taken out of the list; the lease will end", "err", err)
	}
	c.lease = 0
}
