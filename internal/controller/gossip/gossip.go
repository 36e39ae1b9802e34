// Package gossip is the controller that synchronizes soft state between gateways.
// It exchanges messages with the peers of its region at a limited rate, notifies
// them at once of urgent changes, and exchanges region summaries with the other
// regions.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// regionInterval is the time between two exchanges with another region.
	regionInterval = 2 * time.Second
	// reconcileInterval is the minimum time between two responses that carry the
	// status of all known gateways.
	reconcileInterval = 2 * time.Second
)

// maxConcurrentUrgent limits the exchanges in flight for one urgent change.
const maxConcurrentUrgent = 8

var (
	exchanges         = telemetry.NewCounter("peer_exchanges", "exchanges", "gossip exchanges started with peers")
	exchangeErrors    = telemetry.NewCounter("peer_exchange_errors", "exchanges", "gossip exchanges without a response")
	suspicions        = telemetry.NewCounter("peer_suspicions", "peers", "peers that this gateway found unresponsive")
	suspicionsRefuted = telemetry.NewCounter("peer_suspicions_refuted", "times", "suspicions of this gateway that it refuted")
	urgentExchanges   = telemetry.NewCounter("peer_urgent_sends", "exchanges", "gossip exchanges started at once for an urgent change")
)

// probeAttempts is the number of consecutive exchanges without a response after
// which a peer is suspected.
const probeAttempts = 2

// Exchanger sends an exchange to a peer and returns the peer's exchange.
type Exchanger interface {
	Exchange(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, error)
}

// UsageTracker provides this gateway's usage of customers' limits and merges that
// of other gateways.
type UsageTracker interface {
	TopUsage(limit int, now time.Time) []admit.CustomerUsage
	ApplyUsage(gateway string, usage []admit.CustomerUsage, now time.Time)
}

// Controller exchanges soft state with peers.
type Controller struct {
	board    *blackboard.Board
	usage    UsageTracker
	requests *quarantine.Tracker
	view     *membership.View
	client   Exchanger
	interval time.Duration
	seeds    []string
	logger   *log.Logger

	heartbeatSeq atomic.Uint64
	epoch        atomic.Uint64
	summarySeq   atomic.Uint64
	// rotation selects the region summaries of the next exchange.
	rotation atomic.Uint64

	mu sync.Mutex
	// unreadableLoggedAt and refusedLoggedAt are when exchanges that can't be read in full,
	// here and at a peer, were last logged.
	unreadableLoggedAt, refusedLoggedAt time.Time

	nextReconcile time.Time
	// pendingPeers holds the ids of the peers that the current pass has not
	// reached yet.
	pendingPeers []string
	// rng picks peers; its seed should differ between gateways.
	rng *rand.Rand
	// notifyRequested holds an element while a notification of all peers is due.
	notifyRequested chan struct{}
}

// New returns the controller. interval is the minimum time between two exchanges.
// seeds are peer addresses to try while no peer of the region is known, and now
// and then afterwards. seed initializes the random number generator.
func New(board *blackboard.Board, client Exchanger, interval time.Duration, seeds []string, seed uint64, logger *log.Logger) *Controller {
	return &Controller{
		board:           board,
		usage:           noUsage{},
		requests:        quarantine.NewOfRequests(),
		view:            membership.New(board),
		client:          client,
		interval:        interval,
		seeds:           seeds,
		logger:          logger,
		rng:             rand.New(rand.NewPCG(seed, seed)),
		notifyRequested: make(chan struct{}, 1),
	}
}

// ShareUsage adds customers' usage of their limits to exchanges. Call it before
// Run.
func (c *Controller) ShareUsage(usage UsageTracker) { c.usage = usage }

// ShareQuarantine adds to exchanges what this gateway knows of requests that crash
// endpoints. Call it before Run.
func (c *Controller) ShareQuarantine(requests *quarantine.Tracker) { c.requests = requests }

type noUsage struct{}

func (noUsage) TopUsage(int, time.Time) []admit.CustomerUsage       { return nil }
func (noUsage) ApplyUsage(string, []admit.CustomerUsage, time.Time) {}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "members" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return c.runNotifications(ctx, t) })
	t.Go(func() error { return c.runRegions(ctx, t) })
	wait := c.interval
	for {
		select {
		case <-t.Dying():
			return nil
		case <-time.After(wait):
		}
		wait = c.exchangeOnce(ctx)
		now := time.Now()
		c.view.RefreshUnsuspected(now)
		c.view.RemoveExpired(now)
	}
}

// AddSeed adds a seed address, as those given to New.
func (c *Controller) AddSeed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = append(c.seeds, address)
}

// SelfStatus returns this gateway's own status with the next HeartbeatSeq.
func (c *Controller) SelfStatus() peer.GatewayStatus {
	self := c.board.Self
	lifecycle := c.board.Lifecycle.Get()
	return peer.GatewayStatus{
		ID:            self.ID,
		Incarnation:   self.Incarnation,
		Region:        self.Region,
		Address:       self.PeerAddress,
		CallerAddress: self.CallerAddress,
		Leaving:       lifecycle.IsEnding(),
		Ready:         lifecycle == blackboard.Serving,
		Revision:      c.board.Intent.Get().Revision,
		HeartbeatSeq:  c.heartbeatSeq.Add(1),
		Epoch:         c.epoch.Load(),
	}
}

