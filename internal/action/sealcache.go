package action

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// cachedSeal is the seal of a stopped incarnation.
type cachedSeal struct {
	Seal
	// claims holds the outcomes of Seal.Claims by attempt.
	claims map[string]failure.Outcome
	// removeAt is when the seal may be removed, as returned by Manager.elapsed.
	removeAt time.Duration
}

// sealCache holds the seals of other incarnations, by incarnation.
type sealCache struct {
	mu    sync.Mutex
	max   int
	items map[string]*cachedSeal
}

func (c *sealCache) init(limit int) {
	c.max = limit
	c.items = make(map[string]*cachedSeal)
}

func (c *sealCache) get(incarnation string) *cachedSeal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[incarnation]
}

// add caches s. If the cache is full, s replaces the seal that would be removed
// first.
func (c *sealCache) add(s *cachedSeal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[s.Incarnation]; !ok && len(c.items) >= c.max {
		c.evict()
	}
	c.items[s.Incarnation] = s
	sealsCached.Set(int64(len(c.items)))
}

// evict removes the seal with the earliest removeAt. The caller holds the lock.
func (c *sealCache) evict() {
	var earliest *cachedSeal
	for _, s := range c.items {
		if earliest == nil || s.removeAt < earliest.removeAt {
			earliest = s
		}
	}
	if earliest != nil {
		delete(c.items, earliest.Incarnation)
	}
}

// removeExpired removes the seals that are no longer needed.
func (c *sealCache) removeExpired(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.items {
		if now >= s.removeAt {
			delete(c.items, id)
		}
	}
	sealsCached.Set(int64(len(c.items)))
}

// ImportSeal caches the seal of another incarnation.
func (m *Manager) ImportSeal(s Seal) { m.cacheSeal(s) }

// CachedSeal returns the seal of an incarnation if this gateway has cached it.
func (m *Manager) CachedSeal(incarnation string) (Seal, bool) {
	cached := m.seals.get(incarnation)
	if cached == nil {
		return Seal{}, false
	}
	return cached.Seal, true
}

func (m *Manager) cacheSeal(s Seal) *cachedSeal {
	cached := &cachedSeal{
		Seal:     s,
		claims:   make(map[string]failure.Outcome, len(s.Claims)),
		removeAt: m.elapsed() + time.Duration(s.RetentionMillis)*time.Millisecond,
	}
	for _, c := range s.Claims {
		cached.claims[c.Attempt] = c.Outcome
	}
	m.seals.add(cached)
	return cached
}

// findSeal returns the seal of an incarnation from the cache or, if fetch is
// set, from a peer or the store. It returns nil if there is none.
func (m *Manager) findSeal(ctx context.Context, incarnation string, fetch bool) *cachedSeal {
	if cached := m.seals.get(incarnation); cached != nil || !fetch {
		return cached
	}
	if m.cfg.Forwarder != nil {
		if s, err := m.cfg.Forwarder.FindSeal(ctx, incarnation); err == nil && s.Incarnation == incarnation {
			return m.cacheSeal(s)
		}
	}
	entry, err := m.storeGet(ctx, SealPrefix+incarnation)
	if err != nil {
		return nil
	}
	s, err := DecodeSeal(entry.Value)
	if err != nil || s.Incarnation != incarnation {
		return nil
	}
	return m.cacheSeal(s)
}

// outcomeFromSeal returns the outcome of a ticket by the seal of its owner. It
// returns false if no seal is found. See findSeal for fetch.
func (m *Manager) outcomeFromSeal(ctx context.Context, key string, t *ticket, fetch bool) (Record, bool) {
	seal := m.findSeal(ctx, t.Owner, fetch)
	if seal == nil {
		return Record{}, false
	}
	rec := Record{Key: key, State: StateFinished, Source: SourceSeal}
	rec.Outcome, rec.Reason = seal.ticketOutcome(t)
	return rec, true
}

// ticketOutcome returns the outcome of a ticket of the sealed incarnation.
func (s *cachedSeal) ticketOutcome(t *ticket) (failure.Outcome, failure.Code) {
	if !(signer{key: s.SigningKey}).verify(t) {
		return failure.NotRun, failure.CodeBadTicket
	}
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].First+s.Ranges[i].Count > t.number })
	if i < len(s.Ranges) && s.Ranges[i].First <= t.number {
		return s.Ranges[i].Outcome, reasonOf(s.Ranges[i].Outcome)
	}
	if t.number < s.MinNumber || t.Expires <= s.ForgottenExpiryMillis {
		return failure.Unknown, failure.CodeOwnerUnreachable
	}
	return failure.NotRun, failure.CodeDraining
}

// reasonOf returns the code that goes with a sealed outcome.
func reasonOf(o failure.Outcome) failure.Code {
	if o == failure.Ran {
		return ""
	}
	return failure.CodeEndpointFailed
}

// claimResultFromSeal returns the result of a claim by the seal of its owner,
// or nil if the seal is not found or doesn't tell. If the seal doesn't list the
// attempt, the claim is read once more, since its outcome may have been written
// since the first read.
func (m *Manager) claimResultFromSeal(ctx context.Context, q Query, v *claimValue) *result {
	seal := m.findSeal(ctx, v.Incarnation, true)
	if seal == nil {
		return nil
	}
	if outcome, ok := seal.claims[v.Attempt]; ok {
		return &result{outcome: outcome, code: reasonOf(outcome), message: "the gateway that ran the action has stopped", bodyDropped: true}
	}
	if m.cfg.Store == nil || m.mayLackClaims(m.cfg.Store.Era()) {
		// The owner may have written the outcome before its seal, and the store lost it.
		return nil
	}
	_, current, err := m.readClaim(ctx, claimStoreKey(claimHash(q.Customer, q.Key)))
	if err != nil || current.Attempt != v.Attempt || seal.ClaimsTruncated {
		return nil
	}
	if current.Outcome != "" {
		return current.result()
	}
	return resultSealed
}
