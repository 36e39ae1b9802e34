package ledger

import "time"

// partTime is how long a part that was read is believed to be kept.
const partTime = 60 * time.Second

// partCache is what an endpoint is believed to hold of prompts.
type partCache struct{ read map[uint64]cachedPart }

type cachedPart struct {
	tokens int
	used   time.Time
}

func newPartCache() partCache { return partCache{read: make(map[uint64]cachedPart)} }

// touch notes that the endpoint reads the parts.
func (c *partCache) touch(parts []Part, now time.Time) {
	for _, p := range parts {
		c.read[p.Hash] = cachedPart{tokens: p.Tokens, used: now}
	}
}

// held returns the number of leading tokens that the endpoint holds.
func (c *partCache) held(parts []Part, now time.Time) int {
	n := 0
	for _, p := range parts {
		known, ok := c.read[p.Hash]
		if !ok || now.Sub(known.used) > partTime {
			break
		}
		n += p.Tokens
	}
	return n
}

func (c *partCache) clear() { clear(c.read) }

// trim forgets the parts that were used least lately until no more than limit
// tokens are left.
func (c *partCache) trim(limit int) {
	total := 0
	for _, p := range c.read {
		total += p.tokens
	}
	for total > limit && len(c.read) > 0 {
		var oldest uint64
		var at time.Time
		for hash, p := range c.read {
			if at.IsZero() || p.used.Before(at) {
				oldest, at = hash, p.used
			}
		}
		total -= c.read[oldest].tokens
		delete(c.read, oldest)
	}
}
