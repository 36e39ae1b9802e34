package action

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// pendingClaims lists the records whose outcome the store doesn't hold yet.
type pendingClaims struct {
	mu    sync.Mutex
	items map[recordKey]*record
}

func (p *pendingClaims) add(k recordKey, rec *record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.items == nil {
		p.items = make(map[recordKey]*record)
	}
	p.items[k] = rec
	claimsPending.Set(int64(len(p.items)))
}

func (p *pendingClaims) remove(k recordKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.items, k)
	claimsPending.Set(int64(len(p.items)))
}

// some returns up to n of the records.
func (p *pendingClaims) some(n int) map[recordKey]*record {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[recordKey]*record, min(n, len(p.items)))
	for k, rec := range p.items {
		if len(out) == n {
			break
		}
		out[k] = rec
	}
	return out
}

// abandonClaim gives up an attempt whose claim the store didn't settle in time.
// Nothing was or will be sent under it, but an earlier request under the key
// may have run at another gateway, so that the outcome told is unknown.
func (m *Manager) abandonClaim(k recordKey, rec *record, cause error) {
	maybe := false
	m.records.with(k, func(bool) {
		maybe = rec.claim.maybe
		rec.claim.voided = true
		if rec.phase != phaseFinished {
			rec.end(storeAway)
		}
	})
	if !maybe {
		m.forget(k, rec)
		return
	}
	m.pending.add(k, rec)
}

// storeAway is the result of attempts whose claim the store didn't settle.
var storeAway = &result{outcome: failure.Unknown, code: failure.CodeStoreUnavailable, message: "the store is away: nothing was sent for this request, but an earlier one under the key may have run; if there was none, go on with the ticket"}

// voidStored is the result of given-up attempts once the store holds them.
var voidStored = &result{outcome: failure.NotRun, code: failure.CodeStoreUnavailable, message: "the action was not sent, since the store was away"}

// forget drops an unneeded record.
func (m *Manager) forget(k recordKey, rec *record) {
	m.records.drop(k, rec)
	m.quotas.records.give(1)
}

// finishAsFound ends rec as the claim of an earlier attempt says, and forgets
// rec: the key isn't this attempt's.
func (m *Manager) finishAsFound(ctx context.Context, c Call, k recordKey, rec *record, found *claimValue) {
	res := m.resultOfClaim(ctx, Query{Customer: c.Customer, Key: c.Key}, found)
	if found.Print != "" && found.Print != hex.EncodeToString(rec.print[:]) {
		r := keyReused(res.outcome)
		res = &result{outcome: r.Outcome, code: r.Code, message: r.Message}
	}
	m.records.finish(k, rec, res)
	m.forget(k, rec)
}

// resultOfClaim tells how the action of a claim of another attempt ended.
func (m *Manager) resultOfClaim(ctx context.Context, q Query, v *claimValue) *result {
	if v.Outcome != "" {
		return v.result()
	}
	if v.Incarnation != m.cfg.Incarnation {
		if res := m.askOwner(ctx, q, v); res != nil {
			return res
		}
	}
	claimsInDoubt.Inc()
	return claimInDoubt
}

// claimInDoubt is the result of claims without an outcome whose owner gave none.
var claimInDoubt = &result{outcome: failure.Unknown, code: failure.CodeOwnerUnreachable, message: "another gateway has claimed the key and left no outcome; the action may have run"}

// result is the outcome that the claim holds.
func (v *claimValue) result() *result {
	res := &result{outcome: v.Outcome, status: v.Status, bodyDropped: true, code: v.Reason}
	if v.Reason != "" {
		res.message = "the action ended so at another gateway"
	}
	return res
}

// askOwner asks the owner of a claim without an outcome, or its seal.
func (m *Manager) askOwner(ctx context.Context, q Query, v *claimValue) *result {
	if q.Forwarded || m.cfg.Forwarder == nil {
		return nil
	}
	q.Attempt = v.Attempt
	q.Forwarded = true
	rec, err := m.cfg.Forwarder.ForwardOutcome(ctx, v.Incarnation, q)
	if err == nil {
		return recordResult(rec)
	}
	var refusal *failure.Refusal
	if errors.As(err, &refusal) {
		return nil
	}
	return m.sealedClaim(ctx, q, v)
}

// recordResult turns a peer's record into a result.
func recordResult(rec Record) *result {
	if rec.State != StateFinished {
		r := inProgress()
		return &result{outcome: r.Outcome, code: r.Code, message: r.Message}
	}
	res := &result{outcome: rec.Outcome, status: rec.Status, bodyDropped: true, code: rec.Reason}
	if rec.Reason != "" {
		res.message = "the action ended so at another gateway"
	}
	return res
}

// WritePendingOutcomes writes the outcomes that wait for the store, with up to limit claims
// and a few store calls for each. It returns how many it settled.
func (m *Manager) WritePendingOutcomes(ctx context.Context, limit int) int {
	n := 0
	for k, rec := range m.pending.some(limit) {
		if m.settle(ctx, k, rec) {
			n++
		}
	}
	return n
}

