package model

import (
	"container/list"
	"time"
)

// block is the KV cache of one block of prompt tokens.
type block struct {
	hash uint64
	// refs counts the running sequences that use the block. Only a block
	// without references can be evicted.
	refs int
	// isReady is true once prefill has computed the block.
	isReady bool
	// idleElement is its element in cache.idle, nil while it has references.
	idleElement *list.Element
}

// cache is a prefix cache. Running sequences share its blocks, and blocks that no
// sequence uses are evicted, least recently used first.
type cache struct {
	blocks map[uint64]*block
	// idle holds the *block values without references, most recently used first.
	idle *list.List
	log  *eventLog
}

func newCache(log *eventLog) *cache {
	return &cache{blocks: make(map[uint64]*block), idle: list.New(), log: log}
}

// cachedPrefixLen returns the number of leading blocks of prefix that are cached
// and ready.
func (c *cache) cachedPrefixLen(prefix []uint64) int {
	for i, h := range prefix {
		b, ok := c.blocks[h]
		if !ok || !b.isReady {
			return i
		}
	}
	return len(prefix)
}

// blocksNeeded returns how much a sequence with this prefix adds to the number
// of referenced blocks. Cached blocks without references count, as they could be
// evicted before the sequence takes them.
func (c *cache) blocksNeeded(prefix []uint64) int {
	n := 0
	for _, h := range prefix {
		if b, ok := c.blocks[h]; !ok || b.refs == 0 {
			n++
		}
	}
	return n
}

// referenced returns the number of blocks that can't be evicted.
func (c *cache) referenced() int { return len(c.blocks) - c.idle.Len() }

// acquire takes a reference to every block of prefix and adds missing blocks,
// which aren't ready yet.
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

// markReady marks the blocks of prefix as ready and publishes an event for each
// that wasn't.
func (c *cache) markReady(prefix []uint64, at time.Time) {
	for _, h := range prefix {
		if b, ok := c.blocks[h]; ok && !b.isReady {
			b.isReady = true
			c.log.append(Stored, h, at)
		}
	}
}

// release drops a reference to every block of prefix. The last blocks of the
// prefix become idle first, so that they are evicted before the blocks that they
// depend on. Blocks that aren't ready are removed with their last reference.
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
		if !b.isReady {
			delete(c.blocks, b.hash)
			continue
		}
		b.idleElement = c.idle.PushFront(b)
	}
}

// evict removes idle blocks, least recently used first, until at most limit
// blocks are held or none is idle.
func (c *cache) evict(limit int, at time.Time) {
	for len(c.blocks) > max(limit, 0) && c.idle.Len() > 0 {
		b := c.idle.Remove(c.idle.Back()).(*block)
		delete(c.blocks, b.hash)
		c.log.append(Removed, b.hash, at)
	}
}

// clear removes all blocks. No sequence may be running.
func (c *cache) clear(at time.Time) {
	c.idle.Init()
	clear(c.blocks)
	c.log.append(Cleared, 0, at)
}
