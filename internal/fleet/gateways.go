package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Gateway names one process of the system and its addresses, as host:port.
type Gateway struct {
	ID string `json:"id"`
	// Incarnation changes with each start of the process.
	Incarnation string `json:"inc"`
	Region      string `json:"region"`
	DataCentre  string `json:"dc"`
	// CallerAddress is where callers connect, Peer where gateways send requests on,
	// Beat where they send their beats.
	CallerAddress    string `json:"caller"`
	PeerAddress      string `json:"peer"`
	HeartbeatAddress string `json:"beat"`
	// GrantAddress is where gateways ask for places at endpoints.
	GrantAddress string `json:"grant,omitempty"`
	// MachineCapacity orders gateways by what their machines can do.
	MachineCapacity int `json:"strength"`
}

// GatewayStatus is what a gateway says of itself in a beat.
type GatewayStatus struct {
	Gateway
	// Seq orders the signs of one incarnation.
	Seq     uint64 `json:"seq"`
	Ready   bool   `json:"ready,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// StoreUnreachable says that the gateway does not reach the store.
	StoreUnreachable bool `json:"blind,omitempty"`
}

const (
	// SilenceTimeout is the time without a sign after which a gateway counts as
	// gone: ten beats of its own, or several digests of its region.
	SilenceTimeout = 1500 * time.Millisecond
	// holdTime is how long gateways that are known by digests are held for alive
	// while there are no digests at all: others have to find out first that the
	// hubs are gone, and to take over from them.
	holdTime = 3 * time.Second
)

// forgetAfter is how long a silent gateway is still sent beats, so that the two
// find each other again after a cut.
const forgetAfter = 60 * time.Second

// countTime is how long a gateway that is no longer heard still counts as one
// that takes its part of shared limits.
const countTime = 10 * time.Second

// Gateways is what this gateway knows of the others. It is safe for concurrent
// use.
type Gateways struct {
	self    Gateway
	leaving atomic.Bool
	// blind is when the store was last found out of reach, in Unix nanoseconds;
	// 0 if it is in reach.
	blind atomic.Int64

	mu    sync.RWMutex
	known map[string]*member
	// digested is when the last digest of each region came.
	digested map[string]time.Time
}

type member struct {
	sign GatewayStatus
	// heard is when the last sign came, zero if none has; listed is when the
	// store last named it.
	heard  time.Time
	listed time.Time
	// told says that the last sign came in a digest.
	told bool
	// silent says that it was reported as silent.
	silent bool
}

// NewGateways returns the knowledge of the gateway self.
func NewGateways(self Gateway) *Gateways {
	return &Gateways{self: self, known: make(map[string]*member), digested: make(map[string]time.Time)}
}

// Self returns this gateway.
func (g *Gateways) Self() Gateway { return g.self }

// SetLeaving notes that this gateway stops.
func (g *Gateways) SetLeaving() { g.leaving.Store(true) }

// IsLeaving says whether this gateway stops.
func (g *Gateways) IsLeaving() bool { return g.leaving.Load() }

// blindTime is how long a gateway that did not reach the store leaves it to
// others to speak for the region.
const blindTime = 8 * time.Second

// SetStoreUnreachable notes whether this gateway reaches the store.
func (g *Gateways) SetStoreUnreachable(blind bool, now time.Time) {
	if !blind {
		g.blind.Store(0)
		return
	}
	g.blind.Store(now.UnixNano())
}

// IsStoreUnreachable says whether this gateway lately did not reach the store.
func (g *Gateways) IsStoreUnreachable(now time.Time) bool {
	at := g.blind.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < blindTime
}

// ApplyStatus takes in a sign from a gateway itself, and says whether that was not
// alive before.
func (g *Gateways) ApplyStatus(s GatewayStatus, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hear(s, now)
}

func (g *Gateways) hear(s GatewayStatus, now time.Time) bool {
	if s.ID == g.self.ID || s.ID == "" {
		return false
	}
	m, ok := g.known[s.ID]
	if !ok {
		g.known[s.ID] = &member{sign: s, heard: now}
		return true
	}
	if m.sign.Incarnation == s.Incarnation && s.Seq <= m.sign.Seq {
		return false
	}
	fresh := m.heard.IsZero() || now.Sub(m.heard) > SilenceTimeout || m.sign.Incarnation != s.Incarnation
	m.sign, m.heard, m.told = s, now, false
	return fresh
}

// isAlive says whether a gateway counts as alive.
func (g *Gateways) isAlive(m *member, now time.Time) bool {
	age := now.Sub(m.heard)
	if age <= SilenceTimeout {
		return true
	}
	return m.told && age <= holdTime && g.digested[m.sign.Region].Sub(m.heard) < SilenceTimeout
}

// AddKnown takes in gateways that others know, alive or not. Those that were not
// known are beaten to from now on.
func (g *Gateways) AddKnown(signs []GatewayStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range signs {
		if _, ok := g.known[s.ID]; !ok && s.ID != g.self.ID && s.ID != "" {
			g.known[s.ID] = &member{sign: s}
		}
	}
}

// CompactStatus is the short form of a sign in digests: the id, the beginning of the
// incarnation, and whether the gateway is ready.
type CompactStatus string

// markedIncarnation is the length of the incarnation in a mark.
const markedIncarnation = 6

// Compact returns the short form of the sign.
func (s GatewayStatus) Compact() CompactStatus {
	m := s.ID + "/" + s.Incarnation[:min(markedIncarnation, len(s.Incarnation))]
	if s.Ready {
		m += "+"
	}
	return CompactStatus(m)
}

// ApplyRegionSummary takes in which gateways of a region are alive, as one of its hubs
// tells. signs describe some of them in full, direct signs go before these.
func (g *Gateways) ApplyRegionSummary(region string, alive []CompactStatus, signs []GatewayStatus, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range signs {
		m, ok := g.known[s.ID]
		if ok && m.sign.Incarnation != s.Incarnation && !m.told && now.Sub(m.heard) <= SilenceTimeout {
			// A digest may be older than what the gateway itself said.
			continue
		}
		if s.Region == region && !(ok && s.Leaving && m.sign.Leaving) {
			g.hear(s, now)
		}
	}
	if now.After(g.digested[region]) {
		g.digested[region] = now
	}
	for _, mark := range alive {
		g.refresh(region, mark, now)
	}
}

// refresh takes in one mark of a gateway that is known.
func (g *Gateways) refresh(region string, mark CompactStatus, now time.Time) {
	id, _, _ := strings.Cut(string(mark), "/")
	m, ok := g.known[id]
	if !ok || m.sign.Region != region || m.sign.Leaving || now.Before(m.heard) {
		return
	}
	for _, ready := range []bool{true, false} {
		as := m.sign
		as.Ready = ready
		if as.Compact() == mark {
			m.sign.Ready, m.heard, m.told = ready, now, true
		}
	}
}

// ApplyStoreList takes in the gateways that the store names.
func (g *Gateways) ApplyStoreList(list []Gateway, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gw := range list {
		if gw.ID == g.self.ID || gw.ID == "" {
			continue
		}
		m, ok := g.known[gw.ID]
		switch {
		case !ok:
			g.known[gw.ID] = &member{sign: GatewayStatus{Gateway: gw}, listed: now}
		case m.heard.IsZero():
			m.sign.Gateway, m.listed = gw, now
		default:
			m.listed = now
		}
	}
	for id, m := range g.known {
		if m.heard.IsZero() && m.listed.IsZero() {
			m.listed = now
		}
		if now.Sub(m.heard) > forgetAfter && now.Sub(m.listed) > forgetAfter {
			delete(g.known, id)
		}
	}
}

// NewlySilent returns the gateways that have fallen silent since the last call.
func (g *Gateways) NewlySilent(now time.Time) []GatewayStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []GatewayStatus
	for _, m := range g.known {
		silent := !m.heard.IsZero() && !g.isAlive(m, now)
		if silent && !m.silent {
			out = append(out, m.sign)
		}
		m.silent = silent
	}
	return out
}

// SeenWithin returns the gateways of the region that were heard within a time and
// stay, without this one, ordered by id.
func (g *Gateways) SeenWithin(region string, within time.Duration, now time.Time) []GatewayStatus {
	return g.filter(func(m *member) bool {
		return m.sign.Region == region && !m.sign.Leaving && now.Sub(m.heard) <= within
	})
}

// Alive returns the gateways of the region that were heard lately and stay,
// without this one, ordered by id.
func (g *Gateways) Alive(region string, now time.Time) []GatewayStatus {
	return g.filter(func(m *member) bool {
		return m.sign.Region == region && !m.sign.Leaving && g.isAlive(m, now)
	})
}

// RecentlyLeft returns the gateways of the region that said lately that they leave.
func (g *Gateways) RecentlyLeft(region string, now time.Time) []GatewayStatus {
	return g.filter(func(m *member) bool {
		return m.sign.Region == region && m.sign.Leaving && now.Sub(m.heard) <= SilenceTimeout
	})
}

// NotAlive returns the gateways of the region that are known and not alive.
func (g *Gateways) NotAlive(region string, now time.Time) []GatewayStatus {
	return g.filter(func(m *member) bool {
		return m.sign.Region == region && !m.sign.Leaving && !g.isAlive(m, now)
	})
}

// Known returns the gateways of the region that a beat may reach, alive
// or not.
func (g *Gateways) Known(region string) []GatewayStatus {
	return g.filter(func(m *member) bool { return m.sign.Region == region })
}

// Get returns the newest sign of a gateway.
func (g *Gateways) Get(id string) (GatewayStatus, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	m, ok := g.known[id]
	if !ok {
		return GatewayStatus{}, false
	}
	return m.sign, true
}

// ByPeerAddress returns the gateway with the given address for other gateways.
func (g *Gateways) ByPeerAddress(address string) (GatewayStatus, bool) {
	list := g.filter(func(m *member) bool { return m.sign.PeerAddress == address })
	if len(list) == 0 {
		return GatewayStatus{}, false
	}
	return list[0], true
}

// CountRecent returns the number of gateways that were heard or listed lately, this
// one included.
func (g *Gateways) CountRecent(now time.Time) int {
	recent := func(m *member) bool {
		return now.Sub(m.heard) <= countTime || now.Sub(m.listed) <= countTime
	}
	return len(g.filter(recent)) + 1
}

// Regions returns the regions of the gateways that are known.
func (g *Gateways) Regions() []string {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var out []string
	for _, m := range g.known {
		if !slices.Contains(out, m.sign.Region) {
			out = append(out, m.sign.Region)
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
			out = append(out, m.sign)
		}
	}
	slices.SortFunc(out, func(a, b GatewayStatus) int { return strings.Compare(a.ID, b.ID) })
	return out
}
