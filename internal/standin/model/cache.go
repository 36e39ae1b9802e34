package model

import (
	"container/list"
	"math/rand/v2"
	"sort"
	"time"
)

// Op is what a cache event says of a block.
type Op string

// The operations of cache events.
const (
	Stored  Op = "stored"
	Removed Op = "removed"
	Cleared Op = "cleared"
)

// CacheEvent is one published change of the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Op    Op     `json:"op"`
	Block uint64 `json:"block"`
	// Visible is when it can be read.
	Visible time.Time `json:"-"`
}

// maxEvents bounds the events kept for readers.
const maxEvents = 1 << 14

// cache is a prefix cache with least-recently-used eviction of blocks.
type cache struct {
	cfg    *Config
	rnd    *rand.Rand
	order  *list.List
	blocks map[uint64]*list.Element
	seq    uint64
	events []CacheEvent
}

func newCache(cfg *Config, rnd *rand.Rand) *cache {
	return &cache{cfg: cfg, rnd: rnd, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are held.
func (c *cache) match(prefix []uint64) int {
	for i, b := range prefix {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(prefix)
}

// store holds every block of prefix, the leading ones as the most recent, and
// evicts down to limit blocks.
func (c *cache) store(prefix []uint64, limit int, now time.Time) {
	for i := len(prefix) - 1; i >= 0; i-- {
		b := prefix[i]
		if el, ok := c.blocks[b]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.publish(Stored, b, now)
	}
	c.trim(limit, now)
}

// trim evicts the least recently used blocks down to limit.
func (c *cache) trim(limit int, now time.Time) {
	for c.order.Len() > max(limit, 0) {
		el := c.order.Back()
		b := c.order.Remove(el).(uint64)
		delete(c.blocks, b)
		c.publish(Removed, b, now)
	}
}

// clear forgets everything.
func (c *cache) clear(now time.Time) {
	c.order.Init()
	clear(c.blocks)
	c.publish(Cleared, 0, now)
}

// publish notes an event; a lost one leaves a gap in the numbers.
func (c *cache) publish(op Op, block uint64, now time.Time) {
	c.seq++
	if c.rnd.Float64() < c.cfg.EventLoss {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Op: op, Block: block, Visible: now.Add(c.cfg.EventLag)})
}

// after returns the events above seq that can be read at now.
func (c *cache) after(seq uint64, now time.Time) []CacheEvent {
	i := sort.Search(len(c.events), func(i int) bool { return c.events[i].Seq > seq })
	j := i + sort.Search(len(c.events)-i, func(k int) bool { return c.events[i+k].Visible.After(now) })
	return c.events[i:j:j]
}
