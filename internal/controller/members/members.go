// Package members is the controller that exchanges soft state with the peers
// of this region at a steady, bounded rate, tells them at once of changes that
// can't wait, and swaps region summaries with the other regions.
package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Times of the controller.
const (
	regionInterval = 2 * time.Second
	seedInterval   = 5 * time.Second
)

// urgentSends bounds the exchanges under way for one urgent change.
const urgentSends = 8

var (
	exchanges      = telemetry.NewCounter("peer_exchanges", "exchanges", "soft-state exchanges begun with peers")
	exchangeErrors = telemetry.NewCounter("peer_exchange_errors", "exchanges", "soft-state exchanges without an answer")
	urgentTold     = telemetry.NewCounter("peer_urgent_sends", "exchanges", "exchanges begun at once for a change that can't wait")
)

// Exchanger sends one exchange to a peer.
type Exchanger interface {
	Exchange(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, error)
}

// Controller exchanges soft state with peers.
type Controller struct {
	board    *blackboard.Board
	view     *membership.View
	client   Exchanger
	interval time.Duration
	seeds    []string
	logger   *log.Logger

	beat atomic.Uint64
	seq  atomic.Uint64
	// turn rotates through the region summaries.
	turn atomic.Uint64

	mu sync.Mutex
	// rng picks peers; its seed differs between instances.
	rng *rand.Rand
	// urgent is closed when peers are to be told at once.
	urgent chan struct{}
}

// New returns the controller. seeds are peer addresses tried while no peer of
// the region is known.
func New(board *blackboard.Board, client Exchanger, interval time.Duration, seeds []string, seed uint64, logger *log.Logger) *Controller {
	return &Controller{
		board:    board,
		view:     membership.New(board),
		client:   client,
		interval: interval,
		seeds:    seeds,
		logger:   logger,
		rng:      rand.New(rand.NewPCG(seed, seed)),
		urgent:   make(chan struct{}, 1),
	}
}

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
		c.view.Expire(time.Now())
	}
}

// Seed adds a peer address that is tried while no peer of the region is known.
func (c *Controller) Seed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = append(c.seeds, address)
}

// Self returns what this gateway says of itself, with a new beat.
func (c *Controller) Self() peer.Member {
	self := c.board.Self
	state := c.board.Lifecycle.Get()
	return peer.Member{
		ID:            self.ID,
		Incarnation:   self.Incarnation,
		Region:        self.Region,
		Address:       self.PeerAddress,
		CallerAddress: self.CallerAddress,
		Leaving:       state == blackboard.Draining || state == blackboard.Stopped,
		Ready:         state == blackboard.Serving,
		Revision:      c.board.Intent.Get().Revision,
		Beat:          c.beat.Add(1),
	}
}

// HandleExchange takes in a peer's exchange and returns this gateway's answer.
func (c *Controller) HandleExchange(msg peer.Exchange) peer.Exchange {
	now := time.Now()
	unknown := c.absorb(msg, now)
	if msg.From.Region != c.board.Self.Region {
		return c.regional(now)
	}
	reply := c.view.Compose(c.Self(), c.turn.Add(1), now)
	reply.Want = unknown
	reply.Members = c.view.Members(msg.Want, now)
	return reply
}

// absorb takes in an exchange, and tells all peers at once if it brought a
// leaving mark.
func (c *Controller) absorb(msg peer.Exchange, now time.Time) (unknown []string) {
	before := c.board.Retired.Len()
	unknown = c.view.Absorb(msg, now)
	if c.board.Retired.Len() > before {
		c.TellPeers()
	}
	return unknown
}

// TellPeers asks for exchanges with all peers of the region at once.
func (c *Controller) TellPeers() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// exchangeOnce exchanges with one peer and returns the time until the next.
func (c *Controller) exchangeOnce(ctx context.Context) time.Duration {
	address, ok := c.pickPeer(time.Now())
	if !ok {
		return c.interval
	}
	msg := c.view.Compose(c.Self(), c.turn.Add(1), time.Now())
	c.converse(ctx, address, msg)
	return msg.Pace(c.interval)
}

// converse sends msg to a peer. If either lacks full rows that the other has,
// one more exchange brings them.
func (c *Controller) converse(ctx context.Context, address string, msg peer.Exchange) {
	reply, ok := c.send(ctx, address, msg)
	if !ok {
		return
	}
	unknown := c.absorb(reply, time.Now())
	if len(unknown) == 0 && len(reply.Want) == 0 {
		return
	}
	reply, ok = c.send(ctx, address, peer.Exchange{
		From:    c.Self(),
		Want:    unknown,
		Members: c.view.Members(reply.Want, time.Now()),
	})
	if ok {
		c.absorb(reply, time.Now())
	}
}

func (c *Controller) send(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, bool) {
	exchanges.Inc()
	reply, err := c.client.Exchange(ctx, address, msg)
	if err != nil {
		exchangeErrors.Inc()
	}
	return reply, err == nil
}

// pickPeer returns a random peer of the region, or a seed while none is known.
func (c *Controller) pickPeer(now time.Time) (string, bool) {
	var addresses []string
	c.board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		if p.Region == c.board.Self.Region && now.Sub(p.Heard) < membership.ForgetAfter {
			addresses = append(addresses, p.Address)
		}
		return true
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addresses) == 0 {
		addresses = c.seeds
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[c.rng.IntN(len(addresses))], true
}
