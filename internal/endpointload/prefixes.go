package endpointload

import (
	"sync"
	"time"
)

// Bounds of the time for which a part that was read is believed to be kept.
const (
	minPartTime = 2 * time.Second
	maxPartTime = 60 * time.Second
)

// maxParts is the number of parts beyond which old ones are dropped.
const maxParts = 4096

// partCache is what an endpoint is believed to hold of prompts: when each part,
// known by its hash with all parts before it, was last used.
type partCache struct{ used map[uint64]time.Time }

func newPartCache() partCache { return partCache{used: make(map[uint64]time.Time)} }

// touch notes that the endpoint reads the parts.
func (c *partCache) touch(parts []Segment, now time.Time) {
	for _, p := range parts {
		c.set(p.PrefixHash, now)
	}
}

func (c *partCache) set(hash uint64, at time.Time) {
	if at.After(c.used[hash]) {
		c.used[hash] = at
	}
	if len(c.used) > maxParts {
		c.drop(at)
	}
}

// drop forgets what is too old to count.
func (c *partCache) drop(now time.Time) {
	for hash, used := range c.used {
		if now.Sub(used) > maxPartTime {
			delete(c.used, hash)
		}
	}
}

// held returns the number of leading tokens that the endpoint holds of a
// prompt, if it keeps parts for the given time. A part is kept with all those
// before it.
func (c *partCache) held(parts []Segment, keep time.Duration, now time.Time) int {
	for i := len(parts) - 1; i >= 0; i-- {
		used, ok := c.used[parts[i].PrefixHash]
		if !ok || now.Sub(used) > keep {
			continue
		}
		n := 0
		for _, p := range parts[:i+1] {
			n += p.Tokens
		}
		return n
	}
	return 0
}

func (c *partCache) clear() { clear(c.used) }

// keepTime is how long an endpoint keeps a part that it does not use: until it
// has read as many tokens as its free memory holds. use is the share of its
// time that it reads.
func keepTime(free int, use float64, tokenTime time.Duration) time.Duration {
	if use <= 0 {
		return maxPartTime
	}
	t := time.Duration(float64(free) * float64(tokenTime) / use)
	return min(max(t, minPartTime), maxPartTime)
}

// CachedPrefix tells that an endpoint has read a prompt up to a part.
type CachedPrefix struct {
	ID string
	// PrefixHash is that of the last part read with all parts before it.
	PrefixHash uint64
}

// readings is the log of what this gateway had endpoints read.
type readings struct {
	mu  sync.Mutex
	log []loggedReading
	// last is when each reading was logged last.
	last map[CachedPrefix]time.Time
}

type loggedReading struct {
	CachedPrefix
	at time.Time
}

const (
	// repeatReading is the time after which a reading is told again.
	repeatReading = 3 * time.Second
	// maxReadings bounds what is told at once.
	maxReadings = 64
)

func newReadings() *readings { return &readings{last: make(map[CachedPrefix]time.Time)} }

// note logs a reading unless it was logged lately.
func (r *readings) note(x CachedPrefix, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.last[x]; ok && now.Sub(at) < repeatReading {
		return
	}
	r.last[x] = now
	r.log = append(r.log, loggedReading{CachedPrefix: x, at: now})
	for len(r.log) > 0 && now.Sub(r.log[0].at) > repeatReading {
		delete(r.last, r.log[0].CachedPrefix)
		r.log = r.log[1:]
	}
}

// since returns what was logged in the last while, the newest first.
func (r *readings) since(from time.Time) []CachedPrefix {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []CachedPrefix
	for i := len(r.log) - 1; i >= 0 && r.log[i].at.After(from) && len(out) < maxReadings; i-- {
		out = append(out, r.log[i].CachedPrefix)
	}
	return out
}

// CachedPrefixes returns what this gateway had endpoints read in the last while, for
// the other gateways.
func (l *Tracker) CachedPrefixes(within time.Duration, now time.Time) []CachedPrefix {
	return l.readings.since(now.Add(-within))
}

// RegionCachedPrefixes returns the same together with what the other gateways of the
// region told.
func (l *Tracker) RegionCachedPrefixes(within time.Duration, now time.Time) []CachedPrefix {
	return append(l.readings.since(now.Add(-within)), l.relayed.since(now.Add(-within))...)
}

// ApplyCachedPrefixes takes in what other gateways had endpoints read. Those of the
// own region are told on by its hubs.
func (l *Tracker) ApplyCachedPrefixes(list []CachedPrefix, tellOn bool, now time.Time) {
	for _, x := range list {
		if tellOn {
			l.relayed.note(x, now)
		}
		sh := l.shard(x.ID)
		sh.mu.Lock()
		if a, ok := sh.accounts[x.ID]; ok {
			a.parts.set(x.PrefixHash, now)
		}
		sh.mu.Unlock()
	}
}
