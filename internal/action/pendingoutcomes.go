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

// pendingClaims holds the claim records whose outcome the store doesn't hold
// yet.
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

// upTo returns up to n of the records, in no particular order.
func (p *pendingClaims) upTo(n int) map[recordKey]*record {
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

// abandonClaim gives up an attempt for which the store didn't tell in time who
// holds the claim. Nothing was or will be sent for it, but an earlier request
// under the key may have run at another gateway, so the reported outcome is
// unknown. A claim that may have been written is kept as pending.
func (m *Manager) abandonClaim(k recordKey, rec *record, cause error) {
	maybeWritten := false
	m.records.withLock(k, func(bool) {
		maybeWritten = rec.claim.maybeWritten
		rec.claim.abandoned = true
	})
	if !maybeWritten {
		m.dropRecord(k, rec, resultStoreUnavailable)
		return
	}
	m.records.finish(k, rec, resultStoreUnavailable)
	m.pendingOutcomes.add(k, rec)
}

// resultStoreUnavailable is the result of attempts for which the store didn't
// tell in time who holds the claim.
var resultStoreUnavailable = &result{outcome: failure.Unknown, code: failure.CodeStoreUnavailable, message: "the store is away: nothing was sent for this request, but an earlier one under the key may have run; if there was none, go on with the ticket"}

// resultAbandoned is the result of abandoned attempts, once the store holds it.
var resultAbandoned = &result{outcome: failure.NotRun, code: failure.CodeStoreUnavailable, message: "the action was not sent, since the store was away"}

// dropRecord finishes rec with res, for a key that this attempt doesn't hold. The record is
// removed first: a caller that repeats the call after the answer must not get the answer again.
func (m *Manager) dropRecord(k recordKey, rec *record, res *result) {
	m.removeRecord(k, rec)
	m.records.finish(k, rec, res)
}

// removeRecord removes a record that is not needed, and releases its quota.
func (m *Manager) removeRecord(k recordKey, rec *record) {
	m.records.remove(k, rec)
	m.quotas.records.release(1)
}

// finishFromClaim finishes rec with the result of the claim of an earlier
// attempt, and removes rec, since this attempt doesn't hold the key.
func (m *Manager) finishFromClaim(ctx context.Context, c Call, k recordKey, rec *record, found *claimValue) {
	res := m.resultOfClaim(ctx, Query{Customer: c.Customer, Key: c.Key}, found)
	if found.Fingerprint != "" && found.Fingerprint != hex.EncodeToString(rec.fingerprint[:]) {
		r := keyReusedRefusal(res.outcome)
		res = &result{outcome: r.Outcome, code: r.Code, message: r.Message}
	}
	m.dropRecord(k, rec, res)
}

// resultOfClaim returns the result of a claim of another attempt.
func (m *Manager) resultOfClaim(ctx context.Context, q Query, v *claimValue) *result {
	if v.Outcome != "" {
		return v.result()
	}
	if v.Incarnation != m.cfg.Incarnation {
		if res := m.resultFromOwner(ctx, q, v); res != nil {
			return res
		}
	}
	claimsInDoubt.Inc()
	return resultInDoubt
}

// resultInDoubt is the result of claims without an outcome whose owner doesn't
// supply one either.
var resultInDoubt = &result{outcome: failure.Unknown, code: failure.CodeOwnerUnreachable, message: "another gateway has claimed the key and left no outcome; the action may have run"}

// result returns the outcome in the claim as a result.
func (v *claimValue) result() *result {
	res := &result{outcome: v.Outcome, status: v.Status, bodyDropped: true, code: v.Reason}
	if v.Reason != "" {
		res.message = "the action ended so at another gateway"
	}
	if v.isClosedByRestore() {
		res.message = resultStoreRestored.message
	}
	return res
}

// resultFromOwner returns the result of a claim without an outcome from the
// claim's owner or, if the owner can't be reached, from its seal. It returns
// nil if neither tells.
func (m *Manager) resultFromOwner(ctx context.Context, q Query, v *claimValue) *result {
	if q.Forwarded || m.cfg.Forwarder == nil {
		return nil
	}
	q.Attempt = v.Attempt
	q.Forwarded = true
	rec, err := m.cfg.Forwarder.ForwardOutcome(ctx, v.Incarnation, q)
	if err == nil {
		return resultOfRecord(rec)
	}
	var refusal *failure.Refusal
	if errors.As(err, &refusal) {
		return nil
	}
	return m.claimResultFromSeal(ctx, q, v)
}

// resultOfRecord converts a peer's record to a result.
func resultOfRecord(rec Record) *result {
	if rec.State != StateFinished {
		r := inProgressRefusal()
		return &result{outcome: r.Outcome, code: r.Code, message: r.Message}
	}
	res := &result{outcome: rec.Outcome, status: rec.Status, bodyDropped: true, code: rec.Reason}
	if rec.Reason != "" {
		res.message = "the action ended so at another gateway"
	}
	return res
}

// WritePendingOutcomes writes the outcomes of up to limit pending claims to the
// store, with a few store calls for each. It returns how many claims are no
// longer pending. If the store has been restored, the claims that this gateway holds are
// pending again; one more call asks for that.
func (m *Manager) WritePendingOutcomes(ctx context.Context, limit int) int {
	m.noteRestore(ctx)
	n := 0
	for k, rec := range m.pendingOutcomes.upTo(limit) {
		if m.storeOutcome(ctx, k, rec) {
			n++
		}
	}
	return n
}

// storeOutcome writes the outcome of rec's claim to the store. It reports
// whether nothing is left to be written.
func (m *Manager) storeOutcome(ctx context.Context, k recordKey, rec *record) bool {
	var claim claimState
	var res *result
	m.records.withLock(k, func(bool) { claim, res = *rec.claim, rec.result })
	switch {
	case claim.outcomeStored:
	case claim.confirmed && claim.era < m.cfg.Store.Era().Number:
		if !m.writeClaimAgain(ctx, k, rec, claim.resultToStore(res)) {
			return false
		}
	case claim.confirmed && res == nil:
	case claim.confirmed:
		if !m.addOutcomeToClaim(ctx, k, rec, claim, res) {
			return false
		}
	default:
		if !m.storeAbandoned(ctx, k, rec) {
			return false
		}
	}
	return m.settlePending(k, rec)
}

// settlePending takes rec off the pending claims unless the store has been restored, or the
// run has ended, since the claim was last written. It reports whether rec is off.
func (m *Manager) settlePending(k recordKey, rec *record) bool {
	settled := false
	m.records.withLock(k, func(bool) {
		settled = !rec.claim.confirmed || rec.claim.outcomeStored || rec.result == nil && rec.claim.era >= m.lastEra.Load()
		if settled {
			m.pendingOutcomes.remove(k)
		}
	})
	return settled
}

// resultToStore returns the result to be stored for a claim whose record has the result res.
func (c *claimState) resultToStore(res *result) *result {
	if c.abandoned {
		return resultAbandoned
	}
	return res
}

// addOutcomeToClaim adds res to a claim that the store holds. It reports
// whether nothing is left to be written.
func (m *Manager) addOutcomeToClaim(ctx context.Context, k recordKey, rec *record, claim claimState, res *result) bool {
	res = claim.resultToStore(res)
	v := claimValue{Outcome: res.outcome, Status: res.status, Reason: res.code}
	opts := platform.PutOptions{IfVersion: &claim.version, Era: claim.era, Lease: m.getClaimLease(ctx)}
	entry, err := m.storePut(ctx, claim.storeKey, m.encodeRecordClaim(rec, v), opts)
	if err == nil {
		m.setOutcomeStored(k, rec, entry.Version, claim.era, res)
		return true
	}
	var restored *platform.RestoredError
	if errors.As(err, &restored) {
		return m.writeClaimAgain(ctx, k, rec, res)
	}
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		m.forgetEndedLease(err)
		return false
	}
	entry, found, err := m.readClaim(ctx, claim.storeKey)
	if errors.As(err, &missing) {
		m.setOutcomeStored(k, rec, 0, claim.era, res)
		return true
	}
	if err != nil {
		return false
	}
	if found.Attempt == rec.attemptID && found.Outcome == "" {
		m.setConfirmed(k, rec, entry.Version, claim.era, false)
		return false
	}
	// Either the store holds the outcome, or the claim was removed and the key
	// has been claimed again. There is nothing left to write.
	m.setOutcomeStored(k, rec, entry.Version, claim.era, res)
	return true
}

