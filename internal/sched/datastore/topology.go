package datastore

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/sched"
)

// layout is what changes rarely: members, knobs, links. Readers load an
// immutable snapshot; writers replace it under the lock.
type layout struct {
	mu      sync.Mutex
	members map[string]map[string]*sched.EndpointRef
	free    []int
	next    int
	intent  *intent.Intent
	// self and ids are this gateway and all of the region's, in order.
	self  string
	ids   []string
	count int
	cur   atomic.Pointer[layoutSnapshot]
}

type layoutSnapshot struct {
	groups    map[string]*sched.GroupView
	knobs     sched.RoutingPolicy
	links     map[string]intent.Link
	costs     map[string]float64
	gateways  int
	indexSize int
}

func (l *layout) init() {
	l.members = make(map[string]map[string]*sched.EndpointRef)
	l.intent = &intent.Intent{}
	l.count = 1
	l.rebuild()
}

func (l *layout) load() *layoutSnapshot { return l.cur.Load() }

// rebuild replaces the snapshot; the caller holds mu or is init.
func (l *layout) rebuild() {
	r := l.intent.Routing
	s := &layoutSnapshot{
		groups:    make(map[string]*sched.GroupView, len(l.members)),
		links:     l.intent.Links,
		costs:     make(map[string]float64, len(l.intent.Groups)),
		gateways:  l.count,
		indexSize: l.next,
		knobs: sched.RoutingPolicy{
			TailLatencyWeight: r.Weights.TailLatency, ForwardWeight: r.Weights.AwayShare, CostWeight: r.Weights.Cost,
			ForwardMargin: r.AwayMargin.D(), MaxForwardShare: r.MaxAwayShare, MaxLinkShare: r.MaxLinkShare,
			TTFTTarget: r.TTFTTarget.D(),
		},
	}
	for name, g := range l.intent.Groups {
		s.costs[name] = g.CostPerMillionTokens
	}
	for name, members := range l.members {
		s.groups[name] = &sched.GroupView{Endpoints: sortedSlots(members), CostPerMillionTokens: s.costs[name]}
	}
	l.cur.Store(s)
}

// sortedSlots orders the members by id, so that a decision is repeatable.
func sortedSlots(members map[string]*sched.EndpointRef) []*sched.EndpointRef {
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	out := make([]*sched.EndpointRef, len(ids))
	for i, id := range ids {
		out[i] = members[id]
	}
	return out
}

func (l *layout) add(group, id string, slot *sched.EndpointRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members[group] == nil {
		l.members[group] = make(map[string]*sched.EndpointRef)
	}
	l.members[group][id] = slot
	l.rebuild()
}

func (l *layout) remove(group, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.members[group], id)
	l.rebuild()
}

// takeIndex reserves a place in the prefix index.
func (l *layout) takeIndex() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.free); n > 0 {
		i := l.free[n-1]
		l.free = l.free[:n-1]
		return i
	}
	l.next++
	l.rebuild()
	return l.next - 1
}

func (l *layout) freeIndex(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = append(l.free, i)
}

func (l *layout) maxConcurrent(group string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.intent.Groups[group].MaxConcurrent
}

// Configure takes the knobs, links and groups of an intent.
func (s *Store) Configure(in *intent.Intent) {
	s.layout.mu.Lock()
	s.layout.intent = in
	s.layout.rebuild()
	s.layout.mu.Unlock()
	for i := range s.shards {
		s.reconfigure(&s.shards[i], in)
	}
}

func (s *Store) reconfigure(sh *shard, in *intent.Intent) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, e := range sh.entries {
		e.cur.MaxConcurrent = in.Groups[e.cur.Group].MaxConcurrent
		e.publish(&s.opts.Health)
	}
}

// SetGatewayCount tells how many live gateways share the region's endpoints.
func (s *Store) SetGatewayCount(n int) {
	s.layout.mu.Lock()
	defer s.layout.mu.Unlock()
	s.layout.count = max(n, 1)
	s.layout.rebuild()
}

// defaultTokenTime is assumed while no endpoint has reported.
const defaultTokenTime = 40 * time.Millisecond

// MeanTokenInterval returns the mean time between the tokens of one answer, as the
// endpoints of a group report it. An answer of n tokens takes n of it after its
// first token.
func (s *Store) MeanTokenInterval(group string) time.Duration {
	g, ok := s.layout.load().groups[group]
	if !ok {
		return defaultTokenTime
	}
	sum, n := 0.0, 0
	for _, slot := range g.Endpoints {
		if e := slot.Load(); e.DecodeRate > 0 && !e.Leaving && e.Health != sched.Ejected {
			sum += 1 / e.DecodeRate
			n++
		}
	}
	if n == 0 {
		return defaultTokenTime
	}
	return time.Duration(sum / float64(n) * float64(time.Second))
}
