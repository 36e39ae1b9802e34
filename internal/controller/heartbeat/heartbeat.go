// Package heartbeat is the controller that exchanges heartbeats between gateways.
// Heartbeats are datagrams that show that the sender is alive and carry the state
// that its peers need at once. Each one repeats the whole current state, so that
// the loss of a single datagram does no harm.
//
// In a small region the gateways form a full mesh. In a large region gateways send
// heartbeats to two hubs, which send a summary to all of them. Hubs also exchange
// summaries with the hubs of other regions and pass them on within their own.
package heartbeat

import (
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/datagram"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// interval is the time between two rounds of heartbeats.
	interval = 150 * time.Millisecond
	// In a large region heartbeats are sent within the region every
	// largeRegionRounds rounds only. Every remoteRounds rounds heartbeats go to
	// other regions.
	largeRegionRounds = 3
	remoteRounds      = 3
	// One of fullSummaryRounds summaries of a small region describes all members in
	// full.
	fullSummaryRounds = 12
	// cachedPrefixRepeats is the number of heartbeats that carry the same cached
	// prefix: one of them may be lost.
	cachedPrefixRepeats = 2
	// maxDatagramBytes is the size of the largest datagram that is received whole.
	maxDatagramBytes = 60 << 10
)

var (
	sent      = telemetry.NewCounter("beats_sent", "beats", "heartbeats sent to other gateways")
	sentBytes = telemetry.NewCounter("beats_sent_bytes", "bytes", "size of the heartbeats sent")
	received  = telemetry.NewCounter("beats_heard", "beats", "heartbeats received from other gateways")
	malformed = telemetry.NewCounter("beats_malformed", "beats", "datagrams that are not heartbeats of a known gateway")
)

// Config holds what the controller uses.
type Config struct {
	Board       *blackboard.Edge
	Gateways    *fleet.Gateways
	Registry    *fleet.Registry
	Loads       *endpointload.Tracker
	StoreStatus *fleet.LatestStoreStatus
	// Quarantine and RequestQuarantine track prompt segments and requests that crash
	// endpoints.
	Quarantine        *quarantine.Tracker
	RequestQuarantine *quarantine.Tracker
	Limits            *requestlimit.Tracker
	// OwnStoreStatus returns what this gateway itself has read from the store. It
	// is called while this gateway is the store reader.
	OwnStoreStatus func(now time.Time) fleet.StoreStatus
	// Conn carries the heartbeats. Run closes it.
	Conn net.PacketConn
	// Seeds are the heartbeat addresses of gateways to contact first. They need
	// not be alive.
	Seeds  []string
	Logger *log.Logger
}

// Controller sends and receives heartbeats.
type Controller struct {
	Config

	mu    sync.Mutex
	seq   uint64
	round int
	// remoteSummaries holds the newest summary of each other region.
	remoteSummaries map[string]*receivedSummary
	// introductions counts the introductions asked for since the last round.
	introductions int
	// lastSentLoads are the loads of this gateway, by endpoint, that the hubs were
	// last sent.
	lastSentLoads map[string]endpointload.EndpointLoad

	// memberJoined is set if a gateway of this region has become alive: it lacks the
	// lists that summaries leave out.
	memberJoined bool
	// namedHubs are the hubs that other gateways have named since the last round.
	namedHubs []string
	// aliveLists completes summaries that leave out their list.
	aliveLists aliveLists

	// localDescriber is for summaries to this region, remoteDescriber for those to
	// other regions. Only the goroutine that sends the rounds uses them.
	localDescriber, remoteDescriber *describer
	// nextProbe is where the next round's choice of gateways that are not alive begins.
	nextProbe int
	// lastRemoteHubs are the hubs of other regions that the last round went to.
	lastRemoteHubs []string
	// unreadable holds the gateways whose heartbeats this one can't read in full. Only the
	// goroutine that receives uses it.
	unreadable unreadableSenders
	// broadcasts are the summaries that sendBroadcasts has yet to send.
	broadcasts chan broadcast
}

