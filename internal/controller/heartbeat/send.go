package heartbeat

import (
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
)

// includeRemoteNext makes the next round go to other regions as well.
func (c *Controller) includeRemoteNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.round += remoteRounds - 1 - c.round%remoteRounds
}

// ownStatus returns the status of this gateway with the next sequence number.
func (c *Controller) ownStatus() fleet.GatewayStatus {
	state := c.Board.Lifecycle.Get()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return fleet.GatewayStatus{
		Gateway:          c.Gateways.Self(),
		Seq:              c.seq,
		Ready:            state == blackboard.Serving,
		Leaving:          state.IsEnding(),
		StoreUnreachable: c.Gateways.IsStoreUnreachable(time.Now()),
	}
}

// sendPlan says what one round of heartbeats covers.
type sendPlan struct {
	// largeRegion is set if the round is sent within a large region, remote if it
	// goes to other regions, allMembers if summaries describe all members in full.
	largeRegion, remote, allMembers bool
	round                           int
}

// nextPlan starts the next round and returns its plan.
func (c *Controller) nextPlan() sendPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.round++
	c.introductions = 0
	return sendPlan{
		round:       c.round,
		largeRegion: c.round%largeRegionRounds == 0,
		remote:      c.round%remoteRounds == 0,
		allMembers:  c.round%(remoteRounds*fullSummaryRounds) == 0,
	}
}

// sendRound sends one round of heartbeats.
func (c *Controller) sendRound(now time.Time) {
	plan := c.nextPlan()
	self := c.ownStatus()
	loads := c.Loads.Loads(now)
	m := Message{
		From: self, Loads: loads, Quarantine: c.Quarantine.Digest(now), RequestQuarantine: c.RequestQuarantine.Digest(now),
		LeavingEndpoints: c.Registry.NewlyLeaving(now), RefusedEndpoints: c.Registry.NewlyRefused(now),
		RequestLimits: c.Limits.News(now),
	}
	if c.Gateways.IsStoreReader(now) {
		status := c.OwnStoreStatus(now)
		m.StoreStatus = &status
	}
	hubs := c.Gateways.Hubs(self.Region, now)
	hubIndex := slices.Index(hubs, self.ID)
	switch {
	case c.Gateways.IsFullMesh():
		if hubIndex >= 0 {
			m.Summaries = c.takeUnrelayed(now)
		}
		m.CachedPrefixes = c.Loads.CachedPrefixes(cachedPrefixRepeats*interval, now)
		if summary := c.memberSummary(self, c.localDescriber, plan.allMembers, now); summary.Members != nil {
			m.Summaries = append(m.Summaries, summary)
		}
		m.ToHub = true
		c.send(c.Gateways.Known(self.Region), m)
		m.ToHub = false
	case plan.largeRegion || self.Leaving:
		c.sendLargeRegion(m, hubs, hubIndex, plan, now)
	}
	if plan.remote && (hubIndex >= 0 || self.Leaving) {
		c.sendRemote(self, loads, max(hubIndex, 0), plan, now)
	}
	c.askSeeds(m, plan.round)
}

// sendLargeRegion sends heartbeats within a region that is too large for a full
// mesh: from every gateway to the hubs, and from the hubs, which take turns, to all
// gateways. The hubs send what can't wait at once, their summaries as a broadcast.
func (c *Controller) sendLargeRegion(m Message, hubs []string, hubIndex int, plan sendPlan, now time.Time) {
	own := m.From.Region
	c.recordSentLoads(m.Loads)
	m.CachedPrefixes = c.Loads.CachedPrefixes(cachedPrefixRepeats*largeRegionRounds*interval, now)
	m.ToHub = true
	c.send(c.lookUp(c.withNamedHubs(hubs)), m)
	m.ToHub = false
	c.send(c.selectNotAlive(own, now), Message{From: m.From})
	if hubIndex < 0 {
		return
	}
	if plan.round/largeRegionRounds%len(hubs) != hubIndex {
		c.sendStoreStatus(m, hubs)
		return
	}
	c.repeatListsForNewMembers()
	news := Message{
		From: m.From, StoreStatus: m.StoreStatus, Quarantine: m.Quarantine, RequestQuarantine: m.RequestQuarantine,
		LeavingEndpoints: m.LeavingEndpoints, RefusedEndpoints: m.RefusedEndpoints,
		RequestLimits: m.RequestLimits,
	}
	if news.isNews() {
		c.send(c.Gateways.Known(own), news)
	}
	summaries := append(c.takeUnrelayed(now), c.regionSummary(m.From, m.Loads, cachedPrefixRepeats*largeRegionRounds*interval, c.localDescriber, plan.allMembers, now))
	for part := range slices.Chunk(summaries, summariesPerMessage) {
		c.enqueueBroadcast(c.Gateways.Known(own), Message{From: m.From, Summaries: part})
	}
}

// repeatListsForNewMembers lets the next summaries hold the lists of living members if
// a gateway has joined since the last ones.
func (c *Controller) repeatListsForNewMembers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.memberJoined {
		return
	}
	c.memberJoined = false
	c.localDescriber.aliveSummaries = 0
	for _, h := range c.remoteSummaries {
		h.describer.aliveSummaries = 0
	}
}

