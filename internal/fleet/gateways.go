package fleet

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Gateway identifies one gateway process and its addresses, each as host:port.
type Gateway struct {
	ID string `json:"id" lenient:"required"`
	// Incarnation changes with each start of the process.
	Incarnation string `json:"inc" lenient:"required"`
	Region      string `json:"region" lenient:"required"`
	DataCentre  string `json:"dc"`
	// CallerAddress accepts requests of callers, PeerAddress requests that peers
	// forward, HeartbeatAddress the heartbeats of peers.
	CallerAddress    string `json:"caller"`
	PeerAddress      string `json:"peer"`
	HeartbeatAddress string `json:"beat" lenient:"required"`
	// GrantAddress accepts the requests of peers for admission to endpoints.
	GrantAddress string `json:"grant,omitempty"`
	// MachineCapacity orders gateways by the network and CPU capacity of their
	// machines.
	MachineCapacity int `json:"strength"`
	// Millicores is the processor capacity of the machine in thousandths of a core; 0 if it
	// isn't known.
	Millicores int `json:"millicores,omitempty"`
}

// GatewayStatus is what a gateway says of itself in a heartbeat.
type GatewayStatus struct {
	Gateway
	// Seq orders the statuses of one incarnation.
	Seq     uint64 `json:"seq"`
	Ready   bool   `json:"ready,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// StoreUnreachable is set if the gateway recently failed to reach the store.
	StoreUnreachable bool `json:"blind,omitempty"`
}

const (
	// SilenceTimeout is the time without a status after which a gateway no longer
	// counts as alive: ten of its own heartbeats, or several summaries of its
	// region.
	SilenceTimeout = 1500 * time.Millisecond
	// summaryHoldTime is how long gateways known from region summaries still count
	// as alive while no summaries arrive at all: the region first has to notice
	// that its hubs are gone, and other gateways have to take over as hubs.
	summaryHoldTime = 3 * time.Second
)

// silentRetention is how long heartbeats are still sent to a silent gateway, so
// that the two find each other again after a network partition, and how long it is
// assumed to use its share of the limits that all gateways share.
const silentRetention = 60 * time.Second

// lostRetention is how long the gateways of a data centre that isn't heard at all are assumed
// to run: regions lose each other for an hour now and then.
const lostRetention = 2 * time.Hour

// Gateways is this gateway's view of its peers. It is safe for concurrent use.
type Gateways struct {
	self    Gateway
	leaving atomic.Bool
	// storeUnreachableAt is when the store was last found unreachable, in Unix
	// nanoseconds; 0 while it is reachable.
	storeUnreachableAt atomic.Int64

	mu    sync.RWMutex
	known map[string]*member
	// startedAt is when this gateway started, foundAt when it last heard of another one
	// for the first time. settled is set for good once the fleet is known.
	startedAt, foundAt time.Time
	settled            bool
	// contactAt is when this gateway last heard of the fleet: by a heartbeat of another
	// gateway or by the store's list.
	contactAt time.Time
	// hasStoreList is set once the store's list has been applied.
	hasStoreList bool
	// lost holds, by id, the gateways that have been forgotten without having left.
	lost map[string]lostGateway
	// lastSummary is when the newest summary of each region was created.
	lastSummary map[string]time.Time
	// changes counts the changes that can make a memberList or a regionSize wrong at
	// once.
	changes        uint64
	lastRegionSize atomic.Pointer[regionSize]

	listsMu sync.Mutex
	// lists holds the last result of each call of memberList.
	lists map[string]memberList
}

// memberList is a list of gateways as of a time.
type memberList struct {
	at      time.Time
	changes uint64
	list    []GatewayStatus
}

// memberListTTL is how long a memberList is used while no gateway changes: a small part
// of SilenceTimeout, after which a gateway drops out of Alive.
const memberListTTL = 100 * time.Millisecond

// lostGateway is a gateway that has been forgotten.
type lostGateway struct {
	dataCentre string
	lastSeen   time.Time
}

type member struct {
	status GatewayStatus
	// lastSeen is the time of the last status, zero if there was none; listedAt
	// is when the gateway was last in the store's list.
	lastSeen time.Time
	listedAt time.Time
	// foundAt is when the current incarnation was first seen.
	foundAt time.Time
	// viaSummary is set if the last status came in a region summary.
	viaSummary bool
	// reportedSilent is set once NewlySilent has returned the gateway, until it is
	// alive again.
	reportedSilent bool
}

// NewGateways returns an empty view for the gateway self, which started at the given
// time.
func NewGateways(self Gateway, startedAt time.Time) *Gateways {
	return &Gateways{self: self, startedAt: startedAt, known: make(map[string]*member), lastSummary: make(map[string]time.Time), lists: make(map[string]memberList), lost: make(map[string]lostGateway)}
}

// Self returns this gateway.
func (g *Gateways) Self() Gateway { return g.self }

// SetLeaving marks this gateway as shutting down.
func (g *Gateways) SetLeaving() { g.leaving.Store(true) }

// IsLeaving reports whether this gateway is shutting down.
func (g *Gateways) IsLeaving() bool { return g.leaving.Load() }

// storeUnreachableHold is how long a gateway that failed to reach the store ranks
// behind the others as a hub.
const storeUnreachableHold = 8 * time.Second

// SetStoreUnreachable records whether this gateway failed to reach the store.
func (g *Gateways) SetStoreUnreachable(unreachable bool, now time.Time) {
	if !unreachable {
		g.storeUnreachableAt.Store(0)
		return
	}
	g.storeUnreachableAt.Store(now.UnixNano())
}

// IsStoreUnreachable reports whether this gateway recently failed to reach the
// store.
func (g *Gateways) IsStoreUnreachable(now time.Time) bool {
	at := g.storeUnreachableAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < storeUnreachableHold
}

// ApplyStatus merges a status that came from the gateway itself. It reports
// whether the gateway is new, has restarted or had been silent. Statuses of this
// gateway, without an id or no newer than the one held are ignored.
func (g *Gateways) ApplyStatus(s GatewayStatus, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applyStatus(s, now)
}

func (g *Gateways) applyStatus(s GatewayStatus, now time.Time) bool {
	if s.ID == g.self.ID || s.ID == "" {
		return false
	}
	m, ok := g.known[s.ID]
	if !ok || m.lastSeen.IsZero() {
		g.foundAt = now
	}
	if !ok {
		g.known[s.ID] = &member{status: s, lastSeen: now, foundAt: now}
		g.contactAt = now
		g.changes++
		return true
	}
	if m.status.Incarnation == s.Incarnation && s.Seq <= m.status.Seq {
		return false
	}
	g.contactAt = now
	unchanged := m.status
	unchanged.Seq = s.Seq
	if unchanged != s || !g.isAlive(m, now) {
		g.changes++
	}
	becameAlive := m.lastSeen.IsZero() || now.Sub(m.lastSeen) > SilenceTimeout || m.status.Incarnation != s.Incarnation
	if m.lastSeen.IsZero() || m.status.Incarnation != s.Incarnation {
		m.foundAt = now
	}
	m.status, m.lastSeen, m.viaSummary = s, now, false
	return becameAlive
}

// RecordContact records that a known gateway has sent something, whatever it says. It
// reports whether the gateway had not counted as alive.
func (g *Gateways) RecordContact(id string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.known[id]
	if !ok || now.Before(m.lastSeen) {
		return false
	}
	if m.lastSeen.IsZero() {
		g.foundAt = now
	}
	becameAlive := !g.isAlive(m, now)
	if becameAlive {
		g.changes++
	}
	g.contactAt = now
	m.lastSeen, m.viaSummary = now, false
	return becameAlive
}

// isAlive reports whether a gateway counts as alive. A gateway known from region
// summaries is held for summaryHoldTime if no summary has come that left it out
// for as long as SilenceTimeout.
func (g *Gateways) isAlive(m *member, now time.Time) bool {
	age := now.Sub(m.lastSeen)
	if age <= SilenceTimeout {
		return true
	}
	return m.viaSummary && age <= summaryHoldTime && g.lastSummary[m.status.Region].Sub(m.lastSeen) < SilenceTimeout
}

// AddKnown adds gateways that peers know, alive or not. They don't count as alive
// by this; heartbeats are sent to the ones that were not known before.
func (g *Gateways) AddKnown(statuses []GatewayStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range statuses {
		if _, ok := g.known[s.ID]; !ok && s.ID != g.self.ID && s.ID != "" {
			g.known[s.ID] = &member{status: s}
			g.changes++
		}
	}
}

// CompactStatus is the short form of a GatewayStatus in region summaries: the id,
// "/", the beginning of the incarnation, and "+" if the gateway is ready.
type CompactStatus string

// compactIncarnationLen is the length in bytes of the incarnation in a
// CompactStatus.
const compactIncarnationLen = 6

// Compact returns the short form of the status.
func (s GatewayStatus) Compact() CompactStatus {
	m := s.ID + "/" + s.Incarnation[:min(compactIncarnationLen, len(s.Incarnation))]
	if s.Ready {
		m += "+"
	}
	return CompactStatus(m)
}

// ApplyRegionSummary merges what a hub of a region says of the gateways of that
// region. alive lists those that are alive. statuses describes some of them in
// full; a status that came from a gateway itself takes precedence. now is when
// the summary was created.
func (g *Gateways) ApplyRegionSummary(region string, alive []CompactStatus, statuses []GatewayStatus, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range statuses {
		m, ok := g.known[s.ID]
		if ok && m.status.Incarnation != s.Incarnation && !m.viaSummary && now.Sub(m.lastSeen) <= SilenceTimeout {
			// A summary may be older than what the gateway itself said.
			continue
		}
		if s.Region == region && !(ok && s.Leaving && m.status.Leaving) {
			g.applyStatus(s, now)
		}
	}
	if now.After(g.lastSummary[region]) {
		g.lastSummary[region] = now
	}
	for _, compact := range alive {
		g.applyCompact(region, compact, now)
	}
}

// applyCompact merges the compact status of a gateway that is known. It is ignored
// if it is of another incarnation than the known one.
func (g *Gateways) applyCompact(region string, compact CompactStatus, now time.Time) {
	id, _, _ := strings.Cut(string(compact), "/")
	m, ok := g.known[id]
	if !ok || m.status.Region != region || m.status.Leaving || now.Before(m.lastSeen) {
		return
	}
	for _, ready := range []bool{true, false} {
		candidate := m.status
		candidate.Ready = ready
		if candidate.Compact() == compact {
			if m.status.Ready != ready || !g.isAlive(m, now) {
				g.changes++
			}
			if m.lastSeen.IsZero() {
				g.foundAt, m.foundAt = now, now
			}
			g.contactAt = now
			m.status.Ready, m.lastSeen, m.viaSummary = ready, now, true
		}
	}
}

// ApplyStoreList merges the gateways that the store lists. It also removes those
// that were neither seen nor listed for silentRetention.
func (g *Gateways) ApplyStoreList(list []Gateway, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contactAt, g.hasStoreList = now, true
	for _, gw := range list {
		if gw.ID == g.self.ID || gw.ID == "" {
			continue
		}
		m, ok := g.known[gw.ID]
		switch {
		case !ok:
			g.known[gw.ID] = &member{status: GatewayStatus{Gateway: gw}, listedAt: now}
			g.changes++
		case m.lastSeen.IsZero():
			m.status.Gateway, m.listedAt = gw, now
		default:
			m.listedAt = now
		}
	}
	for id, m := range g.known {
		if m.lastSeen.IsZero() && m.listedAt.IsZero() {
			m.listedAt = now
		}
		if now.Sub(m.lastSeen) > silentRetention && now.Sub(m.listedAt) > silentRetention {
			if !m.status.Leaving {
				g.lost[id] = lostGateway{dataCentre: m.status.DataCentre, lastSeen: m.lastContact()}
			}
			delete(g.known, id)
			g.changes++
		}
	}
	maps.DeleteFunc(g.lost, func(id string, l lostGateway) bool {
		return g.known[id] != nil || now.Sub(l.lastSeen) > lostRetention
	})
}

// lastContact returns when the gateway was last seen or listed.
func (m *member) lastContact() time.Time {
	if m.lastSeen.After(m.listedAt) {
		return m.lastSeen
	}
	return m.listedAt
}
