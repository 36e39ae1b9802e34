package endpointload

import (
	"sync"
	"time"
)

// Bounds of the time for which a prefix is believed to stay cached.
const (
	minRetention = 2 * time.Second
	maxRetention = 60 * time.Second
)

// maxCachedPrefixes is the number of prefixes of an endpoint above which
// expired ones are removed.
const maxCachedPrefixes = 4096

// prefixCache holds the prompt prefixes that an endpoint is believed to have
// cached: the time of last use by prefix hash.
type prefixCache struct{ lastUsed map[uint64]time.Time }

func newPrefixCache() prefixCache { return prefixCache{lastUsed: make(map[uint64]time.Time)} }

// touch records that the endpoint prefills the segments.
func (c *prefixCache) touch(segments []Segment, now time.Time) {
	for _, s := range segments {
		c.record(s.PrefixHash, now)
	}
}

func (c *prefixCache) record(hash uint64, at time.Time) {
	if at.After(c.lastUsed[hash]) {
		c.lastUsed[hash] = at
	}
	if len(c.lastUsed) > maxCachedPrefixes {
		c.evict(at)
	}
}

// evict removes the prefixes that were not used for maxRetention.
func (c *prefixCache) evict(now time.Time) {
	for hash, lastUsed := range c.lastUsed {
		if now.Sub(lastUsed) > maxRetention {
			delete(c.lastUsed, hash)
		}
	}
}

// cachedTokens returns the length of the longest prefix of the segments that
// the endpoint has cached, given that it retains unused prefixes for the
// retention time. A cached prefix implies all shorter ones.
func (c *prefixCache) cachedTokens(segments []Segment, retention time.Duration, now time.Time) int {
	for i := len(segments) - 1; i >= 0; i-- {
		lastUsed, ok := c.lastUsed[segments[i].PrefixHash]
		if !ok || now.Sub(lastUsed) > retention {
			continue
		}
		n := 0
		for _, s := range segments[:i+1] {
			n += s.Tokens
		}
		return n
	}
	return 0
}

func (c *prefixCache) clear() { clear(c.lastUsed) }

// retentionTime estimates how long an endpoint retains an unused prefix: until
// it has prefilled as many tokens as its free KV cache holds.
func retentionTime(freeTokens int, prefillUtilization float64, prefillPerToken time.Duration) time.Duration {
	if prefillUtilization <= 0 {
		return maxRetention
	}
	t := time.Duration(float64(freeTokens) * float64(prefillPerToken) / prefillUtilization)
	return min(max(t, minRetention), maxRetention)
}

// CachedPrefix reports that an endpoint has prefilled a prompt prefix. ID is
// the endpoint's.
type CachedPrefix struct {
	ID string
	// PrefixHash is the Segment.PrefixHash of the last segment of the prefix.
	PrefixHash uint64
}

// prefixLog is a log of recently prefilled prefixes.
type prefixLog struct {
	mu  sync.Mutex
	log []loggedPrefix
	// lastLogged is when each prefix in the log was last logged.
	lastLogged map[CachedPrefix]time.Time
}

type loggedPrefix struct {
	CachedPrefix
	at time.Time
}

const (
	// prefixRepeatInterval is the time after which a prefix is reported again.
	prefixRepeatInterval = 3 * time.Second
	// maxReportedPrefixes is the maximum number of prefixes in one report.
	maxReportedPrefixes = 64
)

func newPrefixLog() *prefixLog { return &prefixLog{lastLogged: make(map[CachedPrefix]time.Time)} }

// record logs a prefix unless it was logged within prefixRepeatInterval.
func (l *prefixLog) record(p CachedPrefix, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.lastLogged[p]; ok && now.Sub(at) < prefixRepeatInterval {
		return
	}
	l.lastLogged[p] = now
	l.log = append(l.log, loggedPrefix{CachedPrefix: p, at: now})
	for len(l.log) > 0 && now.Sub(l.log[0].at) > prefixRepeatInterval {
		delete(l.lastLogged, l.log[0].CachedPrefix)
		l.log = l.log[1:]
	}
}

// since returns the prefixes logged after from, the newest first, up to
// maxReportedPrefixes.
func (l *prefixLog) since(from time.Time) []CachedPrefix {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []CachedPrefix
	for i := len(l.log) - 1; i >= 0 && l.log[i].at.After(from) && len(out) < maxReportedPrefixes; i-- {
		out = append(out, l.log[i].CachedPrefix)
	}
	return out
}

// CachedPrefixes returns the prefixes that this gateway's requests had
// prefilled within the given time, to be reported to other gateways.
func (t *Tracker) CachedPrefixes(within time.Duration, now time.Time) []CachedPrefix {
	return t.ownPrefixes.since(now.Add(-within))
}

// RegionCachedPrefixes returns the same together with those that other gateways
// of the region reported.
func (t *Tracker) RegionCachedPrefixes(within time.Duration, now time.Time) []CachedPrefix {
	return append(t.ownPrefixes.since(now.Add(-within)), t.peerPrefixes.since(now.Add(-within))...)
}

// ApplyCachedPrefixes adds prefixes that other gateways reported to the
// accounts of known endpoints. With relay set, RegionCachedPrefixes includes
// them; it is set for reports of the local region, which its hubs pass on.
func (t *Tracker) ApplyCachedPrefixes(prefixes []CachedPrefix, relay bool, now time.Time) {
	for _, p := range prefixes {
		if relay {
			t.peerPrefixes.record(p, now)
		}
		sh := t.shard(p.ID)
		sh.mu.Lock()
		if a, ok := sh.accounts[p.ID]; ok {
			a.prefixes.record(p.PrefixHash, now)
		}
		sh.mu.Unlock()
	}
}