// sendStoreStatus sends the status of the store reader to all gateways of its region
// but the hubs, which have it, in the rounds in which it sends no summary.
func (c *Controller) sendStoreStatus(m Message, hubs []string) {
	if m.StoreStatus == nil {
		return
	}
	others := slices.DeleteFunc(c.Gateways.Known(m.From.Region), func(s fleet.GatewayStatus) bool { return slices.Contains(hubs, s.ID) })
	c.send(others, Message{From: m.From, StoreStatus: m.StoreStatus})
}

// notAlivePerRound is the number of gateways that are not alive to which a round
// also goes.
const notAlivePerRound = 2

// selectNotAlive returns some of the region's gateways that are known and not
// alive, different ones in each round. Heartbeats to them let a gateway that lost
// contact rejoin.
func (c *Controller) selectNotAlive(region string, now time.Time) []fleet.GatewayStatus {
	missing := c.Gateways.NotAlive(region, now)
	if len(missing) <= notAlivePerRound {
		return missing
	}
	from := c.nextProbe % len(missing)
	c.nextProbe = from + notAlivePerRound
	return append(missing[from:], missing[:from]...)[:notAlivePerRound]
}

// sendRemote sends the summary of this region to the hubs of other regions. Each
// hub alternates between the hubs of a region, and the two hubs never choose the
// same one in a round, so that the failure of any hub cuts off no region.
func (c *Controller) sendRemote(self fleet.GatewayStatus, loads []endpointload.EndpointLoad, hubIndex int, plan sendPlan, now time.Time) {
	c.describeAgainToNewHubs(now)
	summary := c.regionSummary(self, loads, cachedPrefixRepeats*remoteRounds*interval, c.remoteDescriber, plan.allMembers, now)
	m := Message{
		From: self, Summaries: []RegionSummary{summary}, Quarantine: c.Quarantine.Digest(now), RequestQuarantine: c.RequestQuarantine.Digest(now),
		LeavingEndpoints: c.Registry.NewlyLeaving(now),
	}
	for _, region := range c.Gateways.Regions() {
		if region == self.Region {
			continue
		}
		c.send(c.selectNotAlive(region, now), Message{From: self})
		if hubs := c.lookUp(c.Gateways.Hubs(region, now)); len(hubs) > 0 {
			c.send(hubs[(hubIndex+plan.round/remoteRounds)%len(hubs):][:1], m)
		}
	}
}

// describeAgainToNewHubs forgets what other regions have been told if their hubs have
// changed. What was sent to a gateway that is not a hub, or no longer, was not passed
// on.
func (c *Controller) describeAgainToNewHubs(now time.Time) {
	var hubs []string
	for _, region := range c.Gateways.Regions() {
		if region != c.Gateways.Self().Region {
			hubs = append(hubs, c.Gateways.Hubs(region, now)...)
		}
	}
	slices.Sort(hubs)
	if !slices.Equal(hubs, c.lastRemoteHubs) {
		c.lastRemoteHubs, c.remoteDescriber = hubs, newDescriber()
	}
}

// A gateway asks the seeds for other gateways every askInterval rounds within its
// first askRounds rounds, and for longer if it knows none.
const (
	askRounds   = 16
	askInterval = 4
)

// askSeeds asks the seeds which gateways there are. It does so repeatedly after the
// start, since seeds that have just started as well may not know the others yet,
// and as long as this gateway knows no other.
func (c *Controller) askSeeds(m Message, round int) {
	if round%askInterval != 1 || round > askRounds && len(c.Gateways.Regions()) > 0 {
		return
	}
	var seeds []fleet.GatewayStatus
	for _, address := range c.Seeds {
		if address != c.Gateways.Self().HeartbeatAddress {
			seeds = append(seeds, fleet.GatewayStatus{Gateway: fleet.Gateway{HeartbeatAddress: address}})
		}
	}
	m.RequestKnown = true
	c.send(seeds, m)
}

// introduce sends a gateway that has just become alive, or asks for it, the
// gateways of its region and the hubs of the other regions. A hub of the same
// region sends it all gateways.
func (c *Controller) introduce(to fleet.GatewayStatus, now time.Time) {
	self := c.ownStatus()
	members := c.Gateways.Alive(to.Region, now)
	includeAll := to.Region == self.Region && c.Gateways.IsHub(now)
	for _, region := range c.Gateways.Regions() {
		switch {
		case region == to.Region:
		case includeAll:
			members = append(members, c.Gateways.Alive(region, now)...)
		default:
			members = append(members, c.lookUp(c.Gateways.Hubs(region, now))...)
		}
	}
	m := Message{From: self}
	if c.Gateways.IsStoreReader(now) {
		status := c.OwnStoreStatus(now)
		m.StoreStatus = &status
	}
	if to.Region == self.Region {
		m.RequestLimits = c.Limits.All(now)
	}
	if len(members) == 0 {
		c.send([]fleet.GatewayStatus{to}, m)
	}
	for part := range slices.Chunk(members, maxIntroduced) {
		m.Known = part
		c.send([]fleet.GatewayStatus{to}, m)
		m.RequestLimits = nil
	}
}

