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
	// Caller is where callers connect, Peer where gateways send requests on,
	// Beat where gateways send their beats.
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
	Beat   string `json:"beat"`
}

// Sign is what a gateway says of itself in a beat.
type Sign struct {
	Gateway
	// Seq orders the signs of one incarnation.
	Seq     uint64 `json:"seq"`
	Ready   bool   `json:"ready,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// SilentAfter is the time without a sign after which a gateway counts as gone:
// ten beats of its own, or seven digests of its region.
const SilentAfter = 1500 * time.Millisecond

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

	mu    sync.RWMutex
	known map[string]*member
	// told holds the ids of each region's gateways as its digest listed them.
	told map[string][]string
}

type member struct {
	sign Sign
	// heard is when the last sign came, zero if none has; listed is when the
	// store last named it.
	heard  time.Time
	listed time.Time
}

// NewGateways returns the knowledge of the gateway self.
func NewGateways(self Gateway) *Gateways {
	return &Gateways{self: self, known: make(map[string]*member), told: make(map[string][]string)}
}

// Self returns this gateway.
func (g *Gateways) Self() Gateway { return g.self }

// SetLeaving notes that this gateway stops.
func (g *Gateways) SetLeaving() { g.leaving.Store(true) }

// Leaving says whether this gateway stops.
func (g *Gateways) Leaving() bool { return g.leaving.Load() }

// Hear takes in a sign from a gateway itself, and says whether that was not
// alive before.
func (g *Gateways) Hear(s Sign, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hear(s, now)
}

func (g *Gateways) hear(s Sign, now time.Time) bool {
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
	fresh := m.heard.IsZero() || now.Sub(m.heard) > SilentAfter || m.sign.Incarnation != s.Incarnation
	m.sign, m.heard = s, now
	return fresh
}

// HearRegion takes in the signs of all gateways that are alive in a region, as
// one of its hubs tells them. nil stands for those that it told last.
func (g *Gateways) HearRegion(region string, signs []Sign, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if signs == nil {
		for _, id := range g.told[region] {
			if m, ok := g.known[id]; ok {
				m.heard = now
			}
		}
		return
	}
	ids := make([]string, 0, len(signs))
	for _, s := range signs {
		if s.Region != region {
			continue
		}
		ids = append(ids, s.ID)
		m, ok := g.known[s.ID]
		if ok && m.sign.Incarnation != s.Incarnation && now.Sub(m.heard) <= SilentAfter {
			// A digest may be older than what the gateway itself said.
			continue
		}
		g.hear(s, now)
		if ok && m.sign.Incarnation == s.Incarnation {
			m.heard = now
		}
	}
	g.told[region] = ids
}

// Listed takes in the gateways that the store names.
func (g *Gateways) Listed(list []Gateway, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gw := range list {
		if gw.ID == g.self.ID || gw.ID == "" {
			continue
		}
		m, ok := g.known[gw.ID]
		switch {
		case !ok:
			g.known[gw.ID] = &member{sign: Sign{Gateway: gw}, listed: now}
		case m.heard.IsZero():
			m.sign.Gateway, m.listed = gw, now
		default:
			m.listed = now
		}
	}
	for id, m := range g.known {
		if now.Sub(m.heard) > forgetAfter && now.Sub(m.listed) > forgetAfter {
			delete(g.known, id)
		}
	}
}

// Alive returns the gateways of the region that were heard lately and stay,
// without this one, ordered by id.
func (g *Gateways) Alive(region string, now time.Time) []Sign {
	return g.filter(func(m *member) bool {
		return m.sign.Region == region && !m.sign.Leaving && now.Sub(m.heard) <= SilentAfter
	})
}

// Addressable returns the gateways of the region that a beat may reach, alive
// or not.
func (g *Gateways) Addressable(region string) []Sign {
	return g.filter(func(m *member) bool { return m.sign.Region == region })
}

// Get returns the newest sign of a gateway.
func (g *Gateways) Get(id string) (Sign, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	m, ok := g.known[id]
	if !ok {
		return Sign{}, false
	}
	return m.sign, true
}

// Count returns the number of gateways that were heard or listed lately, this
// one included.
func (g *Gateways) Count(now time.Time) int {
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

func (g *Gateways) filter(keep func(*member) bool) []Sign {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var out []Sign
	for _, m := range g.known {
		if keep(m) {
			out = append(out, m.sign)
		}
	}
	slices.SortFunc(out, func(a, b Sign) int { return strings.Compare(a.ID, b.ID) })
	return out
}