type receivedSummary struct {
	RegionSummary
	createdAt time.Time
	// relayed is set if the summary has been passed on within this region, or came
	// from a gateway of this region, so that it must not be passed on again.
	relayed bool
	// unrelayed are the members that came from the other region and have not been
	// passed on.
	unrelayed []fleet.GatewayStatus
	// describer chooses when the list of living members is passed on.
	describer *describer
}

// New returns the controller.
func New(c Config) *Controller {
	return &Controller{
		Config: c, remoteSummaries: make(map[string]*receivedSummary),
		aliveLists: make(aliveLists), unreadable: make(unreadableSenders), localDescriber: newDescriber(), remoteDescriber: newDescriber(),
		broadcasts: make(chan broadcast, maxQueuedBroadcasts),
	}
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
	t.Go(func() error { return c.sendBroadcasts(t) })
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		_, changed := c.Board.Lifecycle.Watch()
		c.sendRound(time.Now())
		c.logQuarantine()
		for _, s := range c.Gateways.NewlySilent(time.Now()) {
			c.Logger.Warn("gateway stopped sending heartbeats", "id", s.ID, "region", s.Region, "leaving", s.Leaving)
		}
		select {
		case <-t.Dying():
			return nil
		case <-changed:
			c.includeRemoteNext()
		case <-ticker.C:
		}
	}
}

// logQuarantine writes one line for each prompt segment and each request that has been held
// or released since the last round.
func (c *Controller) logQuarantine() {
	for _, change := range c.Quarantine.TakeChanges() {
		c.Logger.Warn("prompt segment", "segment", change.Key, "change", change.Kind, "crashes", change.Crashes, "reported", change.Reported)
	}
	for _, change := range c.RequestQuarantine.TakeChanges() {
		c.Logger.Warn("request that crashes endpoints", "key", change.Key, "change", change.Kind, "crashes", change.Crashes, "reported", change.Reported)
	}
}

func (c *Controller) receive() error {
	datagram.Receive(c.Conn, maxDatagramBytes, c.Logger, func(body []byte, from net.Addr) {
		c.receiveDatagram(body, from, time.Now())
	})
	return nil
}

// applyMessage merges a heartbeat. A gateway that was not known to be alive gets a
// response at once, so that it learns of the others.
func (c *Controller) applyMessage(m Message, now time.Time) {
	received.Inc()
	own := c.Gateways.Self().Region
	if m.From.ID == c.Gateways.Self().ID {
		return
	}
	becameAlive := c.Gateways.ApplyStatus(m.From, now)
	if becameAlive {
		c.Logger.Info("gateway is alive", "id", m.From.ID, "region", m.From.Region, "ready", m.From.Ready)
	}
	if becameAlive && m.From.Region == own {
		c.mu.Lock()
		c.memberJoined = true
		c.mu.Unlock()
	}
	if (becameAlive || m.RequestKnown) && c.mayIntroduce() {
		c.introduce(m.From, now)
	}
	if m.Unreadable != nil {
		c.logRefused(m.From, *m.Unreadable)
	}
	if m.From.Region == own {
		c.recordNamedHubs(m.Hubs)
		switch {
		case !m.ToHub:
			// Introductions and the like carry no loads; that doesn't mean that the
			// sender has none.
		case c.Gateways.IsFullMesh() || c.Gateways.IsHub(now):
			// Other gateways get the sums from the hubs instead.
			c.Loads.ApplyGatewayLoads(m.From.ID, m.Loads, now)
		case c.mayIntroduce():
			c.nameHubs(m.From, now)
		}
		if m.StoreStatus != nil {
			c.StoreStatus.Set(m.From.ID, *m.StoreStatus, now)
		}
		for _, l := range m.RequestLimits {
			if c.Limits.Apply(l, now) {
				c.Logger.Info("endpoint has a new request limit, as a peer says", "endpoint", l.ID, "per_second", l.PerSecond, "lifted", l.Lifted, "gateway", m.From.ID)
			}
		}
	}
	c.Loads.ApplyCachedPrefixes(m.CachedPrefixes, m.From.Region == own, now)
	c.Gateways.AddKnown(m.Known)
	c.Quarantine.Apply(m.Quarantine, now)
	c.RequestQuarantine.Apply(m.RequestQuarantine, now)
	for _, e := range m.LeavingEndpoints {
		if c.Registry.MarkLeaving(e.ID, e.Incarnation, now) {
			c.Logger.Info("endpoint is leaving, as a peer says", "id", e.ID, "gateway", m.From.ID)
		}
	}
	if found := c.Registry.ApplyRefused(m.RefusedEndpoints, now); len(found) > 0 {
		c.Logger.Info("endpoints refuse connections, as a peer says", "ids", found, "gateway", m.From.ID)
	}
	for _, summary := range m.Summaries {
		c.applySummary(m.From, summary, now)
	}
}

