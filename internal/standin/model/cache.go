package model

import (
	"container/list"
	"time"
)

// block is one block of a prompt in the cache memory.
type block struct {
	hash uint64
	// refs counts the running sequences that use the block; it can't be
	// evicted while there are any.
	refs int
	// ready says that the block's content has been computed.
	ready bool
	// idleElement is its place among the blocks that can be evicted.
	idleElement *list.Element
}

// cache is a prefix cache whose blocks are shared with the running sequences,
// with least-recently-used eviction of those that no sequence uses.
type cache struct {
	blocks map[uint64]*block
	// idle holds the blocks without references, most recently used first.
	idle *list.List
	log  *eventLog
}

func newCache(log *eventLog) *cache {
	return &cache{blocks: make(map[uint64]*block), idle: list.New(), log: log}
}

// cachedPrefixLen returns the number of leading blocks whose content is there.
func (c *cache) cachedPrefixLen(prefix []uint64) int {
	for i, h := range prefix {
		b, ok := c.blocks[h]
		if !ok || !b.ready {
			return i
		}
	}
	return len(prefix)
}

// blocksNeeded returns the number of blocks of prefix that need memory, counting
// those that could be evicted meanwhile.
func (c *cache) blocksNeeded(prefix []uint64) int {
	n := 0
	for _, h := range prefix {
		if b, ok := c.blocks[h]; !ok || b.refs == 0 {
			n++
		}
	}
	return n
}

// referenced is the number of blocks that can't be evicted.
func (c *cache) referenced() int { return len(c.blocks) - c.idle.Len() }

// acquire takes a reference to every block of prefix, adding those that are
// missing.
func (c *cache) acquire(prefix []uint64) {
	for _, h := range prefix {
		b, ok := c.blocks[h]
		if !ok {
			b = &block{hash: h}
			c.blocks[h] = b
		}
		if b.idleElement != nil {
			c.idle.Remove(b.idleElement)
			b.idleElement = nil
		}
		b.refs++
	}
}

// markReady marks the blocks of prefix as ready.
func (c *cache) markReady(prefix []uint64, at time.Time) {
	for _, h := range prefix {
		if b, ok := c.blocks[h]; ok && !b.ready {
			b.ready = true
			c.log.append(Stored, h, at)
		}
	}
}

// release gives the references back. The deepest blocks become idle first, so
// that they are evicted before those that they depend on.
func (c *cache) release(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		b, ok := c.blocks[prefix[i]]
		if !ok || b.refs == 0 {
			continue
		}
		b.refs--
		if b.refs > 0 {
			continue
		}
		if !b.ready {
			delete(c.blocks, b.hash)
			continue
		}
		b.idleElement = c.idle.PushFront(b)
	}
}

// evict evicts idle blocks until at most limit blocks are held.
func (c *cache) evict(limit int, at time.Time) {
	for len(c.blocks) > max(limit, 0) && c.idle.Len() > 0 {
		b := c.idle.Remove(c.idle.Back()).(*block)
		delete(c.blocks, b.hash)
		c.log.append(Removed, b.hash, at)
	}
}

// clear forgets everything; no sequence may be running.
func (c *cache) clear(at time.Time) {
	c.idle.Init()
	clear(c.blocks)
	c.log.append(Cleared, 0, at)
}
