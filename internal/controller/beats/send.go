package beats

import (
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/ledger"
)

// hurry makes the next beat bring all that beats can bring.
func (c *Controller) hurry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn = -1
}

// sign returns what this gateway says of itself.
func (c *Controller) sign() fleet.Sign {
	state := c.Board.Lifecycle.Get()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return fleet.Sign{
		Gateway: c.Gateways.Self(),
		Seq:     c.seq,
		Ready:   state == blackboard.Serving,
		Leaving: state == blackboard.Draining || state == blackboard.Stopped,
	}
}

// round says what one round of beats brings.
type round struct {
	// large says that it is sent in a large region, far that it brings other
	// regions, list that digests list their members.
	large, far, list bool
}

// nextRound counts the rounds.
func (c *Controller) nextRound() round {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	return round{
		large: c.turn%largeEvery == 0,
		far:   c.turn%farEvery == 0,
		list:  c.turn%(farEvery*membersEvery) == 0,
	}
}

// beat sends one round of beats.
func (c *Controller) beat(now time.Time) {
	r := c.nextRound()
	self := c.sign()
	rows := c.Ledger.Rows(now)
	b := Beat{From: self, Rows: rows}
	if c.Gateways.IsReader(now) {
		word := c.Word(now)
		b.Word = &word
	}
	hubs := c.Gateways.Hubs(self.Region, now)
	rank := slices.Index(hubs, self.ID)
	switch {
	case c.Gateways.IsMesh():
		if rank >= 0 && r.far {
			b.Digests = c.passOn(now)
		}
		b.Readings = c.Ledger.Readings(told*interval, now)
		c.send(c.Gateways.Addressable(self.Region), b)
	case r.large || self.Leaving:
		c.beatLarge(b, hubs, rank, r, now)
	}
	if r.far && (rank >= 0 || self.Leaving) {
		c.beatFar(self, rows, max(rank, 0), r.list, now)
	}
	c.beatSeeds(b)
}

// beatLarge beats in a region that is too large for all to beat to all: to the
// hubs, and from the first hub to all.
func (c *Controller) beatLarge(b Beat, hubs []string, rank int, r round, now time.Time) {
	c.noteTold(b.Rows)
	b.Readings = c.Ledger.Readings(told*largeEvery*interval, now)
	c.send(c.named(hubs), b)
	if rank != 0 {
		return
	}
	b.Digests = append(c.passOn(now), c.digest(b.From, b.Rows, told*largeEvery*interval, r.list, now))
	b.Rows, b.Readings = nil, nil
	c.send(c.Gateways.Addressable(b.From.Region), b)
}

// beatFar tells the hubs of the other regions of this one. The first hub tells
// the first, the second the second, so that one of each may fail.
func (c *Controller) beatFar(self fleet.Sign, rows []ledger.Row, rank int, list bool, now time.Time) {
	d := c.digest(self, rows, told*farEvery*interval, list, now)
	b := Beat{From: self, Digests: []Digest{d}}
	for _, region := range c.Gateways.Regions() {
		if region == self.Region {
			continue
		}
		hubs := c.named(c.Gateways.Hubs(region, now))
		if len(hubs) == 0 {
			// None is known to be alive: whoever hears this answers.
			c.send(c.Gateways.Addressable(region), b)
			continue
		}
		c.send(hubs[rank%len(hubs):][:1], b)
	}
}

// beatSeeds beats to the seeds while no other gateway is known.
func (c *Controller) beatSeeds(b Beat) {
	if len(c.Gateways.Regions()) > 0 {
		return
	}
	var seeds []fleet.Sign
	for _, address := range c.Seeds {
		if address != c.Gateways.Self().Beat {
			seeds = append(seeds, fleet.Sign{Gateway: fleet.Gateway{Beat: address}})
		}
	}
	c.send(seeds, b)
}

// welcome answers a gateway that has just been heard.
func (c *Controller) welcome(to fleet.Sign, now time.Time) {
	self := c.sign()
	b := Beat{From: self}
	b.Digests = append(c.passOnAll(now), c.digest(self, c.Ledger.Rows(now), 0, true, now))
	c.send([]fleet.Sign{to}, b)
}

// digest sums up the own region.
func (c *Controller) digest(self fleet.Sign, rows []ledger.Row, readings time.Duration, list bool, now time.Time) Digest {
	d := Digest{
		Region:   self.Region,
		Hub:      self.ID + "/" + self.Incarnation,
		Seq:      self.Seq,
		Rows:     c.Ledger.Total(rows, now),
		Readings: c.Ledger.AllReadings(readings, now),
	}
	members := append(c.Gateways.Alive(self.Region, now), self)
	if list || c.changedMembers(members) {
		d.Members = members
	}
	return d
}

// changedMembers says whether the members differ from those listed last.
func (c *Controller) changedMembers(members []fleet.Sign) bool {
	parts := make([]string, 0, len(members))
	for _, m := range members {
		mark := ""
		if m.Ready {
			mark = "+"
		}
		if m.Leaving {
			mark = "-"
		}
		parts = append(parts, m.ID+"/"+m.Incarnation+mark)
	}
	set := strings.Join(parts, " ")
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := set != c.listed
	c.listed = set
	return changed
}

// passOn returns the digests of other regions that came since the last time.
func (c *Controller) passOn(now time.Time) []Digest {
	return c.digests(now, func(h *heardDigest) bool { return !h.passed })
}

func (c *Controller) passOnAll(now time.Time) []Digest {
	return c.digests(now, func(*heardDigest) bool { return true })
}

func (c *Controller) digests(now time.Time, keep func(*heardDigest) bool) []Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Digest
	for _, h := range c.foreign {
		if now.Sub(h.at) > fleet.SilentAfter || !keep(h) {
			continue
		}
		h.passed = true
		d := h.Digest
		d.Members = h.members
		d.AgeMillis = now.Sub(h.at).Milliseconds()
		out = append(out, d)
	}
	return out
}

// noteTold remembers what the hubs were told of this gateway.
func (c *Controller) noteTold(rows []ledger.Row) {
	own := make(map[string]ledger.Row, len(rows))
	for _, r := range rows {
		own[r.ID] = r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = own
}

// named returns the gateways with the given ids that are known.
func (c *Controller) named(ids []string) []fleet.Sign {
	out := make([]fleet.Sign, 0, len(ids))
	for _, id := range ids {
		if s, ok := c.Gateways.Get(id); ok {
			out = append(out, s)
		}
	}
	return out
}

func (c *Controller) send(peers []fleet.Sign, b Beat) {
	if len(peers) == 0 {
		return
	}
	body, err := json.Marshal(b)
	if err != nil {
		c.Logger.Error("beat not encoded", "err", err)
		return
	}
	for _, p := range peers {
		c.sendTo(p.Beat, body)
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
		c.Logger.Debug("beat not sent", "to", address, "err", err)
	}
}
