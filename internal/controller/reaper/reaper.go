// Package reaper is the controller that removes expired action state: records and
// seals in memory, and claims in the store, at a limited rate of store calls. It
// also writes the outcomes of claims that an earlier store call failed to write.
package reaper

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	removed = telemetry.NewCounter("reaper_claims_removed", "claims", "expired claims removed from the store")
	inDoubt = telemetry.NewCounter("reaper_claims_in_doubt", "claims", "claims over an hour old without an outcome, as last seen in this gateway's part of the store")
	failed  = telemetry.NewCounter("reaper_failed", "rounds", "rounds of claim removal that failed at the store")
)

const (
	// sweepInterval is the time between two sweeps of this gateway's memory.
	sweepInterval = 10 * time.Second
	// maxOutcomesPerSweep limits the outcomes written in one sweep.
	maxOutcomesPerSweep = 32
	// partitionInterval is the time between two rounds, each over one partition
	// of the claims.
	partitionInterval = 2 * time.Minute
	// maxRemovalsPerRound limits the claims removed in one round.
	maxRemovalsPerRound = 16
	// roundTimeout limits the time of the store calls of one sweep or round.
	roundTimeout = 5 * time.Second
)

// Actions is the part of action.Manager that the reaper uses.
type Actions interface {
	RemoveExpired()
	WritePendingOutcomes(ctx context.Context, limit int) int
	ReapClaims(ctx context.Context, partition string, limit int) (action.ReapReport, error)
}

// Controller is the reaper of one gateway. Log may be nil.
type Controller struct {
	Actions Actions
	Board   *blackboard.Board
	Log     *log.Logger

	nextPartition      int
	inDoubtByPartition map[string]int
	failing            bool
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "reaper" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	partitionTicker := time.NewTicker(partitionInterval)
	defer partitionTicker.Stop()
	for {
		select {
		case <-sweepTicker.C:
			c.sweep(ctx)
		case <-partitionTicker.C:
			c.reap(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// sweep removes expired state from memory and writes pending outcomes.
func (c *Controller) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	c.Actions.RemoveExpired()
	c.Actions.WritePendingOutcomes(ctx, maxOutcomesPerSweep)
}

// reap removes expired claims of the next partition that this gateway owns.
func (c *Controller) reap(ctx context.Context) {
	partition, ok := c.nextOwnedPartition()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	report, err := c.Actions.ReapClaims(ctx, partition, maxRemovalsPerRound)
	c.logChange(err)
	if err != nil {
		failed.Inc()
		return
	}
	removed.Add(int64(report.Removed))
	c.recordInDoubt(partition, report.InDoubt)
}

// nextOwnedPartition returns the key prefix of the next partition that this
// gateway owns, or false if it owns none. Gateways with different views of their
// peers may own the same partition, which is harmless.
func (c *Controller) nextOwnedPartition() (string, bool) {
	gateways := c.gatewayIDs()
	for range action.ClaimPartitionCount {
		partition := action.ClaimPartitionPrefix(c.nextPartition)
		c.nextPartition = (c.nextPartition + 1) % action.ClaimPartitionCount
		if rendezvous.Owns(partition, c.Board.Self.ID, gateways, 1) {
			return partition, true
		}
	}
	return "", false
}

// gatewayIDs returns the ids of this gateway and of the peers that are not
// leaving.
func (c *Controller) gatewayIDs() []string {
	ids := []string{c.Board.Self.ID}
	c.Board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if !p.Leaving && id != c.Board.Self.ID {
			ids = append(ids, id)
		}
		return true
	})
	return ids
}

// recordInDoubt records the number of claims in doubt in a partition and updates
// the metric, which is the sum over all partitions processed so far.
func (c *Controller) recordInDoubt(partition string, count int) {
	if c.inDoubtByPartition == nil {
		c.inDoubtByPartition = make(map[string]int)
	}
	c.inDoubtByPartition[partition] = count
	sum := 0
	for _, n := range c.inDoubtByPartition {
		sum += n
	}
	inDoubt.Set(int64(sum))
}

// logChange logs when rounds start to fail and when they succeed again.
func (c *Controller) logChange(err error) {
	if (err != nil) == c.failing || c.Log == nil {
		return
	}
	c.failing = err != nil
	if c.failing {
		c.Log.Warn("cannot list claims in the store", "err", err)
		return
	}
	c.Log.Info("claims in the store can be listed again")
}
