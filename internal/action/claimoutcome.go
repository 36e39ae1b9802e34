package action

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// claimOutcome tells how the action of a caller's own key ended.
func (m *Manager) claimOutcome(ctx context.Context, q Query) (Record, error) {
	if r := checkOwnKey(q.Key); r != nil {
		return Record{}, r
	}
	hash := claimHash(q.Customer, q.Key)
	k := claimRecordKey(hash)
	var rec *record
	m.records.view(k, func(r *record, _ bool) { rec = r })
	if q.Forwarded {
		return m.ownedClaimOutcome(q, k, rec)
	}
	if rec == nil {
		return m.storedOutcome(ctx, q, claimStoreKey(hash))
	}
	if m.unsettledVoid(k, rec) {
		m.settle(ctx, k, rec)
	}
	return m.recordOf(q.Key, k, rec, SourceClaim), nil
}

// unsettledVoid reports whether rec is a given-up attempt that the store
// doesn't hold as such.
func (m *Manager) unsettledVoid(k recordKey, rec *record) (yes bool) {
	m.records.with(k, func(bool) { yes = rec.claim.voided && !rec.claim.written })
	return yes
}

// ownedClaimOutcome answers a peer that has found a claim of this incarnation
// without an outcome.
func (m *Manager) ownedClaimOutcome(q Query, k recordKey, rec *record) (Record, error) {
	if rec == nil || rec.attempt != q.Attempt {
		return Record{}, failure.New(failure.CodeNotFound, failure.Unknown, "this gateway has no record of the attempt")
	}
	out := m.recordOf(q.Key, k, rec, SourceClaim)
	m.records.with(k, func(bool) {
		// The claim is this attempt's and the attempt was given up.
		if rec.claim.voided {
			out.Outcome = failure.NotRun
			out.Reason = voidStored.code
		}
	})
	return out, nil
}

// storedOutcome tells what the store says of a key. A key that was never
// claimed is closed by a claim that says so.
func (m *Manager) storedOutcome(ctx context.Context, q Query, storeKey string) (Record, error) {
	_, found, err := m.readClaim(ctx, storeKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		found, err = m.closeKey(ctx, storeKey)
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

// closeKey claims a key for nothing, so that it can't be run any more, and
// returns the claim that holds.
func (m *Manager) closeKey(ctx context.Context, storeKey string) (*claimValue, error) {
	absent := uint64(0)
	v := claimValue{
		Attempt:     newAttemptID(),
		Incarnation: m.cfg.Incarnation,
		Outcome:     voidAsked.outcome,
		Reason:      voidAsked.code,
		At:          m.cfg.Now().Unix(),
	}
	opts := platform.PutOptions{IfVersion: &absent, Lease: m.claimLease(ctx)}
	if _, err := m.storePut(ctx, storeKey, encodeClaim(v), opts); err == nil {
		return &v, nil
	}
	_, found, err := m.readClaim(ctx, storeKey)
	return found, err
}
