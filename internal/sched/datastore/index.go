package datastore

import "sync"

// Bounds of the prefix index.
const (
	indexShards = 16
	// indexStride is the number of blocks per indexed one; it bounds memory.
	indexStride = 4
	// maxIndexBlocks bounds the indexed blocks of all endpoints together.
	maxIndexBlocks = 1 << 17
	wordBits       = 64
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
}

func newIndex() *index {
	x := &index{}
	for i := range x.shards {
		x.shards[i].blocks = make(map[uint64]holders)
	}
	return x
}

func (x *index) shard(block uint64) *indexShard { return &x.shards[block%indexShards] }

// add notes that endpoint i holds block. A full shard drops an arbitrary block.
func (x *index) add(block uint64, i int) {
	sh := x.shard(block)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	h, ok := sh.blocks[block]
	if !ok && len(sh.blocks) >= maxIndexBlocks/indexShards {
		for victim := range sh.blocks {
			delete(sh.blocks, victim)
			break
		}
	}
	sh.blocks[block] = h.with(i)
}

// remove notes that endpoint i no longer holds block.
func (x *index) remove(block uint64, i int) {
	sh := x.shard(block)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.clear(block, i)
}

func (sh *indexShard) clear(block uint64, i int) {
	h, ok := sh.blocks[block]
	if !ok || !h.has(i) {
		return
	}
	h[i/wordBits] &^= 1 << (i % wordBits)
	if h.empty() {
		delete(sh.blocks, block)
	}
}

// removeAll forgets every block of endpoint i.
func (x *index) removeAll(i int) {
	for s := range x.shards {
		sh := &x.shards[s]
		sh.mu.Lock()
		for block := range sh.blocks {
			sh.clear(block, i)
		}
		sh.mu.Unlock()
	}
}

// insert notes that endpoint i holds every block of prefix.
func (x *index) insert(prefix []uint64, i int) {
	for b := 0; b < len(prefix); b++ {
		if indexed(b, len(prefix)) {
			x.add(prefix[b], i)
		}
	}
}

// indexed says whether the block at place b of n is looked up.
func indexed(b, n int) bool { return b%indexStride == indexStride-1 || b == n-1 }

// Match implements sched.PrefixIndex. A block that is not indexed counts with
// the next one that is.
func (x *index) Match(prefix []uint64, depth []int) {
	alive := make(holders, (len(depth)+wordBits-1)/wordBits)
	for i := range alive {
		alive[i] = ^uint64(0)
	}
	for b := 0; b < len(prefix); b++ {
		if b%indexStride != indexStride-1 {
			continue
		}
		if !x.intersect(prefix[b], alive) {
			return
		}
		for i := range depth {
			if alive.has(i) {
				depth[i] = b + 1
			}
		}
	}
}

// intersect narrows alive to the holders of block; false says none is left.
func (x *index) intersect(block uint64, alive holders) bool {
	sh := x.shard(block)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	h := sh.blocks[block]
	left := uint64(0)
	for i := range alive {
		w := uint64(0)
		if i < len(h) {
			w = h[i]
		}
		alive[i] &= w
		left |= alive[i]
	}
	return left != 0
}
