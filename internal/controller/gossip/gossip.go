// Package gossip is the controller that exchanges soft state with the peers
// of this region at a steady, bounded rate, tells them at once of changes that
// can't wait, and swaps region summaries with the other regions.
package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Times of the controller.
const (
	regionInterval = 2 * time.Second
	// reconcileInterval is the shortest time between two sendings of full rows.
	reconcileInterval = 2 * time.Second
)

// urgentSends bounds the exchanges under way for one urgent change.
const urgentSends = 8

var (
	exchanges      = telemetry.NewCounter("peer_exchanges", "exchanges", "soft-state exchanges begun with peers")
	exchangeErrors = telemetry.NewCounter("peer_exchange_errors", "exchanges", "soft-state exchanges without an answer")
	suspicions     = telemetry.NewCounter("peer_suspicions", "peers", "peers found here not to answer")
	refuted        = telemetry.NewCounter("peer_suspicions_refuted", "times", "times this gateway heard that it is suspected")
	urgentTold     = telemetry.NewCounter("peer_urgent_sends", "exchanges", "exchanges begun at once for a change that can't wait")
)

// probeTries is the number of exchanges without an answer after which a peer is
// suspected.
const probeTries = 2

// Exchanger sends one exchange to a peer.
type Exchanger interface {
	Exchange(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, error)
}

// Demand is what a gateway tells and hears of customers' use of their limits.
type Demand interface {
	TopUsage(limit int, now time.Time) []admit.CustomerUsage
	ApplyUsage(gateway string, usage []admit.CustomerUsage, now time.Time)
}

// Controller exchanges soft state with peers.
type Controller struct {
	board    *blackboard.Board
	demand   Demand
	view     *membership.View
	client   Exchanger
	interval time.Duration
	seeds    []string
	logger   *log.Logger

	beat  atomic.Uint64
	epoch atomic.Uint64
	seq   atomic.Uint64
	// turn rotates through the region summaries.
	turn atomic.Uint64

	mu            sync.Mutex
	nextReconcile time.Time
	// ring holds the ids of the peers still to come in this pass.
	ring []string
	// rng picks peers; its seed differs between instances.
	rng *rand.Rand
	// urgent holds a token while peers are to be told at once.
	urgent chan struct{}
}

// New returns the controller. seeds are peer addresses tried while no peer of
// the region is known.
func New(board *blackboard.Board, client Exchanger, interval time.Duration, seeds []string, seed uint64, logger *log.Logger) *Controller {
	return &Controller{
		board:    board,
		demand:   noDemand{},
		view:     membership.New(board),
		client:   client,
		interval: interval,
		seeds:    seeds,
		logger:   logger,
		rng:      rand.New(rand.NewPCG(seed, seed)),
		urgent:   make(chan struct{}, 1),
	}
}

// ShareUsage makes exchanges carry customers' use of their limits. Call it
// before Run.
func (c *Controller) ShareUsage(d Demand) { c.demand = d }

type noDemand struct{}

func (noDemand) TopUsage(int, time.Time) []admit.CustomerUsage       { return nil }
func (noDemand) ApplyUsage(string, []admit.CustomerUsage, time.Time) {}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "members" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return c.runUrgent(ctx, t) })
	t.Go(func() error { return c.runRegions(ctx, t) })
	pause := c.interval
	for {
		select {
		case <-t.Dying():
			return nil
		case <-time.After(pause):
		}
		pause = c.exchangeOnce(ctx)
		now := time.Now()
		c.view.RefreshUnsuspected(now)
		c.view.RemoveExpired(now)
	}
}

// AddSeed adds a peer address that is tried while no peer of the region is known.
func (c *Controller) AddSeed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = append(c.seeds, address)
}

// SelfStatus returns what this gateway says of itself, with a new beat.
func (c *Controller) SelfStatus() peer.GatewayStatus {
	self := c.board.Self
	state := c.board.Lifecycle.Get()
	return peer.GatewayStatus{
		ID:            self.ID,
		Incarnation:   self.Incarnation,
		Region:        self.Region,
		Address:       self.PeerAddress,
		CallerAddress: self.CallerAddress,
		Leaving:       state == blackboard.Draining || state == blackboard.Stopped,
		Ready:         state == blackboard.Serving,
		Revision:      c.board.Intent.Get().Revision,
		HeartbeatSeq:  c.beat.Add(1),
		Epoch:         c.epoch.Load(),
	}
}

// HandleExchange takes in a peer's exchange and returns this gateway's answer.
// A sender that was suspected here is told, so that it can tell the others.
func (c *Controller) HandleExchange(msg peer.Exchange) peer.Exchange {
	now := time.Now()
	old, known := c.board.Peers.Get(msg.From.ID)
	c.absorb(msg, now)
	if msg.From.Region != c.board.Self.Region {
		return c.regional(now)
	}
	reply := c.compose(now)
	if known && old.Suspected {
		reply.Suspicions = append(reply.Suspicions, membership.NewSuspicion(old))
	}
	if reply.MembershipDigest != msg.MembershipDigest && c.mayReconcile(now) {
		reply.Gateways = c.view.GatewayStatuses(now)
	}
	return reply
}