// settle writes the outcome of rec's claim to the store and reports whether
// nothing is left to do.
func (m *Manager) settle(ctx context.Context, k recordKey, rec *record) bool {
	var claim claimState
	var res *result
	m.records.with(k, func(bool) { claim, res = *rec.claim, rec.result })
	switch {
	case claim.written:
	case claim.confirmed:
		if !m.writeOutcome(ctx, k, rec, claim, res) {
			return false
		}
	default:
		if !m.settleVoid(ctx, k, rec) {
			return false
		}
	}
	m.pending.remove(k)
	return true
}

// writeOutcome adds res to a claim that the store holds.
func (m *Manager) writeOutcome(ctx context.Context, k recordKey, rec *record, claim claimState, res *result) bool {
	if claim.voided {
		res = voidStored
	}
	v := claimValue{Outcome: res.outcome, Status: res.status, Reason: res.code}
	opts := platform.PutOptions{IfVersion: &claim.version, Lease: m.claimLease(ctx)}
	entry, err := m.storePut(ctx, claim.storeKey, m.claimBytes(rec, v), opts)
	if err == nil {
		m.settled(k, rec, entry.Version, res)
		return true
	}
	entry, found, err := m.readClaim(ctx, claim.storeKey)
	var gone *platform.NotFoundError
	if errors.As(err, &gone) {
		m.settled(k, rec, 0, res)
		return true
	}
	if err != nil {
		return false
	}
	if found.Attempt == rec.attempt && found.Outcome == "" {
		m.confirm(k, rec, entry.Version, false)
		return false
	}
	// The store holds the outcome, or the claim was removed and the key claimed
	// anew: either way there is nothing left to write.
	m.settled(k, rec, entry.Version, res)
	return true
}

// settleVoid settles an attempt that was given up without knowing whether its
// claim took effect: it makes the claim itself say that the action wasn't run.
func (m *Manager) settleVoid(ctx context.Context, k recordKey, rec *record) bool {
	v := claimValue{Outcome: voidStored.outcome, Reason: voidStored.code}
	found, err := m.tryClaim(ctx, k, rec, v)
	if err != nil {
		return false
	}
	if found != nil {
		m.forget(k, rec)
		return true
	}
	var claim claimState
	m.records.with(k, func(bool) { claim = *rec.claim })
	if !claim.written {
		return m.writeOutcome(ctx, k, rec, claim, voidStored)
	}
	m.settled(k, rec, claim.version, voidStored)
	return true
}

// settled notes that the store holds the outcome.
func (m *Manager) settled(k recordKey, rec *record, version uint64, res *result) {
	now := m.elapsed()
	m.records.with(k, func(bool) {
		rec.claim.written = true
		rec.claim.version = version
		rec.removeAt = now + m.limits.ClaimRetention
		if rec.claim.voided {
			rec.result = res
		}
	})
}

// claimLeases keeps the lease that removes claims with an outcome from the
// store when ClaimMemory is over. One lease serves many claims.
type claimLeases struct {
	mu      sync.Mutex
	id      platform.LeaseID
	granted time.Duration
	grants  singleflight.Group
}

// claimLeaseAge is how long one lease is given to claims.
const claimLeaseAge = time.Hour

// current returns the lease if it is still given to claims at now.
func (l *claimLeases) current(now time.Duration) platform.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == "" || now >= l.granted+claimLeaseAge {
		return ""
	}
	return l.id
}

func (l *claimLeases) set(id platform.LeaseID, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
	l.granted = now
}

// claimLease returns the lease for claims with an outcome, or none if the
// store grants none; the reaper then removes the claim.
func (m *Manager) claimLease(ctx context.Context) platform.LeaseID {
	if id := m.leases.current(m.elapsed()); id != "" {
		return id
	}
	// The lock isn't held over the call; callers at once share one grant.
	id, _, _ := m.leases.grants.Do("", func() (any, error) { return m.grantLease(ctx), nil })
	return id.(platform.LeaseID)
}

// grantLease asks the store for a lease, and returns none if it gives none.
func (m *Manager) grantLease(ctx context.Context) platform.LeaseID {
	if m.cfg.Store == nil {
		return ""
	}
	claimCalls.Inc()
	now := m.elapsed()
	ctx, cancel := context.WithTimeout(ctx, m.limits.StoreTimeout)
	defer cancel()
	id, err := m.cfg.Store.Grant(ctx, m.limits.ClaimMemory+claimLeaseAge)
	if err != nil {
		return ""
	}
	m.leases.set(id, now)
	return id
}

// RemoveExpired forgets the records and seals that are no longer needed.
func (m *Manager) RemoveExpired() {
	now := m.elapsed()
	m.records.sweep(now, func(rec *record) {
		if rec.done == nil {
			m.quotas.voids.give(1)
			return
		}
		m.quotas.records.give(1)
		m.quotas.bodies.give(len(rec.result.body))
	})
	m.seals.sweep(now)
}
