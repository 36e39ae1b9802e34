// Package announce is the controller that announces large prefills to the other
// gateways of the region before the endpoints' lagging load reports show them.
package announce

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Rate limits. A pass sends to at most maxPeersPerPass random peers, so in a large
// region each pass reaches different ones. The wait after a pass keeps the average
// within sendsPerSecond.
const (
	interval        = 250 * time.Millisecond
	sendsPerSecond  = 4
	maxPeersPerPass = 4
)

var (
	sends  = telemetry.NewCounter("announce_sends", "calls", "announcements of large prefills sent to peers")
	failed = telemetry.NewCounter("announce_errors", "calls", "announcements of large prefills without a response")
)

// Announcer sends announcements to a peer.
type Announcer interface {
	AnnouncePrefills(ctx context.Context, address string, list []datastore.PrefillAnnouncement) error
}

// Controller announces large prefills to peers.
type Controller struct {
	board  *blackboard.Board
	view   *membership.View
	store  *datastore.Store
	client Announcer
}

// New returns the controller.
func New(board *blackboard.Board, store *datastore.Store, client Announcer) *Controller {
	return &Controller{board: board, view: membership.New(board), store: store, client: client}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "announce" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	wait := interval
	for {
		select {
		case <-t.Dying():
			return nil
		case <-time.After(wait):
		}
		sent := c.announceOnce(ctx)
		wait = max(interval, time.Duration(sent)*time.Second/sendsPerSecond)
	}
}

// announceOnce sends the announcements collected since the last pass and returns
// the number of peers that it sent them to.
func (c *Controller) announceOnce(ctx context.Context) int {
	now := time.Now()
	list := c.store.TakeAnnouncements(now)
	if len(list) == 0 {
		return 0
	}
	peers := c.view.LivePeers(c.board.Self.Region, now)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxPeersPerPass)]
	var group errgroup.Group
	for _, p := range peers {
		group.Go(func() error {
			sends.Inc()
			if c.client.AnnouncePrefills(ctx, p.Address, list) != nil {
				failed.Inc()
			}
			return nil
		})
	}
	_ = group.Wait()
	return len(peers)
}