// nameHubs tells a gateway of this region that takes this one for a hub which gateways
// are. Until the hubs know it, nobody else tells it.
func (c *Controller) nameHubs(to fleet.GatewayStatus, now time.Time) {
	hubs := slices.DeleteFunc(c.lookUp(c.Gateways.Hubs(to.Region, now)), func(s fleet.GatewayStatus) bool { return s.ID == to.ID })
	if len(hubs) == 0 {
		return
	}
	m := Message{From: c.ownStatus(), Known: hubs}
	for _, h := range hubs {
		m.Hubs = append(m.Hubs, h.ID)
	}
	c.send([]fleet.GatewayStatus{to}, m)
}

// withNamedHubs adds the hubs that other gateways have named since the last round, to
// which this gateway may be unknown.
func (c *Controller) withNamedHubs(hubs []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.namedHubs {
		if !slices.Contains(hubs, id) {
			hubs = append(hubs, id)
		}
	}
	c.namedHubs = nil
	return hubs
}

// regionSummary returns the summary of this gateway's region, with the prefixes
// cached within the given time. loads are this gateway's own.
func (c *Controller) regionSummary(self fleet.GatewayStatus, loads []endpointload.EndpointLoad, within time.Duration, d *describer, allMembers bool, now time.Time) RegionSummary {
	summary := c.memberSummary(self, d, allMembers, now)
	summary.Loads = c.Loads.RegionLoads(loads, now)
	summary.CachedPrefixes = c.Loads.RegionCachedPrefixes(within, now)
	return summary
}

// memberSummary returns a summary of the members of this gateway's region without
// loads. It describes those in full that d chooses.
func (c *Controller) memberSummary(self fleet.GatewayStatus, d *describer, allMembers bool, now time.Time) RegionSummary {
	summary := RegionSummary{Region: self.Region, Hub: self.ID + "/" + self.Incarnation, Seq: self.Seq}
	members := append(c.Gateways.Alive(self.Region, now), self)
	for _, m := range members {
		if !m.Leaving {
			summary.Alive = append(summary.Alive, m.Compact())
		}
	}
	if summary.AliveHash = hashAlive(summary.Alive); !d.includeAlive(summary.AliveHash) {
		summary.Alive = nil
	}
	members = append(members, c.Gateways.RecentlyLeft(self.Region, now)...)
	slices.SortFunc(members, func(a, b fleet.GatewayStatus) int { return strings.Compare(a.ID, b.ID) })
	summary.Members = d.choose(members, membersInTurn(len(members), allMembers))
	return summary
}

// takeUnrelayed returns the summaries of other regions that are to be passed on
// within this region, and marks them as passed on.
func (c *Controller) takeUnrelayed(now time.Time) []RegionSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []RegionSummary
	for _, h := range c.remoteSummaries {
		if now.Sub(h.createdAt) > fleet.SilenceTimeout || h.relayed && len(h.unrelayed) == 0 {
			continue
		}
		summary := h.RegionSummary
		summary.AgeMillis = now.Sub(h.createdAt).Milliseconds()
		summary.Members = h.unrelayed
		summary.Alive = nil
		if alive, known := c.aliveLists.complete(h.RegionSummary); known && h.describer.includeAlive(summary.AliveHash) {
			summary.Alive = alive
		}
		h.relayed, h.unrelayed = true, nil
		out = append(out, summary)
	}
	return out
}

// recordSentLoads records the loads of this gateway that were sent to the hubs.
func (c *Controller) recordSentLoads(loads []endpointload.EndpointLoad) {
	own := make(map[string]endpointload.EndpointLoad, len(loads))
	for _, plan := range loads {
		own[plan.ID] = plan
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSentLoads = own
}

// lookUp returns those of the gateways with the given ids that are known.
func (c *Controller) lookUp(ids []string) []fleet.GatewayStatus {
	out := make([]fleet.GatewayStatus, 0, len(ids))
	for _, id := range ids {
		if s, ok := c.Gateways.Get(id); ok {
			out = append(out, s)
		}
	}
	return out
}

func (c *Controller) send(peers []fleet.GatewayStatus, m Message) {
	if len(peers) == 0 {
		return
	}
	body, err := json.Marshal(m)
	if err != nil {
		c.Logger.Error("cannot encode heartbeat", "err", err)
		return
	}
	for _, p := range peers {
		c.sendTo(p.HeartbeatAddress, body)
	}
}

func (c *Controller) sendTo(address string, body []byte) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		c.Logger.Warn("cannot resolve heartbeat address", "address", address, "err", err)
		return
	}
	sent.Inc()
	sentBytes.Add(int64(len(body)))
	if _, err := c.Conn.WriteTo(body, to); err != nil {
		c.Logger.Warn("cannot send heartbeat", "bytes", len(body), "to", address, "err", err)
	}
}
