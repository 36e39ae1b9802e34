// Package routesync is the controller that keeps the operators' configuration and
// evacuations up to date on the blackboard. The store reader of each region watches
// the store; the other gateways fetch from it what a heartbeat announces as new. A
// gateway that for a while receives no sign that the store answers watches it
// itself. No gateway ever returns to an older version of the configuration.
package routesync

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Intervals of the controller.
const (
	// watchWait is how long the store may delay its response to a watch. A
	// connection that went silent is detected when that time is over, which is
	// within the shortest time in which a change has to be in force.
	watchWait = time.Second
	// retryWait is the delay after a failed call.
	retryWait = 250 * time.Millisecond
	// unfetchedReadInterval is the shortest time between two reads of versions that could not
	// be fetched: a third of the shortest time in which a change has to be in force.
	unfetchedReadInterval = time.Second
	// RewriteTime is how long after a restore of the store an evacuation that it no longer
	// holds stays in force: operators write again what the older copy lacks.
	RewriteTime = 3 * time.Second
	// watchesPerRevocation is the number of watches within the bound of revocations. A watch
	// proves what it returns as of its start, so that the proof of a store reader is up to
	// two waits old, a fifth of the bound.
	watchesPerRevocation = 10
)

var (
	adopted  = telemetry.NewCounter("routes_adopted", "versions", "configuration versions applied")
	rejected = telemetry.NewCounter("routes_refused", "versions", "configuration versions rejected as invalid")
	fetched  = telemetry.NewCounter("routes_fetched", "versions", "configuration versions fetched from other gateways")

	unfetched = telemetry.NewCounter("routes_unfetched", "calls", "reads of the configuration from the store because it could not be fetched from the store reader")
)

// Change is one change made by operators.
type Change struct {
	// Routes is the new configuration, or nil.
	Routes *route.Table
	// DataCentre is the data centre whose evacuation begins (Evacuate is set) or
	// ends, or empty.
	DataCentre string
	Evacuate   bool
	// Err is set for a change that could not be decoded.
	Err error
}

// Source reads from the store what operators wrote.
type Source interface {
	// Read returns the configuration and all evacuations in force, and the
	// revision to watch from.
	Read(ctx context.Context) ([]Change, store.Revision, error)
	// Watch returns the changes since a revision and the revision to watch from
	// next. It waits for at most wait if there are none. The error is a
	// *store.CompactedError if the store no longer has the changes.
	Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]Change, store.Revision, error)
	// ReadConfig returns the configuration alone, and the revision at which it was read.
	ReadConfig(ctx context.Context) ([]Change, store.Revision, error)
	// Decode decodes a configuration fetched from another gateway.
	Decode(raw []byte) (*route.Table, error)
}

// Config holds what the controller uses.
type Config struct {
	Board       *blackboard.Edge
	Gateways    *fleet.Gateways
	StoreStatus *fleet.LatestStoreStatus
	Source      Source
	Client      *peerfetch.Client
	// StartupWait is how long to wait at the start for the store status of a peer
	// before the store is read.
	StartupWait time.Duration
	// Proofs takes in that the store answered, by Clock.
	Proofs *freshness.Tracker
	Clock  freshness.Clock
	Logger *log.Logger
}

// Controller keeps the configuration and evacuations of the blackboard up to date.
type Controller struct {
	Config
	// background is the context of the attempts to catch up; tasks counts them.
	background    context.Context
	endBackground context.CancelFunc
	tasks         sync.WaitGroup
	mu            sync.Mutex
	// catchingUp is the attempt that is under way; nil for none. A new version is heard of in
	// heartbeats, from proofs and from forwarded requests at about the same time.
	catchingUp *catchUp
	// behindSince is when a version was heard of that has not come into force since; zero if
	// there is none.
	behindSince time.Time
	// unfetchedReadAt is when a version that could not be fetched was last read from the store.
	// It belongs to the attempt that is under way.
	unfetchedReadAt time.Time
	// watchFrom is the revision to watch from; zero requires a read of everything.
	watchFrom store.Revision
	// era is the era of the store that this gateway knows of, here or by the store reader; 0
	// for none. rewrittenAt is when operators have had time to write again what a restore
	// lost; zero if everything was read after that.
	era         uint64
	rewrittenAt time.Time
}