func (c *Controller) compose(now time.Time) peer.Exchange {
	msg := c.view.BuildExchange(c.SelfStatus(), c.turn.Add(1), now)
	msg.Usage = c.demand.TopUsage(peer.MaxUsage, now)
	return msg
}

// absorb takes in an exchange, and tells all peers at once if it brought a
// leaving mark or a suspicion of this gateway.
func (c *Controller) absorb(msg peer.Exchange, now time.Time) {
	before := c.board.Retired.Len()
	suspicion := c.view.ApplyExchange(msg, now)
	if len(msg.Usage) > 0 {
		c.demand.ApplyUsage(msg.From.ID, msg.Usage, now)
	}
	if suspicion != nil && c.refute(suspicion.Epoch) {
		c.NotifyPeers()
	}
	if c.board.Retired.Len() > before {
		c.NotifyPeers()
	}
}

// refute begins an epoch after the suspected one, unless that is past already.
func (c *Controller) refute(epoch uint64) bool {
	for {
		own := c.epoch.Load()
		if own > epoch {
			return false
		}
		if c.epoch.CompareAndSwap(own, epoch+1) {
			refuted.Inc()
			return true
		}
	}
}

// mayReconcile bounds how often full rows are sent.
func (c *Controller) mayReconcile(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.nextReconcile) {
		return false
	}
	c.nextReconcile = now.Add(reconcileInterval)
	return true
}

// NotifyPeers asks for exchanges with all peers of the region at once.
func (c *Controller) NotifyPeers() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// seedEvery is the number of exchanges of which one goes to a seed, so that
// gateways that know each other by seeds alone form no islands.
const seedEvery = 32

// exchangeOnce exchanges with one peer and returns the time until the next.
func (c *Controller) exchangeOnce(ctx context.Context) time.Duration {
	p, ok := c.pickPeer(time.Now())
	if !ok || c.turn.Load()%seedEvery == 0 {
		if seed, has := c.pickSeed(); has {
			p, ok = seed, true
		}
	}
	if !ok {
		return c.interval
	}
	msg := c.compose(time.Now())
	c.probe(ctx, p, msg)
	return msg.NextInterval(c.interval)
}

// converse sends msg to a peer and takes in its answer. When the two know
// different gateways, the peer's answer brings its full rows and one more
// exchange brings it this gateway's.
func (c *Controller) converse(ctx context.Context, address string, msg peer.Exchange) bool {
	reply, ok := c.send(ctx, address, msg)
	if !ok {
		return false
	}
	c.absorb(reply, time.Now())
	if len(reply.Gateways) == 0 || reply.MembershipDigest == c.view.MembershipDigest(c.SelfStatus()) {
		return true
	}
	self := c.SelfStatus()
	reply, ok = c.send(ctx, address, peer.Exchange{From: self, MembershipDigest: c.view.MembershipDigest(self), Gateways: c.view.GatewayStatuses(time.Now())})
	if ok {
		c.absorb(reply, time.Now())
	}
	return true
}

func (c *Controller) send(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, bool) {
	exchanges.Inc()
	reply, err := c.client.Exchange(ctx, address, msg)
	if err != nil {
		exchangeErrors.Inc()
	}
	return reply, err == nil
}

// probe exchanges with a peer; one that fails to answer twice, the second time
// on a new connection, is suspected, and all peers are told.
func (c *Controller) probe(ctx context.Context, p blackboard.PeerState, msg peer.Exchange) {
	for range probeTries {
		if c.converse(ctx, p.Address, msg) || ctx.Err() != nil {
			return
		}
	}
	current, ok := c.board.Peers.Get(p.ID)
	if ok && c.view.MarkSuspected(membership.NewSuspicion(current), time.Now()) {
		suspicions.Inc()
		c.logger.Warn("peer does not answer", "peer", p.ID)
		c.NotifyPeers()
	}
}

// pickPeer returns the next peer of the region, each in turn and in an order
// that is shuffled for each pass.
func (c *Controller) pickPeer(now time.Time) (blackboard.PeerState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for refilled := false; ; refilled = true {
		for len(c.ring) > 0 {
			id := c.ring[0]
			c.ring = c.ring[1:]
			if p, ok := c.board.Peers.Get(id); ok {
				return p, true
			}
		}
		if refilled {
			return blackboard.PeerState{}, false
		}
		c.ring = c.shuffledPeers(now)
	}
}

func (c *Controller) shuffledPeers(now time.Time) []string {
	var ids []string
	c.board.Peers.Range(func(id string, p blackboard.PeerState) bool {
		if p.Region == c.board.Self.Region && now.Sub(p.LastSeen) < membership.PeerRetention {
			ids = append(ids, id)
		}
		return true
	})
	slices.Sort(ids)
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// pickSeed returns a random seed.
func (c *Controller) pickSeed() (blackboard.PeerState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seeds) == 0 {
		return blackboard.PeerState{}, false
	}
	return blackboard.PeerState{Address: c.seeds[c.rng.IntN(len(c.seeds))]}, true
}
