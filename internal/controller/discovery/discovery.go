// Package discovery is the controller that keeps the entries of endpoints. One
// gateway of each region reads them in the store, the others fetch them from it
// when a beat says that they changed. Whoever has not heard for a while that
// the store was read reads it itself.
package discovery

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Times of the controller.
const (
	// tick is the time between two looks at what beats say.
	tick = 300 * time.Millisecond
	// readInterval is the time between two reads of the store, a third of the
	// shortest bound on the use of a leaving endpoint. Endpoints rewrite their
	// entries all the time, so that waiting for each change would cost more.
	readInterval = 900 * time.Millisecond
	// staleAfter is the age of the last known read of the store from which a
	// gateway reads it itself.
	staleAfter = 1600 * time.Millisecond
	// quiet is how long the store may hold a read without changes.
	quiet = 10 * time.Millisecond
)

var (
	reads    = telemetry.NewCounter("endpoint_reads", "calls", "reads of the endpoints' entries in the store")
	failures = telemetry.NewCounter("endpoint_read_failures", "calls", "reads of the endpoints' entries that failed")
	fetches  = telemetry.NewCounter("endpoint_fetches", "calls", "fetches of the endpoints' entries from other gateways")
)

// Source reads the entries of endpoints.
type Source interface {
	// Read returns all entries and the revision to watch from.
	Read(ctx context.Context) ([]fleet.Entry, uint64, error)
	// Watch returns the entries changed since a revision and the next one to
	// watch from. The error is a *store.CompactedError if they are not known.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]fleet.Entry, uint64, error)
}

// Config is what the controller works with.
type Config struct {
	Board       *blackboard.Edge
	Registry    *fleet.Registry
	Gateways    *fleet.Gateways
	StoreStatus *fleet.LatestStoreStatus
	Source      Source
	Client      *peerfetch.Client
	// StartupWait is how long to wait at the start for another gateway's word
	// before the store is read.
	StartupWait time.Duration
	// OnRemoved is called for each endpoint that is gone.
	OnRemoved func(id, address string)
	Logger    *log.Logger
}

// Controller keeps the registry of endpoints.
type Controller struct {
	Config

	// at is the revision to watch from; 0 asks for a whole read.
	at uint64
	// tried is when the store was asked last, known when the entries were last
	// known to be those in the store.
	tried time.Time
	known time.Time
	// failed counts the reads in a row that failed.
	failed int
}

// New returns the controller.
func New(c Config) *Controller { return &Controller{Config: c} }

// Name implements controller.Controller.
func (c *Controller) Name() string { return "discovery" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	c.StoreStatus.WaitForFirst(ctx, c.StartupWait)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		c.step(ctx, time.Now())
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// step brings the entries up to date by the cheapest way that is open.
func (c *Controller) step(ctx context.Context, now time.Time) {
	word, from, _, _ := c.StoreStatus.Get()
	readAt := c.StoreStatus.EndpointsReadAt()
	switch {
	case c.Gateways.IsStoreReader(now):
		c.readPaced(ctx, now)
	case c.Board.Discovered.Get() && now.Sub(readAt) < staleAfter:
		c.follow(ctx, word, from, readAt)
	case !c.Board.Discovered.Get() && from != "" && c.fetch(ctx, from):
	default:
		c.readPaced(ctx, now)
	}
	c.Registry.SetEvacuated(c.Board.Evacuated.Get(), time.Now())
	c.report(c.Registry.Expire(time.Now()))
}

// follow takes in the word of the gateway that reads the store.
func (c *Controller) follow(ctx context.Context, word fleet.StoreStatus, from string, readAt time.Time) {
	c.noteKnown(readAt)
	if word.EndpointsFingerprint != c.Registry.Fingerprint() && !c.fetch(ctx, from) {
		return
	}
	// What is read from here on may miss changes that the fetch brought.
	c.at = 0
}

// fetch takes all entries from another gateway.
func (c *Controller) fetch(ctx context.Context, id string) bool {
	gw, ok := c.Gateways.Get(id)
	if !ok {
		return false
	}
	fetches.Inc()
	list, err := c.Client.FetchEndpoints(ctx, gw.PeerAddress)
	if err != nil {
		c.Logger.Warn("endpoints not fetched", "gateway", id, "err", err)
		return false
	}
	entries := make([]fleet.Entry, 0, len(list))
	for i := range list {
		entries = append(entries, fleet.Entry{ID: list[i].ID, Endpoint: &list[i]})
	}
	c.report(c.Registry.Replace(entries, time.Now()))
	c.discovered()
	return true
}

func (c *Controller) discovered() {
	c.Board.Discovered.Update(func(old bool) (bool, bool) { return true, !old })
}

// readPaced reads the store unless that was done lately.
func (c *Controller) readPaced(ctx context.Context, now time.Time) {
	if now.Sub(c.tried) < readInterval {
		return
	}
	c.tried = now
	c.read(ctx)
}

func (c *Controller) read(ctx context.Context) {
	reads.Inc()
	asked := time.Now()
	entries, at, err := c.call(ctx)
	now := time.Now()
	if err != nil {
		failures.Inc()
		c.noteFailure(err, now)
		return
	}
	if c.failed > 0 {
		c.Logger.Info("endpoint entries readable again", "failed", c.failed)
	}
	c.failed = 0
	c.Gateways.SetStoreUnreachable(false, now)
	c.Board.EndpointsReadAt.Set(asked)
	c.noteKnown(asked)
	if c.at == 0 {
		c.report(c.Registry.Replace(entries, now))
	} else {
		c.report(c.Registry.Apply(entries, now))
	}
	c.at = at
	c.discovered()
}

// outageAfter is the time without word of the store after which entries may
// have lapsed for want of a store and not of the endpoint. It is above the time
// in which another gateway takes over the reading.
const outageAfter = 2500 * time.Millisecond

// noteKnown notes when the entries were known to be those in the store.
func (c *Controller) noteKnown(at time.Time) {
	if !c.known.IsZero() && at.Sub(c.known) > outageAfter {
		c.Registry.RecordStoreRecovery(time.Now())
		c.Logger.Info("store back after an outage", "lasted", at.Sub(c.known))
	}
	if at.After(c.known) {
		c.known = at
	}
}

func (c *Controller) call(ctx context.Context) ([]fleet.Entry, uint64, error) {
	if c.at == 0 {
		return c.Source.Read(ctx)
	}
	return c.Source.Watch(ctx, c.at, quiet)
}

// blindAfter is the number of reads in a row that fail until another gateway
// shall read for the region.
const blindAfter = 2

func (c *Controller) noteFailure(err error, now time.Time) {
	var compacted *store.CompactedError
	if errors.As(err, &compacted) {
		c.Logger.Info("endpoint changes forgotten, reading all")
		c.at = 0
		c.tried = time.Time{}
		return
	}
	c.failed++
	if c.failed == 1 {
		c.Logger.Warn("endpoint entries not readable", "err", err)
	}
	if c.failed >= blindAfter {
		c.Gateways.SetStoreUnreachable(true, now)
	}
}

func (c *Controller) report(changes []fleet.Change) {
	for _, change := range changes {
		c.Logger.Info("endpoint", "id", change.ID, "change", change.Kind)
		if change.Kind == fleet.ChangeRemoved {
			c.OnRemoved(change.ID, change.Address)
		}
	}
}