// storeAbandoned handles an abandoned attempt for which it is not known whether
// its claim was written. It writes a claim with the outcome failure.NotRun, or
// adds that outcome to the claim if it was written. It reports whether nothing
// is left to be written.
func (m *Manager) storeAbandoned(ctx context.Context, k recordKey, rec *record) bool {
	v := claimValue{Outcome: resultAbandoned.outcome, Reason: resultAbandoned.code}
	found, err := m.tryClaim(ctx, k, rec, v)
	if err != nil {
		return false
	}
	if found != nil {
		m.removeRecord(k, rec)
		return true
	}
	var claim claimState
	m.records.withLock(k, func(bool) { claim = *rec.claim })
	if !claim.outcomeStored {
		return m.addOutcomeToClaim(ctx, k, rec, claim, resultAbandoned)
	}
	m.setOutcomeStored(k, rec, claim.version, claim.era, resultAbandoned)
	return true
}

// setOutcomeStored notes that nothing about the claim is left to be written, unless the store
// has been restored since era, in which the outcome was stored. res replaces the result of an
// abandoned attempt.
func (m *Manager) setOutcomeStored(k recordKey, rec *record, version, era uint64, res *result) {
	now := m.elapsed()
	m.records.withLock(k, func(bool) {
		rec.claim.outcomeStored = era >= m.lastEra.Load()
		rec.claim.version = version
		rec.removeAt = now + m.limits.ClaimRecordRetention
		if rec.claim.abandoned {
			rec.result = res
		}
	})
}

