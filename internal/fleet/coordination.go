package fleet

import (
	"iter"
	"slices"
	"strings"
	"time"
)

// coordinatorAge is how long a gateway has to be known before the others take it for a
// coordinator over all regions: it knows the fleet by then, and the others know it.
const coordinatorAge = 3 * time.Second

// RememberedGateway is a gateway that may still run.
type RememberedGateway struct {
	GatewayStatus
	IsAlive bool
	// MayCoordinate is set if the gateway is alive and known for long enough.
	MayCoordinate bool
	// LastSeen is the time of its last status. If there was none, it is when this gateway
	// started.
	LastSeen time.Time
}

// RememberedEverywhere returns the gateways of all regions that are remembered and not
// leaving, without this one, ordered by id.
func (g *Gateways) RememberedEverywhere(now time.Time) []RememberedGateway {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var out []RememberedGateway
	for _, m := range g.known {
		if m.status.Leaving || !g.isRemembered(m) {
			continue
		}
		r := RememberedGateway{GatewayStatus: m.status, IsAlive: !m.lastSeen.IsZero() && g.isAlive(m, now), LastSeen: m.lastSeen}
		if m.lastSeen.IsZero() {
			r.LastSeen = g.startedAt
		}
		// Those that a gateway finds when it starts were there before.
		isOld := now.Sub(m.foundAt) >= coordinatorAge || m.foundAt.Sub(g.startedAt) < settleTime
		r.MayCoordinate = r.IsAlive && isOld && m.status.GrantAddress != ""
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b RememberedGateway) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// MayCoordinate reports whether this gateway may be a coordinator over all regions: it
// has run for long enough to know the others and to be known to them, and isn't leaving.
func (g *Gateways) MayCoordinate(now time.Time) bool {
	return !g.IsLeaving() && g.IsSettled(now) && now.Sub(g.startedAt) >= coordinatorAge
}

// HearsAll reports whether this gateway has read the store's list since its start and hears
// all gateways that may still run. Otherwise it may be behind a cut and know its side only.
func (g *Gateways) HearsAll(now time.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if !g.hasStoreList {
		return false
	}
	for _, m := range g.known {
		if !m.status.Leaving && g.isRemembered(m) && (m.lastSeen.IsZero() || !g.isAlive(m, now)) {
			return false
		}
	}
	return true
}

// CountUnheard returns the number of gateways that may run in those of the given data
// centres of which this gateway remembers none. They are as many as it last knew there:
// gateways that all fell silent, and that the store no longer lists, may be behind a cut. In
// data centres of which it has never known one there are as many as in each of the others on
// average, or none once the store's list has been read.
func (g *Gateways) CountUnheard(dataCentres iter.Seq[string], now time.Time) int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	gateways, heard, lost := 1, map[string]bool{g.self.DataCentre: true}, make(map[string]int)
	for _, m := range g.known {
		switch {
		case m.status.Leaving:
		case g.isRemembered(m):
			gateways++
			heard[m.status.DataCentre] = true
		case now.Sub(m.lastContact()) <= lostRetention:
			lost[m.status.DataCentre]++
		}
	}
	for id, l := range g.lost {
		if g.known[id] == nil && now.Sub(l.lastSeen) <= lostRetention {
			lost[l.dataCentre]++
		}
	}
	unheard, unknown := 0, 0
	for name := range dataCentres {
		switch {
		case heard[name]:
		case lost[name] > 0:
			unheard += lost[name]
		case !g.hasStoreList:
			unknown++
		}
	}
	return unheard + (unknown*gateways+len(heard)-1)/len(heard)
}
