package fleet

import (
	"slices"
	"strings"
	"time"
)

// NewlySilent returns the gateways that ceased to be alive since the last call.
func (g *Gateways) NewlySilent(now time.Time) []GatewayStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []GatewayStatus
	for _, m := range g.known {
		silent := !m.lastSeen.IsZero() && !g.isAlive(m, now)
		if silent && !m.reportedSilent {
			out = append(out, m.status)
		}
		m.reportedSilent = silent
	}
	return out
}

// SeenWithin returns the gateways of the region that were seen within the given
// time and are not leaving, without this one, ordered by id.
func (g *Gateways) SeenWithin(region string, within time.Duration, now time.Time) []GatewayStatus {
	return g.filter(func(m *member) bool {
		return m.status.Region == region && !m.status.Leaving && now.Sub(m.lastSeen) <= within
	})
}

// Alive returns the gateways of the region that are alive and not leaving,
// without this one, ordered by id. The list is shared and must not be changed. A
// gateway that has fallen silent is in it for up to memberListTTL longer, and its
// sequence numbers may be older than the newest.
func (g *Gateways) Alive(region string, now time.Time) []GatewayStatus {
	return g.memberList("alive "+region, now, func(m *member) bool {
		return m.status.Region == region && !m.status.Leaving && g.isAlive(m, now)
	})
}

// ReadyPeers returns the gateways that are alive and ready, those of this gateway's own
// region first.
func (g *Gateways) ReadyPeers(now time.Time) []GatewayStatus {
	others := slices.DeleteFunc(g.Regions(), func(region string) bool { return region == g.self.Region })
	var out []GatewayStatus
	for _, region := range append([]string{g.self.Region}, others...) {
		for _, s := range g.Alive(region, now) {
			if s.Ready {
				out = append(out, s)
			}
		}
	}
	return out
}

// Remembered returns the gateways of the region that are remembered and not leaving,
// without this one, ordered by id: all that may still be running, although this gateway
// no longer hears them. The list is shared and must not be changed.
func (g *Gateways) Remembered(region string, now time.Time) []GatewayStatus {
	return g.memberList("remembered "+region, now, func(m *member) bool {
		return m.status.Region == region && !m.status.Leaving && g.isRemembered(m)
	})
}

// isRemembered reports whether a gateway was seen, or listed by the store, within the
// silentRetention before this gateway last heard of the fleet. A gateway that is cut off
// forgets none: their silence says nothing.
func (g *Gateways) isRemembered(m *member) bool {
	isWithin := func(at time.Time) bool { return !at.IsZero() && g.contactAt.Sub(at) < silentRetention }
	return isWithin(m.lastSeen) || isWithin(m.listedAt)
}

const (
	// settleTime is the time without a newly found gateway after which a gateway that
	// has started knows the fleet: several summaries of a large region.
	settleTime = 2 * time.Second
	// aloneSettleTime is the time after which a gateway that has found no other is taken
	// to be the only one, rather than unable to hear the others. Within it the store's
	// list is read several times.
	aloneSettleTime = 10 * time.Second
)

// IsSettled reports whether this gateway has had time since its start to find the
// others.
func (g *Gateways) IsSettled(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.settled:
	case g.foundAt.IsZero():
		g.settled = now.Sub(g.startedAt) >= aloneSettleTime
	default:
		g.settled = now.Sub(g.startedAt) >= settleTime && now.Sub(g.foundAt) >= settleTime
	}
	return g.settled
}

// memberList returns the gateways that keep selects. It uses the last result for the
// same key while that is valid.
func (g *Gateways) memberList(key string, now time.Time, keep func(*member) bool) []GatewayStatus {
	g.listsMu.Lock()
	defer g.listsMu.Unlock()
	g.mu.RLock()
	changes := g.changes
	g.mu.RUnlock()
	last, ok := g.lists[key]
	if age := now.Sub(last.at); ok && last.changes == changes && age >= 0 && age < memberListTTL {
		return last.list
	}
	list := slices.Clip(g.filter(keep))
	g.lists[key] = memberList{at: now, changes: changes, list: list}
	return list
}

// RecentlyLeft returns the gateways of the region that announced within
// SilenceTimeout that they are leaving, ordered by id.
func (g *Gateways) RecentlyLeft(region string, now time.Time) []GatewayStatus {
	return g.filter(func(m *member) bool {
		return m.status.Region == region && m.status.Leaving && now.Sub(m.lastSeen) <= SilenceTimeout
	})
}

// NotAlive returns the gateways of the region that are known but not alive,
// without those that announced that they are leaving, ordered by id.
func (g *Gateways) NotAlive(region string, now time.Time) []GatewayStatus {
	return g.filter(func(m *member) bool {
		return m.status.Region == region && !m.status.Leaving && !g.isAlive(m, now)
	})
}

// Known returns all known gateways of the region, alive or not, without this one,
// ordered by id.
func (g *Gateways) Known(region string) []GatewayStatus {
	return g.filter(func(m *member) bool { return m.status.Region == region })
}

// regionSize is the number of known gateways of this gateway's region after so many
// changes.
type regionSize struct {
	changes  uint64
	gateways int
}

// countRegion returns the number of known gateways of this gateway's region, alive or
// not, without this one.
func (g *Gateways) countRegion() int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if last := g.lastRegionSize.Load(); last != nil && last.changes == g.changes {
		return last.gateways
	}
	size := regionSize{changes: g.changes}
	for _, m := range g.known {
		if m.status.Region == g.self.Region {
			size.gateways++
		}
	}
	g.lastRegionSize.Store(&size)
	return size.gateways
}

// Get returns the newest status of a gateway, and whether the gateway is known.
func (g *Gateways) Get(id string) (GatewayStatus, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	m, ok := g.known[id]
	if !ok {
		return GatewayStatus{}, false
	}
	return m.status, true
}

// ByPeerAddress returns the gateway with the given peer address, and whether one
// is known.
func (g *Gateways) ByPeerAddress(address string) (GatewayStatus, bool) {
	list := g.filter(func(m *member) bool { return m.status.PeerAddress == address })
	if len(list) == 0 {
		return GatewayStatus{}, false
	}
	return list[0], true
}

// ByHeartbeatAddress returns the gateway that sends its heartbeats from the given address,
// and whether one is known.
func (g *Gateways) ByHeartbeatAddress(address string) (GatewayStatus, bool) {
	list := g.filter(func(m *member) bool { return m.status.HeartbeatAddress == address })
	if len(list) == 0 {
		return GatewayStatus{}, false
	}
	return list[0], true
}

// CountRemembered returns the number of gateways of all regions that are remembered, this
// one included.
func (g *Gateways) CountRemembered() int {
	return len(g.filter(g.isRemembered)) + 1
}

// Regions returns the regions of the known gateways in alphabetical order. The
// region of this gateway is among them only if another gateway of it is known.
func (g *Gateways) Regions() []string {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var out []string
	for _, m := range g.known {
		if !slices.Contains(out, m.status.Region) {
			out = append(out, m.status.Region)
		}
	}
	slices.Sort(out)
	return out
}

func (g *Gateways) filter(keep func(*member) bool) []GatewayStatus {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var out []GatewayStatus
	for _, m := range g.known {
		if keep(m) {
			out = append(out, m.status)
		}
	}
	slices.SortFunc(out, func(a, b GatewayStatus) int { return strings.Compare(a.ID, b.ID) })
	return out
}
