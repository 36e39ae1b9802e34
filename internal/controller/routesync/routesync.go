// Package routesync is the controller that keeps the operators' configuration
// and evacuations in force. One gateway of each region watches the store, the
// others fetch from it what a beat says is new. Whoever has not heard for a
// while that the store answers watches it itself. No gateway ever goes back to
// an older version.
package routesync

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Times of the controller.
const (
	// watchWait is how long the store may hold a watch. A connection that went
	// silent is found when it is over, within the shortest bound on changes.
	watchWait = time.Second
	// staleAfter is the age of the store's last known answer from which a
	// gateway watches it itself: that of a held watch, and two beats.
	staleAfter = 1600 * time.Millisecond
	// retryWait is the pause after a call that failed.
	retryWait = 250 * time.Millisecond
)

var (
	adopted = telemetry.NewCounter("routes_adopted", "versions", "versions of the configuration put in force")
	refused = telemetry.NewCounter("routes_refused", "versions", "versions of the configuration that could not be read")
	fetched = telemetry.NewCounter("routes_fetched", "versions", "versions of the configuration fetched from other gateways")
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
	// Decode reads a configuration that another gateway holds.
	Decode(raw []byte) (*route.Table, error)
}

// Config is what the controller works with.
type Config struct {
	Board       *blackboard.Edge
	Gateways    *fleet.Gateways
	StoreStatus *fleet.LatestStoreStatus
	Source      Source
	Client      *peerfetch.Client
	// StartupWait is how long to wait at the start for another gateway's word
	// before the store is read.
	StartupWait time.Duration
	Logger      *log.Logger
}

// Controller keeps the blackboard's configuration.
type Controller struct {
	Config
	// at is the revision to watch from; 0 asks for a whole read.
	at uint64
}

// New returns the controller.
func New(c Config) *Controller { return &Controller{Config: c} }

// Name implements controller.Controller.
func (c *Controller) Name() string { return "routesync" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	c.StoreStatus.WaitForFirst(ctx, c.StartupWait)
	for ctx.Err() == nil {
		if err := c.step(ctx, time.Now()); err != nil && ctx.Err() == nil {
			c.lost(err)
			pause(ctx, retryWait)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step brings the configuration up to date by the cheapest way that is open.
func (c *Controller) step(ctx context.Context, now time.Time) error {
	word, from, _, news := c.StoreStatus.Get()
	known := c.Board.Routes.Get() != nil
	fresh := now.Sub(c.StoreStatus.OperatorsReadAt()) < staleAfter
	switch {
	case !known && word.ConfigVersion > 0 && c.fetch(ctx, from):
		return nil
	case known && fresh && !c.Gateways.IsStoreReader(now):
		c.follow(ctx, word, from)
		c.await(ctx, news)
		return nil
	case c.at == 0:
		return c.readAll(ctx)
	default:
		return c.watch(ctx)
	}
}

// follow takes in the word of the gateway that watches the store.
func (c *Controller) follow(ctx context.Context, word fleet.StoreStatus, from string) {
	if word.ConfigVersion > c.Board.Routes.Get().Version && !c.fetch(ctx, from) {
		return
	}
	evacuated := make(map[string]bool, len(word.Evacuated))
	for _, dc := range word.Evacuated {
		evacuated[dc] = true
	}
	c.setEvacuated(evacuated)
	c.found()
	// What is watched from here on may miss changes that the word brought.
	c.at = 0
}

// await waits for the next word, or until the last one is stale.
func (c *Controller) await(ctx context.Context, news <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-news:
	case <-time.After(max(time.Until(c.StoreStatus.OperatorsReadAt().Add(staleAfter)), time.Millisecond)):
	}
}

// fetch takes the configuration from another gateway.
func (c *Controller) fetch(ctx context.Context, id string) bool {
	gw, ok := c.Gateways.Get(id)
	if !ok {
		return false
	}
	raw, err := c.Client.FetchRoutes(ctx, gw.PeerAddress)
	if err != nil {
		c.Logger.Warn("configuration not fetched", "gateway", id, "err", err)
		return false
	}
	table, err := c.Source.Decode(raw)
	if err != nil {
		c.apply(Change{Err: err})
		return false
	}
	fetched.Inc()
	c.adopt(table)
	return true
}

// watch waits for changes in the store.
func (c *Controller) watch(ctx context.Context) error {
	changes, at, err := c.Source.Watch(ctx, c.at, watchWait)
	if err != nil {
		// Whatever the watch missed, a whole read shows.
		c.at = 0
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			return nil
		}
		return err
	}
	c.Board.OperatorsReadAt.Set(time.Now())
	c.found()
	c.at = at
	for _, change := range changes {
		c.apply(change)
	}
	return nil
}

func (c *Controller) readAll(ctx context.Context) error {
	changes, at, err := c.Source.Read(ctx)
	if err != nil {
		return err
	}
	c.Board.OperatorsReadAt.Set(time.Now())
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
		c.Logger.Error("configuration not usable", "err", change.Err)
	case change.Routes != nil:
		c.adopt(change.Routes)
	case change.DataCentre != "":
		evacuated := make(map[string]bool)
		for dc := range c.Board.Evacuated.Get() {
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
	changed := c.Board.Routes.Update(func(old *route.Table) (*route.Table, bool) {
		if old != nil {
			before = old.Version
		}
		return next, next.Version > before
	})
	if changed {
		adopted.Inc()
		c.Logger.Info("configuration in force", "version", next.Version, "before", before, "routes", next.Len())
	}
}

func (c *Controller) setEvacuated(next map[string]bool) {
	changed := c.Board.Evacuated.Update(func(old map[string]bool) (map[string]bool, bool) {
		return next, !sameSet(old, next)
	})
	if changed {
		c.Logger.Info("evacuated data centres", "data_centres", SortedNames(next))
	}
}

// lost notes that the store did not answer.
func (c *Controller) lost(err error) {
	now := time.Now()
	if c.Board.StoreUnreachableSince.Update(func(old time.Time) (time.Time, bool) { return now, old.IsZero() }) {
		c.Logger.Warn("store lost", "err", err)
	}
}

// found notes that the store answers, here or to the gateway that reads it.
func (c *Controller) found() {
	var since time.Time
	changed := c.Board.StoreUnreachableSince.Update(func(old time.Time) (time.Time, bool) {
		since = old
		return time.Time{}, !old.IsZero()
	})
	if changed {
		c.Logger.Info("store regained", "lost_for", time.Since(since))
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

// SortedNames returns the members of a set in order.
func SortedNames(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
