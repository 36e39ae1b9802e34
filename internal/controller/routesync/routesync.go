// Package routesync is the controller that keeps the operators' configuration
// and evacuations in force: it watches the store, reads it again whenever a
// watch may have missed something, and never goes back to an older version.
package routesync

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Times of the controller.
const (
	// watchWait is how long the store may hold a watch. A connection that went
	// silent is found when it is over, within the shortest bound on changes.
	watchWait = 2 * time.Second
	// retryWait is the pause after a call that failed.
	retryWait = 250 * time.Millisecond
)

var (
	adopted = telemetry.NewCounter("routes_adopted", "versions", "versions of the configuration put in force")
	refused = telemetry.NewCounter("routes_refused", "versions", "versions of the configuration that could not be read")
)

// Change is one change that operators made.
type Change struct {
	// Routes is a new configuration, or nil.
	Routes *route.Table
	// DataCentre names one whose evacuation begins or ends; or empty.
	DataCentre string
	Evacuate   bool
	// Err is set for a change that can't be read.
	Err error
}

// Source reads what operators wrote.
type Source interface {
	// Read returns all that is in force and the revision to watch from.
	Read(ctx context.Context) ([]Change, uint64, error)
	// Watch returns the changes since a revision and the next one to watch
	// from. The error is a *store.CompactedError if they are not known.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Controller keeps the blackboard's configuration.
type Controller struct {
	board  *blackboard.Edge
	source Source
	logger *log.Logger
	kick   chan struct{}
	// at is the revision to watch from; 0 asks for a whole read.
	at uint64
}

// New returns the controller.
func New(board *blackboard.Edge, source Source, logger *log.Logger) *Controller {
	return &Controller{board: board, source: source, logger: logger, kick: make(chan struct{}, 1)}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "routesync" }

// Refresh asks for a whole read, since a newer version is known elsewhere.
func (c *Controller) Refresh() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for ctx.Err() == nil {
		if err := c.step(ctx); err != nil && ctx.Err() == nil {
			c.lost(err)
			c.pause(ctx)
		}
	}
	return nil
}

func (c *Controller) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryWait):
	}
}

// step makes one call and takes in what it brings.
func (c *Controller) step(ctx context.Context) error {
	if c.at == 0 {
		return c.readAll(ctx)
	}
	changes, at, err := c.watch(ctx)
	if err != nil {
		// Whatever the watch missed, a whole read shows.
		c.at = 0
		var compacted *store.CompactedError
		if errors.As(err, &compacted) || errors.Is(err, errRefresh) {
			return nil
		}
		return err
	}
	c.found()
	c.at = at
	for _, change := range changes {
		c.apply(change)
	}
	return nil
}

// errRefresh ends a watch in favour of a whole read.
var errRefresh = errors.New("a newer version is known elsewhere")

// watch waits for changes, or for Refresh.
func (c *Controller) watch(ctx context.Context) ([]Change, uint64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-c.kick:
			cancel(errRefresh)
		case <-done:
		}
	}()
	changes, at, err := c.source.Watch(ctx, c.at, watchWait)
	if err != nil && context.Cause(ctx) != nil {
		return nil, 0, context.Cause(ctx)
	}
	return changes, at, err
}

func (c *Controller) readAll(ctx context.Context) error {
	changes, at, err := c.source.Read(ctx)
	if err != nil {
		return err
	}
	c.found()
	c.at = at
	evacuated := make(map[string]bool)
	for _, change := range changes {
		if change.DataCentre != "" {
			evacuated[change.DataCentre] = true
			continue
		}
		c.apply(change)
	}
	c.setEvacuated(evacuated)
	return nil
}

func (c *Controller) apply(change Change) {
	switch {
	case change.Err != nil:
		refused.Inc()
		c.logger.Error("configuration not usable", "err", change.Err)
	case change.Routes != nil:
		c.adopt(change.Routes)
	case change.DataCentre != "":
		evacuated := make(map[string]bool)
		for dc := range c.board.Evacuated.Get() {
			evacuated[dc] = true
		}
		delete(evacuated, change.DataCentre)
		if change.Evacuate {
			evacuated[change.DataCentre] = true
		}
		c.setEvacuated(evacuated)
	}
}

// adopt puts a version in force unless a newer one is.
func (c *Controller) adopt(next *route.Table) {
	before := uint64(0)
	changed := c.board.Routes.Update(func(old *route.Table) (*route.Table, bool) {
		if old != nil {
			before = old.Version
		}
		return next, next.Version > before
	})
	if changed {
		adopted.Inc()
		c.logger.Info("configuration in force", "version", next.Version, "before", before, "routes", next.Len())
	}
}

func (c *Controller) setEvacuated(next map[string]bool) {
	changed := c.board.Evacuated.Update(func(old map[string]bool) (map[string]bool, bool) {
		return next, !sameSet(old, next)
	})
	if changed {
		c.logger.Info("evacuated data centres", "data_centres", keys(next))
	}
}

// lost notes that the store did not answer.
func (c *Controller) lost(err error) {
	now := time.Now()
	if c.board.StoreLost.Update(func(old time.Time) (time.Time, bool) { return now, old.IsZero() }) {
		c.logger.Warn("store lost", "err", err)
	}
}

// found notes that the store answered.
func (c *Controller) found() {
	var since time.Time
	changed := c.board.StoreLost.Update(func(old time.Time) (time.Time, bool) {
		since = old
		return time.Time{}, !old.IsZero()
	})
	if changed {
		c.logger.Info("store regained", "lost_for", time.Since(since))
	}
}

func sameSet(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if !b[k] {
			return false
		}
	}
	return true
}

func keys(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for k := range set {
		out = append(out, k)
	}
	return out
}
