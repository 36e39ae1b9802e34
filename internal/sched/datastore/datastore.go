// Package datastore keeps what a gateway knows of its region's endpoints and
// of other regions, and gives the scheduler a view of it. State is in shards,
// each under its own lock; now is an argument everywhere.
package datastore

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/sched"
)

const shardCount = 16

// Options configure a Store.
type Options struct {
	Region string
	Health HealthOptions
}

// Store is the data layer of one gateway. It is safe for concurrent use.
type Store struct {
	opts   Options
	shards [shardCount]shard
	cache  *index
	layout layout
	away   away
	// announce holds what the other gateways have still to be told.
	announce announcements
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// New returns an empty store.
func New(opts Options) *Store {
	s := &Store{opts: opts, cache: newIndex()}
	for i := range s.shards {
		s.shards[i].entries = make(map[string]*entry)
	}
	s.layout.init()
	s.away.init()
	return s
}

func (s *Store) shardOf(id string) *shard {
	return &s.shards[xxhash.Sum64String(id)%shardCount]
}

// with runs fn on the entry of id, if there is one, and publishes the result.
func (s *Store) with(id string, fn func(e *entry)) {
	sh := s.shardOf(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, ok := sh.entries[id]
	if !ok {
		return
	}
	fn(e)
	e.publish(&s.opts.Health)
}

// EndpointInfo is what the endpoint watch says of an endpoint.
type EndpointInfo struct {
	ID          string
	Incarnation string
	Group       string
	Region      string
	Leaving     bool
	RTT         time.Duration
}

// Upsert adds an endpoint or changes what is fixed about it. A leaving mark is
// lifted only by another incarnation, which also starts with an empty cache
// and no history.
func (s *Store) Upsert(m EndpointInfo, now time.Time) {
	if s.update(m) {
		return
	}
	i := s.layout.takeIndex()
	e := &entry{inFlight: make(map[string]sent), biasAt: now, incarnation: m.Incarnation}
	e.cur = sched.Endpoint{ID: m.ID, Group: m.Group, Region: m.Region, Leaving: m.Leaving, RTT: m.RTT, Ordinal: i, BacklogAt: now}
	e.cur.MaxConcurrent = s.layout.maxConcurrent(m.Group)
	e.slot = sched.NewEndpointRef(nil)
	e.publish(&s.opts.Health)
	sh := s.shardOf(m.ID)
	sh.mu.Lock()
	sh.entries[m.ID] = e
	sh.mu.Unlock()
	s.layout.add(m.Group, m.ID, e.slot)
	s.deal()
}

// update changes a known endpoint. It returns false when there is none, or
// when it has to be added afresh.
func (s *Store) update(m EndpointInfo) bool {
	found, fresh := false, false
	s.with(m.ID, func(e *entry) {
		found = true
		fresh = e.cur.Group != m.Group || e.incarnation != m.Incarnation
		e.cur.Leaving = e.cur.Leaving || m.Leaving
		e.cur.RTT, e.cur.Region = m.RTT, m.Region
	})
	if fresh {
		s.Remove(m.ID)
		return false
	}
	return found
}

// Remove forgets an endpoint.
func (s *Store) Remove(id string) {
	sh := s.shardOf(id)
	sh.mu.Lock()
	e, ok := sh.entries[id]
	delete(sh.entries, id)
	sh.mu.Unlock()
	if !ok {
		return
	}
	s.layout.remove(e.cur.Group, id)
	s.cache.removeAll(e.cur.Ordinal)
	s.layout.freeIndex(e.cur.Ordinal)
	s.deal()
}

// MarkLeaving notes that an endpoint is leaving: it gets no new work.
func (s *Store) MarkLeaving(id string) {
	s.with(id, func(e *entry) { e.cur.Leaving = true })
}

// ApplyLoadReport takes in an endpoint's load report. r.At must be set, by this
// gateway's clock. An older report than the last is ignored.
func (s *Store) ApplyLoadReport(id string, r blackboard.LoadReport, now time.Time) {
	s.with(id, func(e *entry) {
		e.health.advance(&s.opts.Health, now)
		e.decayBias(now)
		e.apply(r)
	})
}

// RecordSent notes that a request goes to an endpoint. The prompt's blocks count as
// cached there from now on. It is called with the request just decided.
func (s *Store) RecordSent(id, requestID string, promptTokens int, prefix []uint64, now time.Time) {
	s.RecordSentWithEstimate(id, requestID, promptTokens, prefix, 0, now)
}

// RecordSentWithEstimate is Sent with the decision's estimate of the time to first
// token, which the first token's time is compared with; 0 means none.
func (s *Store) RecordSentWithEstimate(id, requestID string, promptTokens int, prefix []uint64, estimate time.Duration, now time.Time) {
	s.with(id, func(e *entry) {
		cached := s.cache.depthOf(prefix, e.cur.Ordinal) * sched.TokensPerBlock
		uncached := max(promptTokens-cached, 1)
		e.send(requestID, uncached, estimate.Seconds(), now)
		s.announce.add(id, uncached, now)
		s.cache.insert(prefix, e.cur.Ordinal)
	})
}

// RecordFirstToken notes the first token of a request's answer.
func (s *Store) RecordFirstToken(id, requestID string, now time.Time) {
	s.with(id, func(e *entry) { e.firstToken(&s.opts.Health, requestID, now) })
}

// RecordEnd notes the end of a request at an endpoint.
func (s *Store) RecordEnd(id, requestID string, r Result, now time.Time) {
	s.with(id, func(e *entry) { e.end(&s.opts.Health, requestID, r, now) })
}

// ApplyCacheEvents takes in an endpoint's cache events, in order. After a gap the
// endpoint's blocks are kept: the engine forgets by itself, and a wrong guess
// costs one prefill.
func (s *Store) ApplyCacheEvents(id string, events []CacheEvent, _ time.Time) {
	s.with(id, func(e *entry) {
		for _, ev := range events {
			if ev.Seq <= e.lastSeq {
				continue
			}
			e.lastSeq = ev.Seq
			s.cacheEvent(ev, e.cur.Ordinal)
		}
	})
}

func (s *Store) cacheEvent(ev CacheEvent, i int) {
	switch ev.Op {
	case Stored:
		s.cache.add(ev.Block, i)
	case Removed:
		s.cache.remove(ev.Block, i)
	case Cleared:
		s.cache.removeAll(i)
	}
}

// AdvanceHealth moves health states on as time passes. Call it about once a second.
func (s *Store) AdvanceHealth(now time.Time) {
	for i := range s.shards {
		s.tickShard(&s.shards[i], now)
	}
}

func (s *Store) tickShard(sh *shard, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, e := range sh.entries {
		if e.health.advance(&s.opts.Health, now) {
			e.publish(&s.opts.Health)
		}
	}
}

// View returns what a decision at now sees. Endpoint states in it are the
// newest at the time they are read; the rest is fixed.
func (s *Store) View(now time.Time) *sched.View {
	l := s.layout.load()
	v := &sched.View{
		Now: now, Region: s.opts.Region, Groups: l.groups, Policy: l.knobs,
		PrefixIndex: s.cache, OrdinalCount: l.indexSize, Gateways: l.gateways,
	}
	s.away.fill(v, l, now)
	return v
}