// claimLeaseCache holds the lease that removes claims with an outcome from the
// store after Limits.StoredClaimRetention. Claims share it for
// claimLeaseReuseTime.
type claimLeaseCache struct {
	mu         sync.Mutex
	id         platform.LeaseID
	grantedAt  time.Duration
	grantGroup singleflight.Group
}

// claimLeaseReuseTime is how long new claims are attached to one lease.
const claimLeaseReuseTime = time.Hour

// forget drops the lease if it is the shared one.
func (l *claimLeaseCache) forget(id platform.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = ""
	}
}

// current returns the lease, or none if it is too old for new claims at now.
func (l *claimLeaseCache) current(now time.Duration) platform.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == "" || now >= l.grantedAt+claimLeaseReuseTime {
		return ""
	}
	return l.id
}

func (l *claimLeaseCache) set(id platform.LeaseID, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
	l.grantedAt = now
}

// getClaimLease returns the lease for claims with an outcome, or none if the
// store doesn't grant one. A claim without a lease is removed by ReapClaims.
func (m *Manager) getClaimLease(ctx context.Context) platform.LeaseID {
	if id := m.claimLease.current(m.elapsed()); id != "" {
		return id
	}
	// The lock isn't held during the call. Concurrent callers share one grant.
	id, _, _ := m.claimLease.grantGroup.Do("", func() (any, error) { return m.grantLease(ctx), nil })
	return id.(platform.LeaseID)
}

// claimLeaseTime returns how long the store keeps a lease for claims: the claim that is
// attached last stays for StoredClaimRetention.
func (m *Manager) claimLeaseTime() time.Duration {
	return m.limits.StoredClaimRetention + claimLeaseReuseTime
}

// grantLease requests a lease from the store. It returns none if that fails.
func (m *Manager) grantLease(ctx context.Context) platform.LeaseID {
	if m.cfg.Store == nil {
		return ""
	}
	claimStoreCalls.Inc()
	now := m.elapsed()
	ctx, cancel := context.WithTimeout(ctx, m.limits.StoreTimeout)
	defer cancel()
	id, err := m.cfg.Store.Grant(ctx, m.claimLeaseTime())
	if err != nil {
		return ""
	}
	m.claimLease.set(id, now)
	return id
}

// RemoveExpired removes the records and seals that are no longer needed.
func (m *Manager) RemoveExpired() {
	now := m.elapsed()
	m.records.removeExpired(now, func(rec *record) {
		if rec.done == nil {
			m.quotas.voidRecords.release(1)
			return
		}
		m.quotas.records.release(1)
		m.quotas.bodyBytes.release(len(rec.result.body))
	})
	m.seals.removeExpired(now)
}
