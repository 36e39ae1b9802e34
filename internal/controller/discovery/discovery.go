// Package discovery is the controller that keeps the registry of endpoints up to
// date. The store reader of each region reads the endpoints' entries from the
// store; the other gateways fetch them from it when a heartbeat shows that they
// changed. A gateway that for a while receives no sign that the store was read
// reads it itself.
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

// Intervals of the controller.
const (
	// pollInterval is the time between two checks of the store status that
	// heartbeats carry.
	pollInterval = 300 * time.Millisecond
	// readInterval is the time between two reads of the store. It is a third of
	// the shortest time within which a leaving endpoint must get no new requests.
	// Since endpoints rewrite their entries all the time, a watch that returns at
	// each change would cost more calls.
	readInterval = 900 * time.Millisecond
	// watchWait is how long the store may delay its response to a watch while
	// there are no changes.
	watchWait = 10 * time.Millisecond
)

var (
	reads          = telemetry.NewCounter("endpoint_reads", "calls", "reads of endpoint entries from the store")
	readFailures   = telemetry.NewCounter("endpoint_read_failures", "calls", "failed reads of endpoint entries")
	fetches        = telemetry.NewCounter("endpoint_fetches", "calls", "fetches of endpoint entries from other gateways")
	changesFetched = telemetry.NewCounter("endpoint_changes_fetched", "calls", "such fetches in which only the changed entries were sent")
)

// Source reads the endpoints' entries from the store.
type Source interface {
	// Read returns all entries and the revision to watch from.
	Read(ctx context.Context) ([]fleet.Entry, store.Revision, error)
	// Watch returns the entries changed since a revision and the revision to watch
	// from next. It waits for at most wait if there are none. The error is a
	// *store.CompactedError if the store no longer has the changes.
	Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]fleet.Entry, store.Revision, error)
}

// Config holds what the controller uses.
type Config struct {
	Board       *blackboard.Edge
	Registry    *fleet.Registry
	Gateways    *fleet.Gateways
	StoreStatus *fleet.LatestStoreStatus
	Source      Source
	Client      *peerfetch.Client
	// StartupWait is how long to wait at the start for the store status of a peer
	// before the store is read.
	StartupWait time.Duration
	// OnRemoved is called for each endpoint that is removed from the registry.
	OnRemoved func(id, address string)
	Logger    *log.Logger
}

// Controller keeps the registry of endpoints up to date.
type Controller struct {
	Config

	// watchFrom is the revision to watch from; zero requires a read of all entries.
	watchFrom store.Revision
	// era is the era of the store that this gateway knows of, here or by the store reader; 0
	// for none.
	era uint64
	// lastAttempt is when this gateway last called the store. verifiedAt is when the
	// store is known to have been read last, here or by the store reader.
	lastAttempt time.Time
	verifiedAt  time.Time
	// isOutOfDate is set while the registry is out of date.
	isOutOfDate bool
	// failedReads counts the consecutive failed reads.
	failedReads int
	// behindSince is when the entries of the store reader could not be fetched first; zero if
	// they could last time.
	behindSince time.Time
}

// New returns the controller.
func New(c Config) *Controller { return &Controller{Config: c} }

// Name implements controller.Controller.
func (c *Controller) Name() string { return "discovery" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return c.followEvacuations(t) })
	c.StoreStatus.WaitForFirst(ctx, c.StartupWait)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		c.refresh(ctx, time.Now())
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// followEvacuations applies evacuations to the registry when they become known. It
// doesn't wait for the store, which may be slow.
func (c *Controller) followEvacuations(t *tomb.Tomb) error {
	for {
		evacuated, changed := c.Board.Evacuated.Watch()
		c.Registry.SetEvacuated(evacuated, time.Now())
		select {
		case <-t.Dying():
			return nil
		case <-changed:
		}
	}
}

// refresh brings the registry up to date in the cheapest way that is possible now.
func (c *Controller) refresh(ctx context.Context, now time.Time) {
	status, from, _, _ := c.StoreStatus.Get()
	readAt := c.StoreStatus.EndpointsReadAt()
	switch {
	case !c.Board.EndpointsDiscovered.Get() && from != "" && c.fetchFromPeer(ctx, from):
	case c.Gateways.IsStoreReader(now):
		c.readIfDue(ctx, now)
	case c.Board.EndpointsDiscovered.Get() && now.Sub(readAt) < fleet.StaleAfter(c.Board.Settings.Get().Limits.EndpointDrain):
		c.followStoreReader(ctx, status, from, readAt)
	default:
		c.readIfDue(ctx, now)
	}
	c.reportChanges(c.Registry.RemoveExpired(time.Now()))
	c.reportOutOfDate(time.Now())
}

