// Package datastore holds a gateway's knowledge of its region's endpoints and of
// other regions, and provides it to the scheduler as a view. Endpoint state is
// sharded, with one lock per shard. The package reads no clock; callers pass the
// current time.
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

// Store holds the scheduling state of one gateway. It is safe for concurrent use.
type Store struct {
	opts        Options
	shards      [shardCount]shard
	prefixIndex *prefixIndex
	topology    topology
	forwarding  forwarding
	// announcements holds the large prefills not yet announced to the region's
	// other gateways.
	announcements announcementQueue
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// New returns an empty store.
func New(opts Options) *Store {
	s := &Store{opts: opts, prefixIndex: newPrefixIndex()}
	for i := range s.shards {
		s.shards[i].entries = make(map[string]*entry)
	}
	s.topology.init()
	s.forwarding.init()
	return s
}

func (s *Store) shardOf(id string) *shard {
	return &s.shards[xxhash.Sum64String(id)%shardCount]
}

// updateEntry calls fn with the entry of endpoint id and publishes the result. It
// does nothing if the endpoint is unknown. fn runs under the lock of its shard.
func (s *Store) updateEntry(id string, fn func(e *entry)) {
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

// EndpointInfo describes an endpoint as reported by the endpoint watch.
type EndpointInfo struct {
	ID string
	// Incarnation identifies the process behind the endpoint id.
	Incarnation string
	Group       string
	Region      string
	Leaving     bool
	RTT         time.Duration
}

// Upsert adds an endpoint or updates its description. Once an endpoint is marked
// as leaving, only a new incarnation clears the mark. A new incarnation or another
// group also discards the endpoint's cached prefixes, load and health.
func (s *Store) Upsert(info EndpointInfo, now time.Time) {
	if s.updateExisting(info) {
		return
	}
	ordinal := s.topology.takeOrdinal()
	e := &entry{inFlight: make(map[string]sentRequest), biasUpdatedAt: now, incarnation: info.Incarnation}
	e.current = sched.Endpoint{ID: info.ID, Group: info.Group, Region: info.Region, Leaving: info.Leaving, RTT: info.RTT, Ordinal: ordinal, BacklogAt: now}
	e.current.MaxConcurrent = s.topology.maxConcurrent(info.Group)
	e.ref = sched.NewEndpointRef(nil)
	e.publish(&s.opts.Health)
	sh := s.shardOf(info.ID)
	sh.mu.Lock()
	sh.entries[info.ID] = e
	sh.mu.Unlock()
	s.topology.add(info.Group, info.ID, e.ref)
	s.assignPreferred()
}

// updateExisting updates a known endpoint. It returns false if the endpoint is
// unknown or has a new incarnation or group; in the latter case it removes the old
// entry, and the caller adds a new one.
func (s *Store) updateExisting(info EndpointInfo) bool {
	found, replaced := false, false
	s.updateEntry(info.ID, func(e *entry) {
		found = true
		replaced = e.current.Group != info.Group || e.incarnation != info.Incarnation
		e.current.Leaving = e.current.Leaving || info.Leaving
		e.current.RTT, e.current.Region = info.RTT, info.Region
	})
	if replaced {
		s.Remove(info.ID)
		return false
	}
	return found
}

// Remove deletes an endpoint and its cached prefixes.
func (s *Store) Remove(id string) {
	sh := s.shardOf(id)
	sh.mu.Lock()
	e, ok := sh.entries[id]
	delete(sh.entries, id)
	sh.mu.Unlock()
	if !ok {
		return
	}
	s.topology.remove(e.current.Group, id)
	s.prefixIndex.removeAll(e.current.Ordinal)
	s.topology.releaseOrdinal(e.current.Ordinal)
	s.assignPreferred()
}

// MarkLeaving marks an incarnation of an endpoint as leaving, so that it gets no new
// requests.
func (s *Store) MarkLeaving(id, incarnation string) {
	s.updateEntry(id, func(e *entry) {
		if e.incarnation == incarnation {
			e.current.Leaving = true
		}
	})
}

// ApplyLoadReport updates an endpoint from its load report. r.At must be set, by
// this gateway's clock. A report older than the last one is ignored.
func (s *Store) ApplyLoadReport(id string, r blackboard.LoadReport, now time.Time) {
	s.updateEntry(id, func(e *entry) {
		e.health.advance(&s.opts.Health, now)
		e.decayBias(now)
		e.applyLoadReport(r)
	})
}

// RecordSent records that a request was sent to an endpoint. The prompt's blocks
// count as cached there from then on. Call it directly after the decision, so that
// the next decision takes the request into account.
func (s *Store) RecordSent(id, requestID string, promptTokens int, prefix []uint64, now time.Time) {
	s.RecordSentWithEstimate(id, requestID, promptTokens, prefix, 0, now)
}

// RecordSentWithEstimate is like RecordSent and also stores the estimated time to
// first token, which RecordFirstToken compares with the observed time. If the
// estimate is 0, the whole observed time counts as bias.
func (s *Store) RecordSentWithEstimate(id, requestID string, promptTokens int, prefix []uint64, estimatedTTFT time.Duration, now time.Time) {
	s.updateEntry(id, func(e *entry) {
		cachedTokens := s.prefixIndex.matchOne(prefix, e.current.Ordinal) * sched.TokensPerBlock
		uncachedTokens := max(promptTokens-cachedTokens, 1)
		e.recordSent(requestID, uncachedTokens, estimatedTTFT.Seconds(), now)
		s.announcements.add(id, uncachedTokens, now)
		s.prefixIndex.insert(prefix, e.current.Ordinal)
	})
}

// RecordFirstToken records the arrival of the first token of a response.
func (s *Store) RecordFirstToken(id, requestID string, now time.Time) {
	s.updateEntry(id, func(e *entry) { e.recordFirstToken(&s.opts.Health, requestID, now) })
}

// RecordEnd records the end of a request at an endpoint.
func (s *Store) RecordEnd(id, requestID string, r Result, now time.Time) {
	s.updateEntry(id, func(e *entry) { e.recordEnd(&s.opts.Health, requestID, r, now) })
}

// ApplyCacheEvents updates the prefix index from an endpoint's cache events, which
// must be in order. Events already applied are ignored. After a gap in the
// sequence the endpoint's blocks are kept: the engine evicts blocks without the
// gateway's doing, and a wrong entry costs no more than one prefill.
func (s *Store) ApplyCacheEvents(id string, events []CacheEvent, _ time.Time) {
	s.updateEntry(id, func(e *entry) {
		for _, ev := range events {
			if ev.Seq <= e.lastCacheSeq {
				continue
			}
			e.lastCacheSeq = ev.Seq
			s.applyCacheEvent(ev, e.current.Ordinal)
		}
	})
}

func (s *Store) applyCacheEvent(ev CacheEvent, ordinal int) {
	switch ev.Op {
	case Stored:
		s.prefixIndex.add(ev.Block, ordinal)
	case Removed:
		s.prefixIndex.remove(ev.Block, ordinal)
	case Cleared:
		s.prefixIndex.removeAll(ordinal)
	}
}

// AdvanceHealth makes the time-based transitions of the endpoints' health states.
// Call it about once a second.
func (s *Store) AdvanceHealth(now time.Time) {
	for i := range s.shards {
		s.advanceHealthInShard(&s.shards[i], now)
	}
}

func (s *Store) advanceHealthInShard(sh *shard, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, e := range sh.entries {
		if e.health.advance(&s.opts.Health, now) {
			e.publish(&s.opts.Health)
		}
	}
}

// View returns the state for a decision at now. Its endpoint references yield the
// latest snapshot at the time they are read; everything else is fixed.
func (s *Store) View(now time.Time) *sched.View {
	t := s.topology.load()
	v := &sched.View{
		Now: now, Region: s.opts.Region, Groups: t.groups, Policy: t.policy,
		PrefixIndex: s.prefixIndex, OrdinalCount: t.ordinalCount, Gateways: t.gatewayCount,
	}
	s.forwarding.fillView(v, t, now)
	return v
}
