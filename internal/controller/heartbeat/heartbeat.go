// Package heartbeat is the controller by which gateways tell each other of
// themselves in datagrams: that they live, and what they know that others need
// at once. Beats repeat all of it, so that a lost one does no harm.
//
// In a small region every gateway beats to every other one. In a large region
// gateways beat to two hubs, which tell all of them the sum. Hubs also swap
// sums with the hubs of other regions and pass these on in their own.
package heartbeat

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/datagram"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// interval is the time between two beats.
	interval = 150 * time.Millisecond
	// largeEvery is the number of beats of which one is sent in a large region,
	// farEvery that of which one brings other regions.
	largeEvery = 3
	farEvery   = 3
	// membersEvery is the number of digests of which one lists the gateways.
	membersEvery = 12
	// told is the number of beats that tell of a reading: one may be lost.
	told = 2
	// maxBeatBytes bounds a datagram.
	maxBeatBytes = 60 << 10
)

var (
	sent      = telemetry.NewCounter("beats_sent", "beats", "beats sent to other gateways")
	sentBytes = telemetry.NewCounter("beats_sent_bytes", "bytes", "size of the beats sent")
	heard     = telemetry.NewCounter("beats_heard", "beats", "beats received from other gateways")
	malformed = telemetry.NewCounter("beats_malformed", "beats", "datagrams that are no beat")
)

// Config is what the controller works with.
type Config struct {
	Board       *blackboard.Edge
	Gateways    *fleet.Gateways
	Loads       *endpointload.Tracker
	StoreStatus *fleet.LatestStoreStatus
	// OwnStoreStatus returns what this gateway has read from the store.
	OwnStoreStatus func(now time.Time) fleet.StoreStatus
	// Conn carries the beats.
	Conn net.PacketConn
	// Seeds are the beat addresses of a few gateways that may be alive.
	Seeds  []string
	Logger *log.Logger
}

// Controller sends and receives beats.
type Controller struct {
	Config

	mu   sync.Mutex
	seq  uint64
	turn int
	// foreign holds the newest digest of each other region.
	foreign map[string]*heardDigest
	// listed holds the members as of listedAt, when they last changed.
	listed   []fleet.CompactStatus
	listedAt time.Time
	// welcomed counts the gateways that were welcomed since the last round.
	welcomed int
	// own is what the hubs were last told of this gateway.
	own map[string]endpointload.EndpointLoad
}

type heardDigest struct {
	RegionSummary
	at time.Time
	// passed says that it has been passed on.
	passed bool
}

// New returns the controller.
func New(c Config) *Controller {
	return &Controller{Config: c, foreign: make(map[string]*heardDigest)}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "beats" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	t.Go(func() error {
		<-t.Dying()
		return c.Conn.Close()
	})
	t.Go(c.receive)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		_, changed := c.Board.Lifecycle.Watch()
		c.beat(time.Now())
		for _, s := range c.Gateways.NewlySilent(time.Now()) {
			c.Logger.Warn("gateway silent", "id", s.ID, "region", s.Region, "leaving", s.Leaving)
		}
		select {
		case <-t.Dying():
			return nil
		case <-changed:
			c.hurry()
		case <-ticker.C:
		}
	}
}

func (c *Controller) receive() error {
	datagram.Receive(c.Conn, maxBeatBytes, c.Logger, func(body []byte, _ net.Addr) {
		var b Message
		if err := json.Unmarshal(body, &b); err != nil {
			malformed.Inc()
			return
		}
		c.hear(b, time.Now())
	})
	return nil
}

// hear takes in a beat. A gateway that was not known to be alive is answered
// at once, so that it learns of the others.
func (c *Controller) hear(b Message, now time.Time) {
	heard.Inc()
	own := c.Gateways.Self().Region
	if b.From.ID == c.Gateways.Self().ID {
		return
	}
	fresh := c.Gateways.ApplyStatus(b.From, now)
	if fresh {
		c.Logger.Info("gateway heard", "id", b.From.ID, "region", b.From.Region, "ready", b.From.Ready)
	}
	if (fresh || b.Ask) && c.mayWelcome() {
		c.welcome(b.From, now)
	}
	if b.From.Region == own {
		if c.Gateways.IsFullMesh() || c.Gateways.IsHub(now) {
			// All others know the sums.
			c.Loads.ApplyGatewayLoads(b.From.ID, b.Rows, now)
		}
		if b.Word != nil {
			c.StoreStatus.Set(b.From.ID, *b.Word, now)
		}
	}
	c.Loads.ApplyCachedPrefixes(b.Readings, b.From.Region == own, now)
	c.Gateways.AddKnown(b.Known)
	for _, d := range b.Digests {
		c.hearDigest(b.From, d, now)
	}
}

// maxWelcomes bounds the gateways that are welcomed between two rounds.
const maxWelcomes = 32

func (c *Controller) mayWelcome() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.welcomed++
	return c.welcomed <= maxWelcomes
}

// hearDigest takes in what a hub tells of a region.
func (c *Controller) hearDigest(from fleet.GatewayStatus, d RegionSummary, now time.Time) {
	own := c.Gateways.Self().Region
	if d.Region == own {
		if from.Region != own {
			return
		}
		c.Gateways.AddKnown(d.Members)
		if !c.Gateways.IsFullMesh() && !c.Gateways.IsHub(now) {
			c.Gateways.ApplyRegionSummary(own, d.Alive, d.Members, now)
			c.Loads.ApplyRegionLoads(own, c.withoutOwn(d.Rows), now)
			c.Loads.ApplyCachedPrefixes(d.Readings, false, now)
		}
		return
	}
	made := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)
	if !c.keep(d, made, from.Region != own) {
		return
	}
	c.Gateways.ApplyRegionSummary(d.Region, d.Alive, d.Members, made)
	c.Loads.ApplyRegionLoads(d.Region, d.Rows, made)
	c.Loads.ApplyCachedPrefixes(d.Readings, false, now)
}

// keep stores a digest of another region unless a newer one is held.
func (c *Controller) keep(d RegionSummary, made time.Time, direct bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.foreign[d.Region]
	if ok && (old.Hub == d.Hub && old.Seq >= d.Seq || !made.After(old.at)) {
		return false
	}
	if ok && !old.passed && d.Members == nil {
		// What has not been passed on yet must not be lost.
		d.Members = old.Members
	}
	c.foreign[d.Region] = &heardDigest{RegionSummary: d, at: made, passed: !direct}
	return true
}

// withoutOwn takes this gateway's own part out of the sums of its region.
func (c *Controller) withoutOwn(rows []endpointload.EndpointLoad) []endpointload.EndpointLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]endpointload.EndpointLoad, 0, len(rows))
	for _, r := range rows {
		out = append(out, r.Sub(c.own[r.ID]))
	}
	return out
}
