package datastore

import (
	"math/bits"
	"sync"
)

// Bounds of the prefix index.
const (
	indexShards = 16
	// sampleRate is the number of blocks per indexed one. Blocks are sampled by
	// their hash, so that cache events can be sampled without their places.
	sampleRate = 4
	// sampleShift picks the hash bits that sample; shards use the low ones.
	sampleShift = 32
	// maxIndexBlocks bounds the indexed blocks of all endpoints together.
	maxIndexBlocks = 1 << 17
	// minTidy is the least length of a shard that is tidied.
	minTidy  = 256
	wordBits = 64
)

// holders is the set of endpoints, by index, that hold a block.
type holders []uint64

func (h holders) has(i int) bool {
	w := i / wordBits
	return w < len(h) && h[w]&(1<<(i%wordBits)) != 0
}

func (h holders) with(i int) holders {
	for len(h) <= i/wordBits {
		h = append(h, 0)
	}
	h[i/wordBits] |= 1 << (i % wordBits)
	return h
}

func (h holders) empty() bool {
	for _, w := range h {
		if w != 0 {
			return false
		}
	}
	return true
}

// index maps blocks to the endpoints that are believed to hold them.
type index struct{ shards [indexShards]indexShard }

type indexShard struct {
	mu     sync.RWMutex
	blocks map[uint64]holders
	// order holds the blocks in the order of their first insertion; the
	// oldest are dropped when the shard is full.
	order []uint64
	// tidyAt is the length of order at which empty blocks are dropped.
	tidyAt int
}

func newIndex() *index {
	x := &index{}
	for i := range x.shards {
		x.shards[i].blocks = make(map[uint64]holders)
		x.shards[i].tidyAt = minTidy
	}
	return x
}

func sampled(block uint64) bool { return (block>>sampleShift)%sampleRate == 0 }

func (x *index) shard(block uint64) *indexShard { return &x.shards[block%indexShards] }

// add notes that endpoint i holds block.
func (x *index) add(block uint64, i int) {
	if !sampled(block) {
		return
	}
	sh := x.shard(block)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	h, ok := sh.blocks[block]
	if !ok {
		sh.makeRoom()
		sh.order = append(sh.order, block)
	}
	sh.blocks[block] = h.with(i)
}

// makeRoom drops blocks that no endpoint holds when the shard has doubled, and
// the oldest ones when it is full.
func (sh *indexShard) makeRoom() {
	if len(sh.order) >= sh.tidyAt {
		sh.tidy()
	}
	for len(sh.order) >= maxIndexBlocks/indexShards {
		delete(sh.blocks, sh.order[0])
		sh.order = sh.order[1:]
	}
}

func (sh *indexShard) tidy() {
	kept := make([]uint64, 0, len(sh.order))
	for _, block := range sh.order {
		if sh.blocks[block].empty() {
			delete(sh.blocks, block)
			continue
		}
		kept = append(kept, block)
	}
	sh.order = kept
	sh.tidyAt = max(2*len(kept), minTidy)
}

// remove notes that endpoint i no longer holds block.
func (x *index) remove(block uint64, i int) {
	if !sampled(block) {
		return
	}
	sh := x.shard(block)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if h := sh.blocks[block]; h.has(i) {
		h[i/wordBits] &^= 1 << (i % wordBits)
	}
}

// removeAll forgets every block of endpoint i.
func (x *index) removeAll(i int) {
	for s := range x.shards {
		sh := &x.shards[s]
		sh.mu.Lock()
		for _, h := range sh.blocks {
			if h.has(i) {
				h[i/wordBits] &^= 1 << (i % wordBits)
			}
		}
		sh.mu.Unlock()
	}
}

// insert notes that endpoint i holds every block of prefix.
func (x *index) insert(prefix []uint64, i int) {
	for _, block := range prefix {
		x.add(block, i)
	}
}

// Match implements sched.PrefixIndex. A block that is not indexed counts with
// the next one that is.
func (x *index) Match(prefix []uint64, depth []int) {
	alive := make(holders, (len(depth)+wordBits-1)/wordBits)
	for i := range alive {
		alive[i] = ^uint64(0)
	}
	reached := 0
	for b, block := range prefix {
		if !sampled(block) {
			continue
		}
		if !x.intersect(block, alive, depth, reached) {
			return
		}
		reached = b + 1
	}
	for w, left := range alive {
		setDepth(depth, w, left, reached)
	}
}

// intersect narrows alive to the holders of block and gives those that fall
// out the depth reached; false says none is left.
func (x *index) intersect(block uint64, alive holders, depth []int, reached int) bool {
	sh := x.shard(block)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	h := sh.blocks[block]
	left := uint64(0)
	for w := range alive {
		held := uint64(0)
		if w < len(h) {
			held = h[w]
		}
		setDepth(depth, w, alive[w]&^held, reached)
		alive[w] &= held
		left |= alive[w]
	}
	return left != 0
}

// setDepth sets the depth of the endpoints in word w of a set.
func setDepth(depth []int, w int, set uint64, d int) {
	for d > 0 && set != 0 {
		i := w*wordBits + bits.TrailingZeros64(set)
		set &= set - 1
		if i < len(depth) {
			depth[i] = d
		}
	}
}

// depthOf is Match for one endpoint.
func (x *index) depthOf(prefix []uint64, i int) int {
	depth := 0
	for b, block := range prefix {
		if !sampled(block) {
			continue
		}
		if !x.holds(block, i) {
			return depth
		}
		depth = b + 1
	}
	return depth
}

func (x *index) holds(block uint64, i int) bool {
	sh := x.shard(block)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.blocks[block].has(i)
}