// recordNamedHubs records the hubs that another gateway names.
func (c *Controller) recordNamedHubs(ids []string) {
	if len(ids) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.namedHubs = ids
}

// maxIntroductions limits the introductions sent between two rounds.
const maxIntroductions = 32

func (c *Controller) mayIntroduce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.introductions++
	return c.introductions <= maxIntroductions
}

// applySummary merges a region summary. A summary of this gateway's own region only
// adds unknown members if this gateway gets the heartbeats of the members
// themselves, as in a full mesh or as a hub.
func (c *Controller) applySummary(from fleet.GatewayStatus, summary RegionSummary, now time.Time) {
	own := c.Gateways.Self().Region
	if summary.Region == own {
		if from.Region != own {
			return
		}
		c.Gateways.AddKnown(summary.Members)
		if !c.Gateways.IsFullMesh() && !c.Gateways.IsHub(now) {
			c.applyMembers(summary, now)
			c.Loads.ApplyRegionLoads(own, c.withoutOwnLoads(summary.Loads), now)
			c.Loads.ApplyCachedPrefixes(summary.CachedPrefixes, false, now)
		}
		return
	}
	createdAt := now.Add(-time.Duration(summary.AgeMillis) * time.Millisecond)
	if !c.storeSummary(summary, createdAt, from.Region != own) {
		c.Gateways.AddKnown(summary.Members)
		return
	}
	c.applyMembers(summary, createdAt)
	c.Loads.ApplyRegionLoads(summary.Region, summary.Loads, createdAt)
	c.Loads.ApplyCachedPrefixes(summary.CachedPrefixes, false, now)
}

// applyMembers merges what a summary that was created at the given time says of the
// members of its region. Without its list of living members it says nothing about who
// is alive.
func (c *Controller) applyMembers(summary RegionSummary, at time.Time) {
	c.mu.Lock()
	alive, known := c.aliveLists.complete(summary)
	c.mu.Unlock()
	if !known {
		c.Gateways.AddKnown(summary.Members)
		return
	}
	c.Gateways.ApplyRegionSummary(summary.Region, alive, summary.Members, at)
}

// storeSummary stores a summary of another region, and reports whether it is newer
// than the stored one. isDirect says that it came from another region; then the members
// that it describes are passed on, whatever becomes of the rest.
func (c *Controller) storeSummary(summary RegionSummary, createdAt time.Time, isDirect bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.remoteSummaries[summary.Region]
	if !ok {
		old = &receivedSummary{describer: newDescriber()}
		c.remoteSummaries[summary.Region] = old
	}
	if isDirect {
		old.unrelayed = mergeMembers(old.unrelayed, summary.Members)
	}
	if ok && (old.Hub == summary.Hub && old.Seq >= summary.Seq || !createdAt.After(old.createdAt)) {
		return false
	}
	old.RegionSummary, old.createdAt, old.relayed = summary, createdAt, !isDirect
	return true
}

// withoutOwnLoads subtracts the loads that this gateway last sent to the hubs from
// the sums of its region.
func (c *Controller) withoutOwnLoads(loads []endpointload.EndpointLoad) []endpointload.EndpointLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]endpointload.EndpointLoad, 0, len(loads))
	for _, r := range loads {
		out = append(out, r.Sub(c.lastSentLoads[r.ID]))
	}
	return out
}
