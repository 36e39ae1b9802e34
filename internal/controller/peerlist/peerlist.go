// Package peerlist is the controller that lets gateways discover each other through
// the store. Hubs, and gateways that know no other one, keep an entry under a lease
// in the list of gateways there. All other gateways only read the list.
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

// keyPrefix is the prefix of the keys of gateway entries; the id follows.
const keyPrefix = "hickorystage/gateways/"

// Intervals of the controller.
const (
	// leaseTTL is how long the store keeps the entry of a gateway that does not
	// renew its lease.
	leaseTTL = 12 * time.Second
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 4 * time.Second
	// readListInterval is the time between two reads of the list while other
	// gateways are known, searchInterval while none is known.
	readListInterval = 10 * time.Second
	searchInterval   = 500 * time.Millisecond
	// listingDelay is the delay after the start before a gateway writes its entry:
	// in that time it may discover others through heartbeats and need no entry.
	listingDelay = 1500 * time.Millisecond
	// revokeTimeout limits the removal of the entry at shutdown.
	revokeTimeout = 500 * time.Millisecond
)

// Controller keeps the entry of this gateway and reads the list.
type Controller struct {
	board    *blackboard.Edge
	store    store.Store
	gateways *fleet.Gateways
	logger   *log.Logger

	startedAt time.Time
	// lease is the lease of the entry, zero while there is no entry. renewedAt is
	// when the lease was last renewed, listReadAt when the list was last read.
	lease      store.LeaseID
	renewedAt  time.Time
	listReadAt time.Time
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
	c.startedAt = time.Now()
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		state, changed := c.board.Lifecycle.Watch()
		c.runDue(ctx, state, time.Now())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ticker.C:
		}
	}
	c.revoke()
	return nil
}

// runDue makes the calls to the store that are due.
func (c *Controller) runDue(ctx context.Context, state blackboard.Lifecycle, now time.Time) {
	if state.IsEnding() {
		c.revoke()
		return
	}
	isAlone := len(c.gateways.Regions()) == 0
	shouldBeListed := now.Sub(c.startedAt) >= listingDelay && (isAlone || c.gateways.IsHub(now))
	var err error
	if shouldBeListed && now.Sub(c.renewedAt) >= renewInterval {
		err = c.renew(ctx)
	}
	if err == nil && (isAlone || now.Sub(c.listReadAt) >= readListInterval) {
		err = c.readList(ctx, shouldBeListed)
	}
	if err != nil {
		c.logger.Debug("cannot update the list of gateways", "err", err)
	}
}

// renew renews the lease, or writes the entry under a new lease if there is none or
// it has expired.
func (c *Controller) renew(ctx context.Context) error {
	if !c.lease.IsZero() {
		err := c.store.KeepAlive(ctx, c.lease)
		var ended *store.LeaseEndedError
		if !errors.As(err, &ended) {
			c.recordRenewal(err)
			return err
		}
		c.logger.Warn("lease of the gateway entry expired")
		c.lease = store.LeaseID{}
	}
	lease, _, err := c.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(c.gateways.Self())
	if err != nil {
		return errors.Wrap(err, "encode gateway")
	}
	key := keyPrefix + c.gateways.Self().ID
	if _, err := c.store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value, Lease: lease}}}); err != nil {
		return err
	}
	c.lease = lease
	c.recordRenewal(nil)
	c.logger.Info("gateway entry written", "lease", lease.Number)
	return nil
}

func (c *Controller) recordRenewal(err error) {
	if err == nil {
		c.renewedAt = time.Now()
	}
}

// readList reads the list and merges it into the known gateways. If this gateway
// should be listed and is not, its entry is written again with the next renewal.
func (c *Controller) readList(ctx context.Context, shouldBeListed bool) error {
	var list []fleet.Gateway
	after, isListed := "", false
	for {
		page, err := c.store.Range(ctx, keyPrefix, after, true)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			var gw fleet.Gateway
			if err := json.Unmarshal(item.Value, &gw); err != nil {
				c.logger.Warn("cannot decode gateway entry", "key", item.Key, "err", err)
				continue
			}
			isListed = isListed || gw == c.gateways.Self()
			list = append(list, gw)
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	c.gateways.ApplyStoreList(list, time.Now())
	c.listReadAt = time.Now()
	if shouldBeListed && !isListed {
		// A stale read may lack a new entry; one more write does no harm.
		c.lease = store.LeaseID{}
		c.renewedAt = time.Time{}
	}
	return nil
}

// revoke removes the entry of this gateway by revoking its lease.
func (c *Controller) revoke() {
	if c.lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := c.store.Revoke(ctx, c.lease); err != nil {
		c.logger.Warn("cannot remove gateway entry; its lease will expire", "err", err)
	}
	c.lease = store.LeaseID{}
}
