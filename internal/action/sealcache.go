package action

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// heldSeal is a seal of a stopped incarnation.
type heldSeal struct {
	Seal
	claims   map[string]failure.Outcome
	removeAt time.Duration
}

// sealCache holds the seals of other incarnations.
type sealCache struct {
	mu    sync.Mutex
	max   int
	items map[string]*heldSeal
}

func (c *sealCache) init(limit int) {
	c.max = limit
	c.items = make(map[string]*heldSeal)
}

func (c *sealCache) get(incarnation string) *heldSeal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[incarnation]
}

// add keeps s, in place of the one that would be dropped first if the cache
// is full.
func (c *sealCache) add(s *heldSeal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[s.Incarnation]; !ok && len(c.items) >= c.max {
		c.evict()
	}
	c.items[s.Incarnation] = s
	sealsHeld.Set(int64(len(c.items)))
}

// evict drops the seal that is needed for the shortest time.
func (c *sealCache) evict() {
	var first *heldSeal
	for _, s := range c.items {
		if first == nil || s.removeAt < first.removeAt {
			first = s
		}
	}
	if first != nil {
		delete(c.items, first.Incarnation)
	}
}

// sweep drops the seals that are not needed any more.
func (c *sealCache) sweep(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.items {
		if now >= s.removeAt {
			delete(c.items, id)
		}
	}
	sealsHeld.Set(int64(len(c.items)))
}

// ImportSeal keeps the seal of another incarnation.
func (m *Manager) ImportSeal(s Seal) { m.hold(s) }

// CachedSeal returns the seal of an incarnation if this gateway holds it.
func (m *Manager) CachedSeal(incarnation string) (Seal, bool) {
	held := m.seals.get(incarnation)
	if held == nil {
		return Seal{}, false
	}
	return held.Seal, true
}

func (m *Manager) hold(s Seal) *heldSeal {
	held := &heldSeal{
		Seal:     s,
		claims:   make(map[string]failure.Outcome, len(s.Claims)),
		removeAt: m.elapsed() + time.Duration(s.KeepMillis)*time.Millisecond,
	}
	for _, c := range s.Claims {
		held.claims[c.Attempt] = c.Outcome
	}
	m.seals.add(held)
	return held
}

// findSeal returns the seal of an incarnation: the one held here, or if seek
// is set one that a peer or the store holds.
func (m *Manager) findSeal(ctx context.Context, incarnation string, seek bool) *heldSeal {
	if held := m.seals.get(incarnation); held != nil || !seek {
		return held
	}
	if m.cfg.Forwarder != nil {
		if s, err := m.cfg.Forwarder.FindSeal(ctx, incarnation); err == nil && s.Incarnation == incarnation {
			return m.hold(s)
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
	return m.hold(s)
}

// sealedOutcome tells what the seal of a ticket's owner says of the ticket.
func (m *Manager) sealedOutcome(ctx context.Context, key string, t *ticket, seek bool) (Record, bool) {
	held := m.findSeal(ctx, t.Owner, seek)
	if held == nil {
		return Record{}, false
	}
	rec := Record{Key: key, State: StateFinished, Source: SourceSeal}
	rec.Outcome, rec.Reason = held.outcomeOf(t)
	return rec, true
}

// outcomeOf tells what the seal says of a ticket.
func (h *heldSeal) outcomeOf(t *ticket) (failure.Outcome, failure.Code) {
	if !(signer{key: h.SigningKey}).verify(t) {
		return failure.NotRun, failure.CodeBadTicket
	}
	i := sort.Search(len(h.Ranges), func(i int) bool { return h.Ranges[i].First+h.Ranges[i].Count > t.number })
	if i < len(h.Ranges) && h.Ranges[i].First <= t.number {
		return h.Ranges[i].Outcome, reasonOf(h.Ranges[i].Outcome)
	}
	if t.number < h.Floor || t.Expires <= h.ForgottenMillis {
		return failure.Unknown, failure.CodeOwnerUnreachable
	}
	return failure.NotRun, failure.CodeDraining
}

// reasonOf gives the code that goes with a sealed outcome.
func reasonOf(o failure.Outcome) failure.Code {
	if o == failure.Ran {
		return ""
	}
	return failure.CodeEndpointFailed
}

// sealedClaim tells what the seal of a claim's owner says of its attempt. The
// claim is read once more: its outcome may have been written since.
func (m *Manager) sealedClaim(ctx context.Context, q Query, v *claimValue) *result {
	held := m.findSeal(ctx, v.Incarnation, true)
	if held == nil {
		return nil
	}
	if outcome, ok := held.claims[v.Attempt]; ok {
		return &result{outcome: outcome, code: reasonOf(outcome), message: "the gateway that ran the action has stopped", bodyDropped: true}
	}
	_, again, err := m.readClaim(ctx, claimStoreKey(claimHash(q.Customer, q.Key)))
	if err != nil || again.Attempt != v.Attempt || held.ClaimsCut {
		return nil
	}
	if again.Outcome != "" {
		return again.result()
	}
	return voidSealed
}
