// Package peerlist is the controller by which gateways find each other in the
// store. Those that speak for their region are listed there under a lease, and
// so is everyone who knows nobody else; all the others only read the list.
package peerlist

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
	leaseTime = 12 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 4 * time.Second
	// lookInterval is the time between two looks at the list while other
	// gateways are known, searchInterval while none is.
	lookInterval   = 10 * time.Second
	searchInterval = 500 * time.Millisecond
	// settleTime is how long after its start a gateway waits to be found by the
	// beats of others before it lists itself.
	settleTime = 1500 * time.Millisecond
	// leaveTimeout bounds the removal from the list at the end.
	leaveTimeout = 500 * time.Millisecond
)

// Controller lists the gateway.
type Controller struct {
	board    *blackboard.Edge
	store    store.Store
	gateways *fleet.Gateways
	logger   *log.Logger

	started time.Time
	// lease is 0 while the gateway is not listed; renewed is when it was
	// renewed, looked when the list was read.
	lease   store.LeaseID
	renewed time.Time
	looked  time.Time
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
	c.started = time.Now()
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		state, changed := c.board.Lifecycle.Watch()
		c.step(ctx, state, time.Now())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ticker.C:
		}
	}
	c.leave()
	return nil
}

// step makes the calls that are due.
func (c *Controller) step(ctx context.Context, state blackboard.Lifecycle, now time.Time) {
	if state == blackboard.Draining || state == blackboard.Stopped {
		c.leave()
		return
	}
	alone := len(c.gateways.Regions()) == 0
	wanted := now.Sub(c.started) >= settleTime && (alone || c.gateways.IsHub(now))
	var err error
	if wanted && now.Sub(c.renewed) >= renewInterval {
		err = c.renew(ctx)
	}
	if err == nil && (alone || now.Sub(c.looked) >= lookInterval) {
		err = c.look(ctx, wanted)
	}
	if err != nil {
		c.logger.Debug("list of gateways not reachable", "err", err)
	}
}

// renew keeps the lease, or lists the gateway under a new one.
func (c *Controller) renew(ctx context.Context) error {
	if c.lease != 0 {
		err := c.store.KeepAlive(ctx, c.lease)
		var ended *store.LeaseEndedError
		if !errors.As(err, &ended) {
			c.noteRenewed(err)
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
	c.noteRenewed(nil)
	c.logger.Info("listed", "lease", lease)
	return nil
}

func (c *Controller) noteRenewed(err error) {
	if err == nil {
		c.renewed = time.Now()
	}
}

// look reads the list. A gateway that misses itself there although it is
// wanted is listed anew.
func (c *Controller) look(ctx context.Context, wanted bool) error {
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
	c.gateways.ApplyStoreList(list, time.Now())
	c.looked = time.Now()
	if wanted && !present {
		// A stale read may miss a new entry; one more write does no harm.
		c.lease = 0
		c.renewed = time.Time{}
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
