// Package announce is the controller that tells the region's other gateways of
// large prefills, before the endpoints' lagging reports show them.
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

// Pace of the controller. A pass goes to as many peers as the budget of sends
// allows; in a large region each pass reaches other ones.
const (
	interval       = 250 * time.Millisecond
	sendsPerSecond = 4
	sendsAtOnce    = 4
)

var (
	sends  = telemetry.NewCounter("announce_sends", "calls", "announcements of large prefills sent to peers")
	failed = telemetry.NewCounter("announce_errors", "calls", "announcements of large prefills without an answer")
)

// Announcer sends announcements to a peer.
type Announcer interface {
	AnnouncePrefills(ctx context.Context, address string, list []datastore.PrefillAnnouncement) error
}

// Controller tells peers of large prefills.
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
	pause := interval
	for {
		select {
		case <-t.Dying():
			return nil
		case <-time.After(pause):
		}
		sent := c.pass(ctx)
		pause = max(interval, time.Duration(sent)*time.Second/sendsPerSecond)
	}
}

// pass tells what has gathered and returns the number of sends.
func (c *Controller) pass(ctx context.Context) int {
	now := time.Now()
	list := c.store.TakeAnnouncements(now)
	if len(list) == 0 {
		return 0
	}
	peers := c.view.LivePeers(c.board.Self.Region, now)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), sendsAtOnce)]
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
