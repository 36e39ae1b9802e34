// Package blackboard holds the state that controllers and the request path share.
// Controllers communicate through its typed values and maps and never call each
// other.
package blackboard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of a ShardedMap.
const shardCount = 16

// ShardedMap is a map split into shards, each under its own lock. It is safe for
// concurrent use. Values are stored as they are: slices, maps and pointers in a
// stored value must not be modified afterwards.
type ShardedMap[V any] struct {
	shards [shardCount]shard[V]
}

type shard[V any] struct {
	mu    sync.RWMutex
	items map[string]V
}

// NewShardedMap returns an empty map.
func NewShardedMap[V any]() *ShardedMap[V] {
	s := &ShardedMap[V]{}
	for i := range s.shards {
		s.shards[i].items = make(map[string]V)
	}
	return s
}

func (s *ShardedMap[V]) shardOf(key string) *shard[V] {
	return &s.shards[xxhash.Sum64String(key)%shardCount]
}

// Get returns the value of key and whether there is one.
func (s *ShardedMap[V]) Get(key string) (V, bool) {
	sh := s.shardOf(key)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	v, ok := sh.items[key]
	return v, ok
}

// Set stores the value of key.
func (s *ShardedMap[V]) Set(key string, v V) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.items[key] = v
}

// Delete removes key.
func (s *ShardedMap[V]) Delete(key string) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.items, key)
}

// Update changes the value of key under the shard's lock. fn gets the current
// value and whether there is one; it returns the new value and whether to keep
// it (false removes the key). fn must not use the map.
func (s *ShardedMap[V]) Update(key string, fn func(v V, ok bool) (V, bool)) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old, ok := sh.items[key]
	v, keep := fn(old, ok)
	if keep {
		sh.items[key] = v
		return
	}
	delete(sh.items, key)
}

// Range calls fn for each item until fn returns false. It holds the read lock of
// one shard at a time, so only the items of a shard are consistent with each
// other. fn must not write to the map.
func (s *ShardedMap[V]) Range(fn func(key string, v V) bool) {
	for i := range s.shards {
		if !s.shards[i].each(fn) {
			return
		}
	}
}

func (sh *shard[V]) each(fn func(key string, v V) bool) bool {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	for k, v := range sh.items {
		if !fn(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of items.
func (s *ShardedMap[V]) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.RLock()
		n += len(s.shards[i].items)
		s.shards[i].mu.RUnlock()
	}
	return n
}