// HandleExchange merges a peer's exchange and returns this gateway's response. If
// the sender was suspected here, the response says so, so that the sender can
// refute the suspicion at the other gateways.
func (c *Controller) HandleExchange(msg peer.Exchange) peer.Exchange {
	now := time.Now()
	old, known := c.board.Peers.Get(msg.From.ID)
	c.applyExchange(msg, now)
	if msg.From.Region == "" {
		msg.From.Region = old.Region
	}
	if msg.From.Region != c.board.Self.Region {
		response := c.buildRegionExchange(now)
		response.Unreadable = c.reportOf(msg)
		return response
	}
	response := c.buildExchange(now)
	response.Unreadable = c.reportOf(msg)
	if known && old.Suspected {
		response.Suspicions = append(response.Suspicions, membership.NewSuspicion(old))
	}
	if response.MembershipDigest != msg.MembershipDigest && c.allowReconcile(now) {
		response.Gateways = c.view.GatewayStatuses(now)
	}
	return response
}

func (c *Controller) buildExchange(now time.Time) peer.Exchange {
	msg := c.view.BuildExchange(c.SelfStatus(), c.rotation.Add(1), now)
	msg.Usage = c.usage.TopUsage(peer.MaxUsage, now)
	msg.RequestQuarantine = c.requests.Digest(now)
	return msg
}

// applyExchange merges an exchange. It requests a notification of all peers if
// the exchange brought a newly retired incarnation or a suspicion of this gateway.
func (c *Controller) applyExchange(msg peer.Exchange, now time.Time) {
	if msg.Unreadable != nil {
		c.logRefused(msg.From.ID, msg.Unreadable)
	}
	before := c.board.Retired.Len()
	suspicion := c.view.ApplyExchange(msg, now)
	if len(msg.Usage) > 0 {
		c.usage.ApplyUsage(msg.From.ID, msg.Usage, now)
	}
	if suspicion != nil && c.refute(suspicion.Epoch) {
		c.NotifyPeers()
	}
	if msg.RequestQuarantine != nil {
		c.requests.Apply(msg.RequestQuarantine, now)
	}
	if c.logQuarantine() {
		c.NotifyPeers()
	}
	if c.board.Retired.Len() > before {
		c.NotifyPeers()
	}
}

// logQuarantine writes one line for each request that has been held or released since the
// last call, and reports whether there is one.
func (c *Controller) logQuarantine() bool {
	changes := c.requests.TakeChanges()
	for _, change := range changes {
		c.logger.Warn("request that crashes endpoints", "key", change.Key, "change", change.Kind, "crashes", change.Crashes, "reported", change.Reported)
	}
	return len(changes) > 0
}

// refute starts the epoch after the suspected one and reports whether it did. It
// does nothing if the suspected epoch is over already.
func (c *Controller) refute(epoch uint64) bool {
	for {
		own := c.epoch.Load()
		if own > epoch {
			return false
		}
		if c.epoch.CompareAndSwap(own, epoch+1) {
			suspicionsRefuted.Inc()
			return true
		}
	}
}

// allowReconcile reports whether a response may carry the status of all known
// gateways, at most once per reconcileInterval.
func (c *Controller) allowReconcile(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.nextReconcile) {
		return false
	}
	c.nextReconcile = now.Add(reconcileInterval)
	return true
}

// NotifyPeers requests immediate exchanges with all peers of the region. It does
// not block.
func (c *Controller) NotifyPeers() {
	select {
	case c.notifyRequested <- struct{}{}:
	default:
	}
}

// exchangesPerSeed is the number of exchanges of which one goes to a seed, so that
// gateways that find each other only through seeds do not stay partitioned into
// separate groups.
const exchangesPerSeed = 32

// exchangeOnce exchanges with one peer and returns the time to wait before the
// next exchange.
func (c *Controller) exchangeOnce(ctx context.Context) time.Duration {
	p, ok := c.nextPeer(time.Now())
	if !ok || c.rotation.Load()%exchangesPerSeed == 0 {
		if seed, hasSeed := c.pickSeed(); hasSeed {
			p, ok = seed, true
		}
	}
	if !ok {
		return c.interval
	}
	msg := c.buildExchange(time.Now())
	c.probe(ctx, p, msg)
	return msg.NextInterval(c.interval)
}

// exchangeWith sends msg to a peer, merges the response and reports whether one
// came. If the two know different gateways, the response may carry the status of
// all gateways that the peer knows; a second exchange then sends the peer those
// that this gateway knows.
func (c *Controller) exchangeWith(ctx context.Context, address string, msg peer.Exchange) bool {
	response, ok := c.send(ctx, address, msg)
	if !ok {
		return false
	}
	c.applyExchange(response, time.Now())
	if len(response.Gateways) == 0 || response.MembershipDigest == c.view.MembershipDigest(c.SelfStatus()) {
		return true
	}
	self := c.SelfStatus()
	response, ok = c.send(ctx, address, peer.Exchange{From: self, MembershipDigest: c.view.MembershipDigest(self), Gateways: c.view.GatewayStatuses(time.Now())})
	if ok {
		c.applyExchange(response, time.Now())
	}
	return true
}

// probe exchanges with a peer. A peer that fails to respond probeAttempts times,
// the last time on a new connection, is marked as suspected, and all peers are
// notified.
func (c *Controller) probe(ctx context.Context, p blackboard.PeerState, msg peer.Exchange) {
	for range probeAttempts {
		if c.exchangeWith(ctx, p.Address, msg) || ctx.Err() != nil {
			return
		}
	}
	current, ok := c.board.Peers.Get(p.ID)
	if ok && c.view.MarkSuspected(membership.NewSuspicion(current), time.Now()) {
		suspicions.Inc()
		c.logger.Warn("peer unresponsive; marked as suspected", "peer", p.ID)
		c.NotifyPeers()
	}
}
