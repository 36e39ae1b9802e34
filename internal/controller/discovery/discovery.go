// Package discovery is the controller that reads the entries of the region's
// endpoints in the store. Endpoints rewrite their entries all the time, so it
// asks for the changes at a steady pace instead of waiting for each.
package discovery

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Times of the controller.
const (
	// interval is the time between two reads, a third of the shortest bound
	// on the use of a leaving endpoint.
	interval = 900 * time.Millisecond
	// quiet is how long the store may hold a read without changes.
	quiet = 10 * time.Millisecond
)

var (
	reads    = telemetry.NewCounter("endpoint_reads", "calls", "reads of the endpoints' entries")
	failures = telemetry.NewCounter("endpoint_read_failures", "calls", "reads of the endpoints' entries that failed")
)

// Source reads the entries of endpoints.
type Source interface {
	// Read returns all entries and the revision to watch from.
	Read(ctx context.Context) ([]fleet.Entry, uint64, error)
	// Watch returns the entries changed since a revision and the next one to
	// watch from. The error is a *store.CompactedError if they are not known.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]fleet.Entry, uint64, error)
}

// Controller keeps the registry of endpoints.
type Controller struct {
	board    *blackboard.Edge
	registry *fleet.Registry
	source   Source
	logger   *log.Logger

	// at is the revision to watch from; 0 asks for a whole read.
	at   uint64
	lost bool
}

// New returns the controller.
func New(board *blackboard.Edge, registry *fleet.Registry, source Source, logger *log.Logger) *Controller {
	return &Controller{board: board, registry: registry, source: source, logger: logger}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "discovery" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		c.read(ctx)
		c.registry.SetEvacuated(c.board.Evacuated.Get(), time.Now())
		c.report(c.registry.Sweep(time.Now()))
		_, evacuated := c.board.Evacuated.Watch()
		select {
		case <-t.Dying():
			return nil
		case <-evacuated:
			c.registry.SetEvacuated(c.board.Evacuated.Get(), time.Now())
		case <-ticker.C:
		}
	}
}

func (c *Controller) read(ctx context.Context) {
	reads.Inc()
	var changes []fleet.Change
	entries, at, err := c.fetch(ctx)
	now := time.Now()
	if err != nil {
		failures.Inc()
		c.failed(err)
		return
	}
	if c.lost {
		c.lost = false
		c.registry.StoreReturned(now)
		c.logger.Info("endpoint entries readable again")
	}
	if c.at == 0 {
		changes = c.registry.Replace(entries, now)
	} else {
		changes = c.registry.Apply(entries, now)
	}
	c.at = at
	c.board.Discovered.Update(func(old bool) (bool, bool) { return true, !old })
	c.report(changes)
}

func (c *Controller) fetch(ctx context.Context) ([]fleet.Entry, uint64, error) {
	if c.at == 0 {
		return c.source.Read(ctx)
	}
	return c.source.Watch(ctx, c.at, quiet)
}

func (c *Controller) failed(err error) {
	var compacted *store.CompactedError
	if errors.As(err, &compacted) {
		c.logger.Info("endpoint changes forgotten, reading all")
		c.at = 0
		return
	}
	if !c.lost {
		c.lost = true
		c.logger.Warn("endpoint entries not readable", "err", err)
	}
}

func (c *Controller) report(changes []fleet.Change) {
	for _, change := range changes {
		c.logger.Info("endpoint", "id", change.ID, "change", change.What)
	}
}