// reportOutOfDate logs when the registry begins or ends to be out of date. Before the
// first read there is nothing to be out of date.
func (c *Controller) reportOutOfDate(now time.Time) {
	if !c.Board.EndpointsDiscovered.Get() {
		return
	}
	old := c.isOutOfDate
	c.isOutOfDate = c.Registry.IsOutOfDate(now)
	switch {
	case c.isOutOfDate == old:
	case c.isOutOfDate:
		c.Logger.Warn("endpoint entries are out of date; endpoints are asked whether they are cold")
	default:
		c.Logger.Info("endpoint entries are up to date")
	}
}

// followStoreReader compares the registry with the status of the store reader, and
// fetches the entries from it if they differ.
func (c *Controller) followStoreReader(ctx context.Context, status fleet.StoreStatus, from string, readAt time.Time) {
	c.recordVerified(readAt)
	c.observeEra(status.Era)
	if status.EndpointsFingerprint != c.Registry.Fingerprint() && !c.fetchFromPeer(ctx, from) {
		c.readUnfetched(ctx)
		return
	}
	c.behindSince = time.Time{}
	c.Registry.RecordCurrent(readAt)
	// The entries now follow the store reader at a revision that is not known
	// here. A watch from the own last revision may miss changes that the fetch
	// brought, so the next read of the store has to read all entries.
	c.watchFrom = store.Revision{}
}

// readUnfetched reads the store if entries could not be fetched from the store reader for as
// long as this gateway would wait if it didn't hear it. A gateway may hear the store reader and
// not reach it, for instance while their link is cut in one direction. Fetches also fail while a
// whole region fetches at once; reads of all entries would then overload the store.
func (c *Controller) readUnfetched(ctx context.Context) {
	now := time.Now()
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	if now.Sub(c.behindSince) >= fleet.StaleAfter(c.Board.Settings.Get().Limits.EndpointDrain) {
		c.readIfDue(ctx, now)
	}
}

// fetchFromPeer brings the entries into the state of those of a peer, and reports whether
// that succeeded.
func (c *Controller) fetchFromPeer(ctx context.Context, id string) bool {
	gw, ok := c.Gateways.Get(id)
	if !ok {
		return false
	}
	fetches.Inc()
	var err error
	if c.Board.EndpointsDiscovered.Get() {
		err = c.fetchChanges(ctx, gw.PeerAddress)
	} else {
		err = c.fetchAll(ctx, gw.PeerAddress)
	}
	if err != nil {
		c.Logger.Warn("cannot fetch endpoints from gateway", "gateway", id, "err", err)
	}
	return err == nil
}

func (c *Controller) fetchAll(ctx context.Context, address string) error {
	list, err := c.Client.FetchEndpoints(ctx, address)
	if err == nil {
		c.replace(list)
	}
	return err
}

// fetchChanges fetches what has changed since the state of the entries here, or all of them
// if the peer doesn't know that state or the changes don't lead to the peer's.
func (c *Controller) fetchChanges(ctx context.Context, address string) error {
	changes, all, err := c.Client.FetchEndpointsSince(ctx, address, c.Registry.Fingerprint())
	switch {
	case err != nil:
		return err
	case changes == nil:
		c.replace(all)
		return nil
	}
	c.reportChanges(c.Registry.Apply(changes.AsEntries(), time.Now()))
	if c.Registry.Fingerprint() != changes.Fingerprint {
		return c.fetchAll(ctx, address)
	}
	changesFetched.Inc()
	return nil
}

// replace replaces the entries by those of a peer.
func (c *Controller) replace(list []fleet.Endpoint) {
	entries := make([]fleet.Entry, 0, len(list))
	for i := range list {
		entries = append(entries, fleet.Entry{ID: list[i].ID, Endpoint: &list[i]})
	}
	c.reportChanges(c.Registry.Replace(entries, time.Now()))
	c.setDiscovered()
}

func (c *Controller) setDiscovered() {
	c.Board.EndpointsDiscovered.Update(func(old bool) (bool, bool) { return true, !old })
}

