package action

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// claimOutcome returns the outcome of the action of a caller key.
func (m *Manager) claimOutcome(ctx context.Context, q Query) (Record, error) {
	if r := checkCallerKey(q.Key); r != nil {
		return Record{}, r
	}
	hash := claimHash(q.Customer, q.Key)
	k := claimRecordKey(hash)
	var rec *record
	m.records.withRecord(k, func(r *record, _ bool) { rec = r })
	if q.Forwarded {
		return m.ownClaimOutcome(q, k, rec)
	}
	if rec == nil {
		return m.storedOutcome(ctx, q, claimStoreKey(hash))
	}
	if m.isUnstoredAbandoned(k, rec) {
		m.storeOutcome(ctx, k, rec)
	}
	return m.snapshotRecord(q.Key, k, rec, SourceClaim), nil
}

// isUnstoredAbandoned reports whether rec's attempt was abandoned and the store
// doesn't hold that outcome yet.
func (m *Manager) isUnstoredAbandoned(k recordKey, rec *record) (unstored bool) {
	m.records.withLock(k, func(bool) { unstored = rec.claim.abandoned && !rec.claim.outcomeStored })
	return unstored
}

// ownClaimOutcome serves a peer that has found a claim of this incarnation
// without an outcome.
func (m *Manager) ownClaimOutcome(q Query, k recordKey, rec *record) (Record, error) {
	if rec == nil || rec.attemptID != q.Attempt {
		return Record{}, failure.New(failure.CodeNotFound, failure.Unknown, "this gateway has no record of the attempt")
	}
	out := m.snapshotRecord(q.Key, k, rec, SourceClaim)
	m.records.withLock(k, func(bool) {
		// The peer has seen the claim of this attempt, so no other attempt can
		// run the key, and this one was abandoned before it was sent.
		if rec.claim.abandoned {
			out.Outcome = failure.NotRun
			out.Reason = resultAbandoned.code
		}
	})
	return out, nil
}

// storedOutcome returns the outcome of a key as the store has it. A key that
// was never claimed is closed by a claim with the outcome failure.NotRun.
func (m *Manager) storedOutcome(ctx context.Context, q Query, storeKey string) (Record, error) {
	era, err := m.storeEra(ctx)
	var found *claimValue
	if err == nil {
		_, found, err = m.readClaim(ctx, storeKey)
	}
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		found, err = m.closeKey(ctx, storeKey, era)
	}
	if err != nil {
		return Record{}, failure.New(failure.CodeStoreUnavailable, failure.Unknown, "the store is away; whether the action ran is not known").WithRetryAfter(time.Second).WithCause(err)
	}
	res := m.resultOfClaim(ctx, q, found)
	out := Record{Key: q.Key, State: StateFinished, Outcome: res.outcome, Status: res.status, Reason: res.code, Source: SourceClaim}
	if res.code == failure.CodeInProgress {
		out.State = StateInProgress
	}
	return out, nil
}

// closeKey claims a key without running it, so that it can't be run any more.
// It returns the claim that the store holds, which may be that of another
// attempt. era is that of the store before the claim was found to be missing.
func (m *Manager) closeKey(ctx context.Context, storeKey string, era platform.Era) (*claimValue, error) {
	absent := uint64(0)
	v := claimValue{
		Attempt:       newAttemptID(),
		Incarnation:   m.cfg.Incarnation,
		Outcome:       resultClosedByQuery.outcome,
		Reason:        resultClosedByQuery.code,
		WrittenAtUnix: m.cfg.Now().Unix(),
	}
	if m.mayLackClaims(era) {
		v = closedClaim(v)
	}
	opts := platform.PutOptions{IfVersion: &absent, Era: era.Number, Lease: m.getClaimLease(ctx)}
	_, err := m.storePut(ctx, storeKey, encodeClaim(v), opts)
	if err == nil {
		return &v, nil
	}
	m.forgetEndedLease(err)
	_, found, err := m.readClaim(ctx, storeKey)
	return found, err
}
