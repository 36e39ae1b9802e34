package heartbeat

import (
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
)

// hurry makes the next round bring other regions, too.
func (c *Controller) hurry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn += farEvery - 1 - c.turn%farEvery
}

// sign returns what this gateway says of itself.
func (c *Controller) sign() fleet.GatewayStatus {
	state := c.Board.Lifecycle.Get()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return fleet.GatewayStatus{
		Gateway:          c.Gateways.Self(),
		Seq:              c.seq,
		Ready:            state == blackboard.Serving,
		Leaving:          state == blackboard.Draining || state == blackboard.Stopped,
		StoreUnreachable: c.Gateways.IsStoreUnreachable(time.Now()),
	}
}

// round says what one round of beats brings.
type round struct {
	// large says that it is sent in a large region, far that it brings other
	// regions, list that digests list their members.
	large, far, list bool
	turn             int
}

// nextRound counts the rounds.
func (c *Controller) nextRound() round {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	c.welcomed = 0
	return round{
		turn:  c.turn,
		large: c.turn%largeEvery == 0,
		far:   c.turn%farEvery == 0,
		list:  c.turn%(farEvery*membersEvery) == 0,
	}
}

// beat sends one round of beats.
func (c *Controller) beat(now time.Time) {
	r := c.nextRound()
	self := c.sign()
	rows := c.Loads.Loads(now)
	b := Message{From: self, Rows: rows}
	if c.Gateways.IsStoreReader(now) {
		word := c.OwnStoreStatus(now)
		b.Word = &word
	}
	hubs := c.Gateways.Hubs(self.Region, now)
	rank := slices.Index(hubs, self.ID)
	switch {
	case c.Gateways.IsFullMesh():
		if rank >= 0 {
			b.Digests = c.passOn(now)
		}
		b.Readings = c.Loads.CachedPrefixes(told*interval, now)
		if d := c.members(self, r.list, now); d.Members != nil {
			b.Digests = append(b.Digests, d)
		}
		c.send(c.Gateways.Known(self.Region), b)
	case r.large || self.Leaving:
		c.beatLarge(b, hubs, rank, r, now)
	}
	if r.far && (rank >= 0 || self.Leaving) {
		c.beatFar(self, rows, max(rank, 0), r, now)
	}
	c.askSeeds(b, r.turn)
}

// beatLarge beats in a region that is too large for all to beat to all: to the
// hubs, and from one of the hubs in turn to all.
func (c *Controller) beatLarge(b Message, hubs []string, rank int, r round, now time.Time) {
	own := b.From.Region
	c.noteTold(b.Rows)
	b.Readings = c.Loads.CachedPrefixes(told*largeEvery*interval, now)
	c.send(c.named(hubs), b)
	c.send(c.someMissing(own, r, now), b)
	if rank < 0 || r.turn/largeEvery%len(hubs) != rank {
		return
	}
	b.Digests = append(c.passOn(now), c.digest(b.From, b.Rows, told*largeEvery*interval, r.list, now))
	b.Readings = nil
	c.send(c.Gateways.Known(own), b)
}

// missingPerRound is the number of missing gateways that a round also goes to.
const missingPerRound = 2

// someMissing returns some of the region's gateways that are known and not
// alive, others in each round: whoever is left out finds back by this.
func (c *Controller) someMissing(region string, r round, now time.Time) []fleet.GatewayStatus {
	missing := c.Gateways.NotAlive(region, now)
	if len(missing) <= missingPerRound {
		return missing
	}
	from := r.turn * missingPerRound % len(missing)
	return append(missing[from:], missing[:from]...)[:missingPerRound]
}

// beatFar tells the hubs of the other regions of this one. Each hub tells those
// of a region in turn, and never both hubs the same one, so that any may fail.
func (c *Controller) beatFar(self fleet.GatewayStatus, rows []endpointload.EndpointLoad, rank int, r round, now time.Time) {
	d := c.digest(self, rows, told*farEvery*interval, r.list, now)
	b := Message{From: self, Digests: []RegionSummary{d}}
	for _, region := range c.Gateways.Regions() {
		if region == self.Region {
			continue
		}
		c.send(c.someMissing(region, r, now), b)
		if hubs := c.named(c.Gateways.Hubs(region, now)); len(hubs) > 0 {
			c.send(hubs[(rank+r.turn/farEvery)%len(hubs):][:1], b)
		}
	}
}

// askRounds is the number of rounds in which a gateway asks the seeds for
// others, askEvery that between two times.
const (
	askRounds = 16
	askEvery  = 4
)

