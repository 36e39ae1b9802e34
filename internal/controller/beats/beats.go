// Package beats is the controller by which gateways tell each other of
// themselves in datagrams: whether they live, and what they know that others
// need at once. Beats repeat all of it, so that a lost one does no harm.
package beats

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/ledger"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// interval is the time between two beats to the gateways of the region.
	interval = 150 * time.Millisecond
	// farEvery is the number of beats of which one goes to other regions.
	farEvery = 3
	// maxBeatBytes bounds a datagram.
	maxBeatBytes = 60 << 10
)

var (
	sent      = telemetry.NewCounter("beats_sent", "beats", "beats sent to other gateways")
	heard     = telemetry.NewCounter("beats_heard", "beats", "beats received from other gateways")
	malformed = telemetry.NewCounter("beats_malformed", "beats", "datagrams that are no beat")
)

// Beat is one datagram.
type Beat struct {
	From fleet.Sign `json:"from"`
	// Rows are the sender's requests under way at endpoints.
	Rows []ledger.Row `json:"rows,omitempty"`
	// Readings are the prompt parts that the sender lately had endpoints read.
	Readings []ledger.Reading `json:"read,omitempty"`
}

// Controller sends and receives beats.
type Controller struct {
	board    *blackboard.Edge
	gateways *fleet.Gateways
	ledger   *ledger.Ledger
	conn     net.PacketConn
	logger   *log.Logger
	// newer is called when another gateway holds a newer configuration.
	newer func()
	seq   atomic.Uint64
	turn  int
}

// New returns the controller, which beats over conn.
func New(board *blackboard.Edge, gateways *fleet.Gateways, accounts *ledger.Ledger, conn net.PacketConn, newer func(), logger *log.Logger) *Controller {
	return &Controller{board: board, gateways: gateways, ledger: accounts, conn: conn, newer: newer, logger: logger}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "beats" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		<-t.Dying()
		return c.conn.Close()
	})
	t.Go(func() error { return c.receive(ctx) })
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		_, changed := c.board.Lifecycle.Watch()
		c.send()
		select {
		case <-t.Dying():
			return nil
		case <-changed:
			// Other regions are told of this at once, too.
			c.turn = -1
		case <-ticker.C:
		}
	}
}

func (c *Controller) sign() fleet.Sign {
	state := c.board.Lifecycle.Get()
	s := fleet.Sign{
		Gateway: c.gateways.Self(),
		Seq:     c.seq.Add(1),
		Ready:   state == blackboard.Serving,
		Leaving: state == blackboard.Draining || state == blackboard.Stopped,
	}
	if routes := c.board.Routes.Get(); routes != nil {
		s.Routes = routes.Version
	}
	return s
}

// send beats to the gateways of the region, and at times to the others.
func (c *Controller) send() {
	now := time.Now()
	beat := Beat{From: c.sign(), Rows: c.ledger.Rows(now), Readings: c.ledger.Readings(told*interval, now)}
	own := c.gateways.Self().Region
	c.sendTo(c.gateways.Addressable(own), beat)
	c.turn++
	if c.turn%farEvery != 0 {
		return
	}
	beat.Readings = c.ledger.Readings(told*farEvery*interval, now)
	for _, region := range c.gateways.Regions() {
		if region != own {
			c.sendTo(c.gateways.Addressable(region), beat)
		}
	}
}

// told is the number of beats that tell of a reading: one may be lost.
const told = 2

func (c *Controller) sendTo(peers []fleet.Sign, beat Beat) {
	body, err := json.Marshal(beat)
	if err != nil {
		c.logger.Error("beat not encoded", "err", err)
		return
	}
	for _, p := range peers {
		c.sendBody(p.Beat, body)
	}
}

func (c *Controller) sendBody(address string, body []byte) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		c.logger.Warn("beat address not usable", "address", address, "err", err)
		return
	}
	sent.Inc()
	if _, err := c.conn.WriteTo(body, to); err != nil {
		c.logger.Debug("beat not sent", "to", address, "err", err)
	}
}

func (c *Controller) receive(ctx context.Context) error {
	buffer := make([]byte, maxBeatBytes)
	for {
		n, _, err := c.conn.ReadFrom(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			c.logger.Warn("beat not received", "err", err)
			continue
		}
		var b Beat
		if err := json.Unmarshal(buffer[:n], &b); err != nil {
			malformed.Inc()
			continue
		}
		c.hear(b)
	}
}

func (c *Controller) hear(b Beat) {
	heard.Inc()
	c.ledger.Hear(b.From.ID, b.Rows, time.Now())
	c.ledger.HearReadings(b.Readings, time.Now())
	if c.gateways.Hear(b.From, time.Now()) {
		c.logger.Info("gateway heard", "id", b.From.ID, "region", b.From.Region)
	}
	if routes := c.board.Routes.Get(); b.From.Routes > 0 && (routes == nil || routes.Version < b.From.Routes) {
		c.newer()
	}
}
