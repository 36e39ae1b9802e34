package datastore

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/sched"
)

// topology holds the state that rarely changes: endpoints, gateways, the routing
// policy and links. Readers load an immutable snapshot, which writers replace
// under the lock.
type topology struct {
	mu sync.Mutex
	// endpoints is keyed by group and endpoint id.
	endpoints    map[string]map[string]*sched.EndpointRef
	freeOrdinals []int
	nextOrdinal  int
	intent       *intent.Intent
	// self is the id of this gateway, gatewayIDs the sorted ids of all gateways of
	// the region.
	self         string
	gatewayIDs   []string
	gatewayCount int
	snapshot     atomic.Pointer[topologySnapshot]
}

type topologySnapshot struct {
	groups                map[string]*sched.GroupView
	policy                sched.RoutingPolicy
	links                 map[string]intent.Link
	costsPerMillionTokens map[string]float64
	gatewayCount          int
	ordinalCount          int
}

func (t *topology) init() {
	t.endpoints = make(map[string]map[string]*sched.EndpointRef)
	t.intent = &intent.Intent{}
	t.gatewayCount = 1
	t.rebuild()
}

func (t *topology) load() *topologySnapshot { return t.snapshot.Load() }

// rebuild replaces the snapshot. The caller must hold mu, except in init.
func (t *topology) rebuild() {
	r := t.intent.Routing
	s := &topologySnapshot{
		groups:                make(map[string]*sched.GroupView, len(t.endpoints)),
		links:                 t.intent.Links,
		costsPerMillionTokens: make(map[string]float64, len(t.intent.Groups)),
		gatewayCount:          t.gatewayCount,
		ordinalCount:          t.nextOrdinal,
		policy: sched.RoutingPolicy{
			TailLatencyWeight: r.Weights.TailLatency, ForwardWeight: r.Weights.ForwardShare, CostWeight: r.Weights.Cost,
			ForwardMargin: r.ForwardMargin.AsDuration(), MaxForwardShare: r.MaxForwardShare, MaxLinkShare: r.MaxLinkShare,
			TTFTTarget: r.TTFTTarget.AsDuration(),
		},
	}
	for name, g := range t.intent.Groups {
		s.costsPerMillionTokens[name] = g.CostPerMillionTokens
	}
	for name, endpoints := range t.endpoints {
		s.groups[name] = &sched.GroupView{Endpoints: sortedEndpoints(endpoints), CostPerMillionTokens: s.costsPerMillionTokens[name]}
	}
	t.snapshot.Store(s)
}

// sortedEndpoints returns the endpoints sorted by id, so that decisions are
// reproducible.
func sortedEndpoints(endpoints map[string]*sched.EndpointRef) []*sched.EndpointRef {
	ids := make([]string, 0, len(endpoints))
	for id := range endpoints {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	out := make([]*sched.EndpointRef, len(ids))
	for i, id := range ids {
		out[i] = endpoints[id]
	}
	return out
}

func (t *topology) add(group, id string, ref *sched.EndpointRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endpoints[group] == nil {
		t.endpoints[group] = make(map[string]*sched.EndpointRef)
	}
	t.endpoints[group][id] = ref
	t.rebuild()
}

func (t *topology) remove(group, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints[group], id)
	t.rebuild()
}

// takeOrdinal reserves an ordinal in the prefix index.
func (t *topology) takeOrdinal() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.freeOrdinals); n > 0 {
		ordinal := t.freeOrdinals[n-1]
		t.freeOrdinals = t.freeOrdinals[:n-1]
		return ordinal
	}
	t.nextOrdinal++
	t.rebuild()
	return t.nextOrdinal - 1
}

func (t *topology) releaseOrdinal(ordinal int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freeOrdinals = append(t.freeOrdinals, ordinal)
}

func (t *topology) maxConcurrent(group string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.intent.Groups[group].MaxConcurrent
}

// Configure applies the routing policy, links and groups of the operators'
// configuration. The store keeps in, so the caller must not change it.
func (s *Store) Configure(in *intent.Intent) {
	s.topology.mu.Lock()
	s.topology.intent = in
	s.topology.rebuild()
	s.topology.mu.Unlock()
	for i := range s.shards {
		s.configureShard(&s.shards[i], in)
	}
}

func (s *Store) configureShard(sh *shard, in *intent.Intent) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, e := range sh.entries {
		e.current.MaxConcurrent = in.Groups[e.current.Group].MaxConcurrent
		e.publish(&s.opts.Health)
	}
}

// SetGatewayCount sets the number of live gateways that share the region's
// endpoints.
func (s *Store) SetGatewayCount(n int) {
	s.topology.mu.Lock()
	defer s.topology.mu.Unlock()
	s.topology.gatewayCount = max(n, 1)
	s.topology.rebuild()
}

// defaultTokenInterval is assumed for a group until one of its endpoints has
// reported a decode rate.
const defaultTokenInterval = 40 * time.Millisecond

// MeanTokenInterval returns the mean time between two tokens of a response, as
// reported by the endpoints of a group. A response of n tokens takes about n
// intervals after its first token.
func (s *Store) MeanTokenInterval(group string) time.Duration {
	g, ok := s.topology.load().groups[group]
	if !ok {
		return defaultTokenInterval
	}
	secondsPerToken, endpoints := 0.0, 0
	for _, ref := range g.Endpoints {
		if e := ref.Load(); e.DecodeRate > 0 && !e.Leaving && e.Health != sched.Ejected {
			secondsPerToken += 1 / e.DecodeRate
			endpoints++
		}
	}
	if endpoints == 0 {
		return defaultTokenInterval
	}
	return time.Duration(secondsPerToken / float64(endpoints) * float64(time.Second))
}