// askSeeds asks the seeds which gateways there are: at the start, when they may
// not have heard of the others yet, and while none is known.
func (c *Controller) askSeeds(b Message, turn int) {
	if turn%askEvery != 1 || turn > askRounds && len(c.Gateways.Regions()) > 0 {
		return
	}
	var seeds []fleet.GatewayStatus
	for _, address := range c.Seeds {
		if address != c.Gateways.Self().HeartbeatAddress {
			seeds = append(seeds, fleet.GatewayStatus{Gateway: fleet.Gateway{HeartbeatAddress: address}})
		}
	}
	b.Ask = true
	c.send(seeds, b)
}

// welcome answers a gateway that has just been heard, or asks, with the
// gateways of its region and those that speak for the others. A hub of its own
// region tells it of all.
func (c *Controller) welcome(to fleet.GatewayStatus, now time.Time) {
	self := c.sign()
	members := c.Gateways.Alive(to.Region, now)
	all := to.Region == self.Region && c.Gateways.IsHub(now)
	for _, region := range c.Gateways.Regions() {
		switch {
		case region == to.Region:
		case all:
			members = append(members, c.Gateways.Alive(region, now)...)
		default:
			members = append(members, c.named(c.Gateways.Hubs(region, now))...)
		}
	}
	b := Message{From: self, Known: members}
	if c.Gateways.IsStoreReader(now) {
		word := c.OwnStoreStatus(now)
		b.Word = &word
	}
	c.send([]fleet.GatewayStatus{to}, b)
}

// digest sums up the own region.
func (c *Controller) digest(self fleet.GatewayStatus, rows []endpointload.EndpointLoad, readings time.Duration, list bool, now time.Time) RegionSummary {
	d := c.members(self, list, now)
	d.Rows = c.Loads.RegionLoads(rows, now)
	d.Readings = c.Loads.RegionCachedPrefixes(readings, now)
	return d
}

// members tells who is alive in the own region, in full if list says so or the
// members are new.
func (c *Controller) members(self fleet.GatewayStatus, list bool, now time.Time) RegionSummary {
	d := RegionSummary{Region: self.Region, Hub: self.ID + "/" + self.Incarnation, Seq: self.Seq}
	all := append(c.Gateways.Alive(self.Region, now), self)
	for _, m := range all {
		if !m.Leaving {
			d.Alive = append(d.Alive, m.Compact())
		}
	}
	if list || c.areNew(d.Alive, now) {
		d.Members = append(all, c.Gateways.RecentlyLeft(self.Region, now)...)
	}
	return d
}

// tellNew is how long new members are told of in full.
const tellNew = 2 * largeEvery * interval

// areNew says whether the members have changed lately.
func (c *Controller) areNew(alive []fleet.CompactStatus, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.listed, alive) {
		c.listed, c.listedAt = alive, now
	}
	return now.Sub(c.listedAt) < tellNew
}

// passOn returns the digests of other regions that came since the last time.
func (c *Controller) passOn(now time.Time) []RegionSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []RegionSummary
	for _, h := range c.foreign {
		if now.Sub(h.at) > fleet.SilenceTimeout || h.passed {
			continue
		}
		h.passed = true
		d := h.RegionSummary
		d.AgeMillis = now.Sub(h.at).Milliseconds()
		out = append(out, d)
	}
	return out
}

// noteTold remembers what the hubs were told of this gateway.
func (c *Controller) noteTold(rows []endpointload.EndpointLoad) {
	own := make(map[string]endpointload.EndpointLoad, len(rows))
	for _, r := range rows {
		own[r.ID] = r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = own
}

// named returns the gateways with the given ids that are known.
func (c *Controller) named(ids []string) []fleet.GatewayStatus {
	out := make([]fleet.GatewayStatus, 0, len(ids))
	for _, id := range ids {
		if s, ok := c.Gateways.Get(id); ok {
			out = append(out, s)
		}
	}
	return out
}

func (c *Controller) send(peers []fleet.GatewayStatus, b Message) {
	if len(peers) == 0 {
		return
	}
	body, err := json.Marshal(b)
	if err != nil {
		c.Logger.Error("beat not encoded", "err", err)
		return
	}
	for _, p := range peers {
		c.sendTo(p.HeartbeatAddress, body)
	}
}

func (c *Controller) sendTo(address string, body []byte) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		c.Logger.Warn("beat address not usable", "address", address, "err", err)
		return
	}
	sent.Inc()
	sentBytes.Add(int64(len(body)))
	if _, err := c.Conn.WriteTo(body, to); err != nil {
		c.Logger.Warn("beat not sent", "bytes", len(body), "to", address, "err", err)
	}
}
