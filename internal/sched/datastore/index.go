package datastore

import (
	"math/bits"
	"sync"
)

// Parameters of the prefix index.
const (
	indexShards = 16
	// sampleInterval is the mean number of blocks per indexed block. Blocks are
	// sampled by hash, because cache events don't carry the position of a block
	// in its prompt.
	sampleInterval = 4
	// sampleShift selects the hash bits used for sampling; the low bits select the
	// shard.
	sampleShift = 32
	// maxIndexBlocks bounds the number of indexed blocks of all endpoints together.
	maxIndexBlocks = 1 << 17
	// minCompactLength is the least number of blocks at which a shard is
	// compacted.
	minCompactLength = 256
	wordBits         = 64
)

// holders is the set of ordinals that hold a block, as a bitmap.
type holders []uint64

func (h holders) has(ordinal int) bool {
	w := ordinal / wordBits
	return w < len(h) && h[w]&(1<<(ordinal%wordBits)) != 0
}

func (h holders) with(ordinal int) holders {
	for len(h) <= ordinal/wordBits {
		h = append(h, 0)
	}
	h[ordinal/wordBits] |= 1 << (ordinal % wordBits)
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

// prefixIndex maps the hashes of blocks to the endpoints and regions that are
// believed to have them cached. It is safe for concurrent use.
type prefixIndex struct{ shards [indexShards]indexShard }

type indexShard struct {
	mu     sync.RWMutex
	blocks map[uint64]holders
	// insertionOrder holds the blocks in the order of their first insertion. The
	// oldest are evicted when the shard is full.
	insertionOrder []uint64
	// compactAt is the length of insertionOrder at which blocks without holders
	// are removed.
	compactAt int
}

func newPrefixIndex() *prefixIndex {
	x := &prefixIndex{}
	for i := range x.shards {
		x.shards[i].blocks = make(map[uint64]holders)
		x.shards[i].compactAt = minCompactLength
	}
	return x
}

func isSampled(block uint64) bool { return (block>>sampleShift)%sampleInterval == 0 }

func (x *prefixIndex) shard(block uint64) *indexShard { return &x.shards[block%indexShards] }

// add records that ordinal holds block.
func (x *prefixIndex) add(block uint64, ordinal int) {
	if !isSampled(block) {
		return
	}
	sh := x.shard(block)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	h, ok := sh.blocks[block]
	if !ok {
		sh.makeRoom()
		sh.insertionOrder = append(sh.insertionOrder, block)
	}
	sh.blocks[block] = h.with(ordinal)
}

// makeRoom removes blocks without holders when the shard has doubled in size since
// it was last compacted, and evicts the oldest blocks when the shard is full.
func (sh *indexShard) makeRoom() {
	if len(sh.insertionOrder) >= sh.compactAt {
		sh.compact()
	}
	for len(sh.insertionOrder) >= maxIndexBlocks/indexShards {
		delete(sh.blocks, sh.insertionOrder[0])
		sh.insertionOrder = sh.insertionOrder[1:]
	}
}

// compact removes the blocks without holders.
func (sh *indexShard) compact() {
	kept := make([]uint64, 0, len(sh.insertionOrder))
	for _, block := range sh.insertionOrder {
		if sh.blocks[block].empty() {
			delete(sh.blocks, block)
			continue
		}
		kept = append(kept, block)
	}
	sh.insertionOrder = kept
	sh.compactAt = max(2*len(kept), minCompactLength)
}

// remove records that ordinal no longer holds block.
func (x *prefixIndex) remove(block uint64, ordinal int) {
	if !isSampled(block) {
		return
	}
	sh := x.shard(block)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if h := sh.blocks[block]; h.has(ordinal) {
		h[ordinal/wordBits] &^= 1 << (ordinal % wordBits)
	}
}

// removeAll records that ordinal holds no blocks.
func (x *prefixIndex) removeAll(ordinal int) {
	for s := range x.shards {
		sh := &x.shards[s]
		sh.mu.Lock()
		for _, h := range sh.blocks {
			if h.has(ordinal) {
				h[ordinal/wordBits] &^= 1 << (ordinal % wordBits)
			}
		}
		sh.mu.Unlock()
	}
}

// insert records that ordinal holds every block of prefix.
func (x *prefixIndex) insert(prefix []uint64, ordinal int) {
	for _, block := range prefix {
		x.add(block, ordinal)
	}
}

// Match implements sched.PrefixIndex. Blocks that are not sampled count as matched
// if the next sampled block matches.
func (x *prefixIndex) Match(prefix []uint64, matchedBlocks []int) {
	remaining := make(holders, (len(matchedBlocks)+wordBits-1)/wordBits)
	for i := range remaining {
		remaining[i] = ^uint64(0)
	}
	matched := 0
	for b, block := range prefix {
		if !isSampled(block) {
			continue
		}
		if !x.intersect(block, remaining, matchedBlocks, matched) {
			return
		}
		matched = b + 1
	}
	for w, word := range remaining {
		setMatchedBlocks(matchedBlocks, w, word, matched)
	}
}

// intersect removes the ordinals that don't hold block from remaining and sets
// their entries in matchedBlocks to matched. It reports whether any remain.
func (x *prefixIndex) intersect(block uint64, remaining holders, matchedBlocks []int, matched int) bool {
	sh := x.shard(block)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	h := sh.blocks[block]
	union := uint64(0)
	for w := range remaining {
		held := uint64(0)
		if w < len(h) {
			held = h[w]
		}
		setMatchedBlocks(matchedBlocks, w, remaining[w]&^held, matched)
		remaining[w] &= held
		union |= remaining[w]
	}
	return union != 0
}

// setMatchedBlocks sets the entries of the ordinals in word w of a bitmap to
// blocks, unless blocks is 0.
func setMatchedBlocks(matchedBlocks []int, w int, set uint64, blocks int) {
	for blocks > 0 && set != 0 {
		ordinal := w*wordBits + bits.TrailingZeros64(set)
		set &= set - 1
		if ordinal < len(matchedBlocks) {
			matchedBlocks[ordinal] = blocks
		}
	}
}

// matchOne returns the number of leading blocks of prefix that ordinal holds,
// counted as by Match.
func (x *prefixIndex) matchOne(prefix []uint64, ordinal int) int {
	matched := 0
	for b, block := range prefix {
		if !isSampled(block) {
			continue
		}
		if !x.holds(block, ordinal) {
			return matched
		}
		matched = b + 1
	}
	return matched
}

func (x *prefixIndex) holds(block uint64, ordinal int) bool {
	sh := x.shard(block)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.blocks[block].has(ordinal)
}
