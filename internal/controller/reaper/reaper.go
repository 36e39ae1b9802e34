// Package reaper forgets what actions no longer need: records and seals in
// memory, and claims in the store, within a budget of store calls. It also
// writes the outcomes of claims that the store did not take at once.
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
	removed = telemetry.NewCounter("reaper_claims_removed", "claims", "claims removed from the store after their time")
	inDoubt = telemetry.NewCounter("reaper_claims_in_doubt", "claims", "claims over an hour old without an outcome, as last seen in this gateway's part of the store")
	failed  = telemetry.NewCounter("reaper_failed", "rounds", "rounds over claims that the store did not answer")
)

const (
	// sweepInterval is the time between two sweeps of this gateway's memory.
	sweepInterval = 10 * time.Second
	// settleLimit is the most outcomes written in one sweep.
	settleLimit = 32
	// partInterval is the time between two looks at a part of the claims.
	partInterval = 2 * time.Minute
	// removeLimit is the most claims removed in one look.
	removeLimit = 16
	// roundTimeout bounds the store calls of one round.
	roundTimeout = 5 * time.Second
)

// Actions is what the reaper needs of an action.Manager.
type Actions interface {
	RemoveExpired()
	WritePendingOutcomes(ctx context.Context, limit int) int
	ReapClaims(ctx context.Context, part string, limit int) (action.ReapReport, error)
}

// Controller is the reaper of one gateway.
type Controller struct {
	Actions Actions
	Board   *blackboard.Board
	Log     *log.Logger

	next    int
	doubts  map[string]int
	failing bool
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "reaper" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	parts := time.NewTicker(partInterval)
	defer parts.Stop()
	for {
		select {
		case <-sweep.C:
			c.sweep(ctx)
		case <-parts.C:
			c.reap(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// sweep forgets what memory no longer needs and writes pending outcomes.
func (c *Controller) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	c.Actions.RemoveExpired()
	c.Actions.WritePendingOutcomes(ctx, settleLimit)
}

// reap looks at the next part of the claims that is this gateway's.
func (c *Controller) reap(ctx context.Context) {
	part, ok := c.nextPart()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	report, err := c.Actions.ReapClaims(ctx, part, removeLimit)
	c.logChange(err)
	if err != nil {
		failed.Inc()
		return
	}
	removed.Add(int64(report.Removed))
	c.noteDoubts(part, report.InDoubt)
}

// nextPart returns the next part that this gateway owns among those it knows.
// Two gateways that see different peers may both take a part, which is harmless.
func (c *Controller) nextPart() (string, bool) {
	members := c.members()
	for range action.ClaimPartitions {
		part := action.ClaimPartitionPrefix(c.next)
		c.next = (c.next + 1) % action.ClaimPartitions
		if rendezvous.Owns(part, c.Board.Self.ID, members, 1) {
			return part, true
		}
	}
	return "", false
}

// members returns this gateway and the peers that are not leaving.
func (c *Controller) members() []string {
	ids := []string{c.Board.Self.ID}
	c.Board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if !p.Leaving && id != c.Board.Self.ID {
			ids = append(ids, id)
		}
		return true
	})
	return ids
}

// noteDoubts sums up the claims in doubt over the parts that were looked at.
func (c *Controller) noteDoubts(part string, n int) {
	if c.doubts == nil {
		c.doubts = make(map[string]int)
	}
	c.doubts[part] = n
	sum := 0
	for _, n := range c.doubts {
		sum += n
	}
	inDoubt.Set(int64(sum))
}

// logChange logs when rounds begin or cease to fail.
func (c *Controller) logChange(err error) {
	if (err != nil) == c.failing || c.Log == nil {
		return
	}
	c.failing = err != nil
	if c.failing {
		c.Log.Warn("claims can't be listed", "err", err)
		return
	}
	c.Log.Info("claims can be listed again")
}
