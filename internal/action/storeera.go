package action

import (
	"context"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// eraKey is a key that never exists. It is read to learn the store's era.
const eraKey = "action/era"

// resultStoreRestored is the result of keys without a claim in a store that was restored
// from an older copy: the claim of an earlier attempt may have been lost with the restore.
var resultStoreRestored = &result{outcome: failure.Unknown, code: failure.CodeStoreRestored, message: "the store was restored from an older copy: nothing was sent for this request, but an earlier one under the key may have run; if there was none, go on with the ticket"}

// storeEra returns the era of the store. If no response has named one yet, it reads from the
// store once: a store that names none then never does.
func (m *Manager) storeEra(ctx context.Context) (platform.Era, error) {
	if m.cfg.Store == nil {
		return platform.Era{}, &platform.UnavailableError{Op: "get"}
	}
	if era := m.cfg.Store.Era(); era.Number != 0 || m.isEraAsked.Load() {
		return era, nil
	}
	return m.readEra(ctx)
}

// readEra reads the era from the store.
func (m *Manager) readEra(ctx context.Context) (platform.Era, error) {
	_, err := m.storeGet(ctx, eraKey)
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return platform.Era{}, err
	}
	m.isEraAsked.Store(true)
	return m.cfg.Store.Era(), nil
}

// mayLackClaims reports whether the store may have lost claims, in a restore, that it would
// still hold otherwise. Claims in doubt are held for longer, but such a claim isn't repeated
// after so long.
func (m *Manager) mayLackClaims(era platform.Era) bool {
	return !era.BeganAt.IsZero() && m.cfg.Now().Sub(era.BeganAt) < m.claimLeaseTime()
}

// closedClaim returns v as the claim that closes a key in a store that may lack claims.
func closedClaim(v claimValue) claimValue {
	v.Outcome, v.Status, v.Reason = resultStoreRestored.outcome, 0, resultStoreRestored.code
	return v
}

// isClosedByRestore reports whether the claim was made only to close the key.
func (v *claimValue) isClosedByRestore() bool { return v.Reason == failure.CodeStoreRestored }

// noteRestore makes all claims that this gateway holds pending again if the store has been
// restored since they were written.
func (m *Manager) noteRestore(ctx context.Context) {
	if m.cfg.Store == nil || !m.records.hasClaims() || m.cfg.Store.Era().Number == 0 {
		return
	}
	era, err := m.readEra(ctx)
	if err != nil || m.lastEra.Swap(era.Number) == era.Number {
		return
	}
	m.records.forEachClaim(func(k recordKey, rec *record) {
		if rec.claim.confirmed && rec.claim.era < era.Number {
			rec.claim.outcomeStored = false
			m.pendingOutcomes.add(k, rec)
		}
	})
}

// writeClaimAgain writes a claim again that the store held in an era that is over. It
// replaces a claim that another gateway has made since to close the key. It reports whether
// nothing is left to be written.
func (m *Manager) writeClaimAgain(ctx context.Context, k recordKey, rec *record, res *result) bool {
	era, err := m.storeEra(ctx)
	if err != nil {
		return false
	}
	var claim claimState
	m.records.withLock(k, func(bool) { claim = *rec.claim })
	v := claimValue{}
	opts := platform.PutOptions{Era: era.Number}
	if res != nil {
		v = claimValue{Outcome: res.outcome, Status: res.status, Reason: res.code}
		opts.Lease = m.getClaimLease(ctx)
	}
	value := m.encodeRecordClaim(rec, v)
	absent := uint64(0)
	opts.IfVersion = &absent
	entry, err := m.storePut(ctx, claim.storeKey, value, opts)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		var found *claimValue
		if entry, found, err = m.readClaim(ctx, claim.storeKey); err != nil {
			return false
		}
		switch {
		case found.isClosedByRestore():
			opts.IfVersion = &entry.Version
			entry, err = m.storePut(ctx, claim.storeKey, value, opts)
		case found.Attempt == rec.attemptID && found.Outcome == "":
			m.setConfirmed(k, rec, entry.Version, era.Number, false)
			return res == nil
		case res == nil:
			return true
		default:
			m.setOutcomeStored(k, rec, entry.Version, era.Number, res)
			return true
		}
	}
	if err != nil {
		m.forgetEndedLease(err)
		return false
	}
	claimsWrittenAgain.Inc()
	m.setConfirmed(k, rec, entry.Version, era.Number, false)
	if res != nil {
		m.setOutcomeStored(k, rec, entry.Version, era.Number, res)
	}
	return true
}

// forgetEndedLease drops the shared lease if err says that it has ended, as all leases have
// after a restore.
func (m *Manager) forgetEndedLease(err error) {
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		m.claimLease.forget(platform.LeaseID(missing.Key))
	}
}

// newClosedClaim returns the encoded claim that closes a key for which rec has no claim.
func (m *Manager) newClosedClaim(rec *record) claimValue {
	return closedClaim(claimValue{Attempt: rec.attemptID, Incarnation: m.cfg.Incarnation, Fingerprint: hex.EncodeToString(rec.fingerprint[:])})
}