// New returns the controller.
func New(config Config) *Controller {
	c := &Controller{Config: config}
	c.background, c.endBackground = context.WithCancel(context.Background())
	return c
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "routesync" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	defer c.stopCatchUp()
	ctx := t.Context(context.Background())
	c.StoreStatus.WaitForFirst(ctx, c.StartupWait)
	for ctx.Err() == nil {
		if err := c.refresh(ctx, time.Now()); err != nil && ctx.Err() == nil {
			c.recordStoreUnreachable(err)
			sleep(ctx, retryWait)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// refresh brings the configuration up to date in the cheapest way that is possible
// now. Once it is up to date, refresh waits for a change.
func (c *Controller) refresh(ctx context.Context, now time.Time) error {
	status, from, _, changed := c.StoreStatus.Get()
	known := c.Board.Routes.Get() != nil
	isFresh := now.Sub(c.StoreStatus.OperatorsReadAt()) < c.staleAfter()
	switch {
	case !known && status.ConfigVersion > 0 && c.adoptFromPeer(ctx, status, from):
		return nil
	case known && isFresh && !c.Gateways.IsStoreReader(now):
		c.waitForStatus(ctx, changed, c.followStoreReader(status, from))
		return nil
	case c.watchFrom.IsZero(), !c.rewrittenAt.IsZero() && !now.Before(c.rewrittenAt):
		return c.readAll(ctx)
	default:
		return c.watch(ctx)
	}
}

// followStoreReader applies the status of the store reader. If it has a newer version of the
// configuration, followStoreReader returns the attempt to catch up with it, and otherwise nil.
func (c *Controller) followStoreReader(status fleet.StoreStatus, from string) *catchUp {
	// The state now follows the store reader at a revision that is not known here.
	// A watch from the own last revision may miss changes that the status brought,
	// so the next read of the store has to read everything.
	c.watchFrom = store.Revision{}
	c.observeEra(status.Era)
	c.applyEvacuations(status)
	if version := status.ConfigVersion; !c.isInForce(version) {
		if c.behindSince.IsZero() {
			c.behindSince = time.Now()
		}
		since := c.behindSince
		running, _ := c.startCatchUp(func(ctx context.Context) bool {
			return c.fetchFromPeer(ctx, from, version) || c.readUnfetched(ctx, version, since)
		})
		return running
	}
	c.behindSince = time.Time{}
	c.recordStoreReachable()
	return nil
}

// applyEvacuations applies the evacuations of a store status, unless this gateway knows
// newer ones.
func (c *Controller) applyEvacuations(status fleet.StoreStatus) {
	readAt := c.StoreStatus.OperatorsReadAt()
	if readAt.Before(c.Board.EvacuatedKnownAt.Get()) {
		return
	}
	evacuated := make(map[string]bool, len(status.Evacuated))
	for _, dc := range status.Evacuated {
		evacuated[dc] = true
	}
	c.setEvacuated(evacuated, readAt)
}

// adoptFromPeer adopts the configuration and the evacuations of a peer whose status was
// received, and reports whether the configuration could be fetched.
func (c *Controller) adoptFromPeer(ctx context.Context, status fleet.StoreStatus, from string) bool {
	// This gateway serves as soon as it has the configuration.
	c.applyEvacuations(status)
	running, _ := c.startCatchUp(func(ctx context.Context) bool { return c.fetchFromPeer(ctx, from, status.ConfigVersion) })
	return running.wait(ctx) && c.isInForce(status.ConfigVersion)
}

// staleAfter returns the age of the last known response of the store from which on a
// gateway that is not the store reader watches it itself.
func (c *Controller) staleAfter() time.Duration {
	limits := c.Board.Settings.Get().Limits
	return fleet.StaleAfter(min(limits.ConfigPropagation, limits.Evacuation))
}

// waitForStatus waits until changed is closed by the next status, the attempt to catch up, if
// any, succeeds, or the last status is stale.
func (c *Controller) waitForStatus(ctx context.Context, changed <-chan struct{}, running *catchUp) {
	stale := time.After(max(time.Until(c.StoreStatus.OperatorsReadAt().Add(c.staleAfter())), time.Millisecond))
	var done <-chan struct{}
	if running != nil {
		done = running.done
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-stale:
			return
		case <-done:
			if running.succeeded {
				return
			}
			done = nil
		}
	}
}

// watch waits for changes in the store and applies them.
func (c *Controller) watch(ctx context.Context) error {
	startedAt := c.Clock.Now()
	changes, revision, err := c.Source.Watch(ctx, c.watchFrom, c.watchWait(time.Now()))
	if err != nil {
		// A read of everything includes whatever the watch missed.
		c.watchFrom = store.Revision{}
		var compacted *store.CompactedError
		var restored *store.RestoredError
		if errors.As(err, &compacted) || errors.As(err, &restored) {
			return nil
		}
		return err
	}
	c.Board.OperatorsReadAt.Set(time.Now())
	c.recordStoreReachable()
	c.watchFrom = revision
	for _, change := range changes {
		c.apply(change)
	}
	c.prove(revision, startedAt)
	c.Board.EvacuatedKnownAt.Set(time.Now())
	return nil
}

func (c *Controller) readAll(ctx context.Context) error {
	startedAt, proofStartedAt := time.Now(), c.Clock.Now()
	changes, revision, err := c.Source.Read(ctx)
	if err != nil {
		return err
	}
	c.Board.OperatorsReadAt.Set(time.Now())
	c.recordStoreReachable()
	c.watchFrom = revision
	c.observeEra(revision.Era)
	evacuated := make(map[string]bool)
	if startedAt.Before(c.rewrittenAt) {
		maps.Copy(evacuated, c.Board.Evacuated.Get())
	} else {
		c.rewrittenAt = time.Time{}
	}
	for _, change := range changes {
		if change.DataCentre != "" {
			evacuated[change.DataCentre] = true
			continue
		}
		c.apply(change)
	}
	c.prove(revision, proofStartedAt)
	c.setEvacuated(evacuated, startedAt)
	return nil
}

// observeEra records the era of the store; 0 for one that isn't known.
func (c *Controller) observeEra(era uint64) {
	if era <= c.era {
		return
	}
	// This precedes rewrittenAt, so that the read that is due then counts as a proof.
	c.Proofs.ObserveEra(era, c.Clock.Now())
	if c.era != 0 {
		c.rewrittenAt = time.Now().Add(RewriteTime)
		c.Logger.Warn("store was restored from an older copy", "era", era, "before", c.era)
	}
	c.era = era
	c.Board.StoreEra.Update(func(old uint64) (uint64, bool) { return era, era > old })
}

func (c *Controller) apply(change Change) {
	switch {
	case change.Err != nil:
		rejected.Inc()
		c.Logger.Error("configuration rejected", "err", change.Err)
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
		c.setEvacuated(evacuated, time.Time{})
	}
}

// adopt puts a configuration in force unless the one in force is as new or newer.
func (c *Controller) adopt(next *route.Table) {
	oldVersion := uint64(0)
	changed := c.Board.Routes.Update(func(old *route.Table) (*route.Table, bool) {
		if old != nil {
			oldVersion = old.Version
		}
		return next, next.Version > oldVersion
	})
	if changed {
		adopted.Inc()
		c.Logger.Info("configuration in force", "version", next.Version, "before", oldVersion, "routes", next.Len())
	}
}

// setEvacuated replaces the set of evacuated data centres by the one that the store had at
// the given time; zero if the time isn't known.
func (c *Controller) setEvacuated(next map[string]bool, at time.Time) {
	c.Board.EvacuatedKnownAt.Update(func(old time.Time) (time.Time, bool) { return at, at.After(old) })
	changed := c.Board.Evacuated.Update(func(old map[string]bool) (map[string]bool, bool) {
		return next, !equalSets(old, next)
	})
	if changed {
		c.Logger.Info("evacuated data centres", "data_centres", SortedNames(next))
	}
}

// recordStoreUnreachable records that the store did not answer this gateway.
func (c *Controller) recordStoreUnreachable(err error) {
	now := time.Now()
	if c.Board.StoreUnreachableSince.Update(func(old time.Time) (time.Time, bool) { return now, old.IsZero() }) {
		c.Logger.Warn("store unreachable", "err", err)
	}
}

// recordStoreReachable records that the store answers this gateway or the store
// reader.
func (c *Controller) recordStoreReachable() {
	var since time.Time
	changed := c.Board.StoreUnreachableSince.Update(func(old time.Time) (time.Time, bool) {
		since = old
		return time.Time{}, !old.IsZero()
	})
	if changed {
		c.Logger.Info("store reachable again", "lost_for", time.Since(since))
	}
}

func equalSets(a, b map[string]bool) bool {
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

// SortedNames returns the members of a set in alphabetical order.
func SortedNames(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