// readIfDue reads the store unless it was called within readInterval.
func (c *Controller) readIfDue(ctx context.Context, now time.Time) {
	if now.Sub(c.lastAttempt) < readInterval {
		return
	}
	c.lastAttempt = now
	c.read(ctx)
}

func (c *Controller) read(ctx context.Context) {
	reads.Inc()
	startedAt := time.Now()
	entries, revision, err := c.readOrWatch(ctx)
	now := time.Now()
	if err != nil {
		readFailures.Inc()
		c.recordFailure(err, now)
		if !c.Board.EndpointsDiscovered.Get() {
			c.askPeer(ctx)
		}
		return
	}
	if c.failedReads > 0 {
		c.Logger.Info("endpoint entries readable again", "failed", c.failedReads)
	}
	c.failedReads = 0
	c.Gateways.SetStoreUnreachable(false, now)
	c.Board.EndpointsReadAt.Set(startedAt)
	c.recordVerified(startedAt)
	c.observeEra(revision.Era)
	if c.watchFrom.IsZero() {
		c.reportChanges(c.Registry.Replace(entries, now))
	} else {
		c.reportChanges(c.Registry.Apply(entries, now))
	}
	c.watchFrom = revision
	c.Registry.RecordCurrent(startedAt)
	c.setDiscovered()
}

// recordVerified records that the store was read at readAt. After a gap of more than
// fleet.StoreOutageAfter, missing entries may have expired because of the store and not
// of their endpoints.
func (c *Controller) recordVerified(readAt time.Time) {
	if !c.verifiedAt.IsZero() && readAt.Sub(c.verifiedAt) > fleet.StoreOutageAfter {
		c.Registry.RecordStoreRecovery(time.Now())
		c.Logger.Info("store reachable again after an outage", "lasted", readAt.Sub(c.verifiedAt))
	}
	if readAt.After(c.verifiedAt) {
		c.verifiedAt = readAt
	}
}

// observeEra records the era of the store; 0 for one that isn't known. After a restore,
// entries that the older copy lacks are written again.
func (c *Controller) observeEra(era uint64) {
	if era <= c.era {
		return
	}
	if c.era != 0 {
		c.Registry.RecordStoreRecovery(time.Now())
		c.Logger.Warn("store was restored from an older copy; entries may be missing", "era", era, "before", c.era)
	}
	c.era = era
}

// askPeer asks a gateway that serves, another one after each failed read, for what it
// knows of the store's content. The store reader of a region that starts while the store
// is away would otherwise learn that from nobody.
func (c *Controller) askPeer(ctx context.Context) {
	peers := c.Gateways.ReadyPeers(time.Now())
	if len(peers) == 0 {
		return
	}
	peer := peers[c.failedReads%len(peers)]
	status, err := c.Client.FetchStoreStatus(ctx, peer.PeerAddress)
	if err != nil {
		c.Logger.Warn("cannot fetch store status from gateway", "gateway", peer.ID, "err", err)
		return
	}
	c.StoreStatus.Set(peer.ID, status, time.Now())
}

func (c *Controller) readOrWatch(ctx context.Context) ([]fleet.Entry, store.Revision, error) {
	if c.watchFrom.IsZero() {
		return c.Source.Read(ctx)
	}
	return c.Source.Watch(ctx, c.watchFrom, watchWait)
}

// failuresToReportUnreachable is the number of consecutive failed reads after which
// this gateway reports the store as unreachable, so that another one takes over as
// store reader.
const failuresToReportUnreachable = 2

func (c *Controller) recordFailure(err error, now time.Time) {
	var compacted *store.CompactedError
	var restored *store.RestoredError
	if errors.As(err, &compacted) || errors.As(err, &restored) {
		c.Logger.Info("reading all endpoint entries", "err", err)
		c.watchFrom = store.Revision{}
		c.lastAttempt = time.Time{}
		return
	}
	c.failedReads++
	if c.failedReads == 1 {
		c.Logger.Warn("cannot read endpoint entries from the store", "err", err)
	}
	if c.failedReads >= failuresToReportUnreachable {
		c.Gateways.SetStoreUnreachable(true, now)
	}
}

func (c *Controller) reportChanges(changes []fleet.Change) {
	for _, change := range changes {
		c.Logger.Info("endpoint", "id", change.ID, "change", change.Kind)
		if change.Kind == fleet.ChangeRemoved {
			c.OnRemoved(change.ID, change.Address)
		}
	}
}
