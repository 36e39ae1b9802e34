package action

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// ClaimPrefix is the prefix of the store keys of claims. Two hex digits follow
// it, so that claims can be listed in 256 partitions.
const ClaimPrefix = "action/claim/"

// maxCallerKeyBytes is the maximum length of a caller key.
const maxCallerKeyBytes = 255

// claimValue is the value of a claim in the store. A claim without an outcome
// belongs to its attempt for good: no other attempt may take it over.
type claimValue struct {
	Attempt     string          `json:"attempt"`
	Incarnation string          `json:"incarnation"`
	Fingerprint string          `json:"print"`
	Outcome     failure.Outcome `json:"outcome,omitempty"`
	Status      int             `json:"status,omitempty"`
	Reason      failure.Code    `json:"reason,omitempty"`
	// WrittenAtUnix is the Unix time by the writer's clock, in seconds. It is
	// used only to find claims that can be removed.
	WrittenAtUnix int64 `json:"at"`
}

// claimState is the state of the claim of a caller key's record.
type claimState struct {
	storeKey string
	// confirmed reports whether the store is known to hold the claim for this
	// attempt.
	confirmed bool
	// version is the claim's version in the store, era the era of the store in which it
	// has that version. Both are set once confirmed.
	version, era uint64
	// maybeWritten reports whether an unacknowledged write of the claim may
	// have taken effect.
	maybeWritten bool
	// abandoned reports whether the attempt was given up before it was sent.
	abandoned bool
	// outcomeStored reports whether nothing is left to be written to the store.
	outcomeStored bool
}

// claimHash returns the hash of a caller key. It covers the customer, so that
// equal keys of two customers are distinct.
func claimHash(customer, key string) [sha256.Size]byte {
	return sha256.Sum256([]byte(customer + "\x00" + key))
}

// claimStoreKey returns the store key of a claim.
func claimStoreKey(hash [sha256.Size]byte) string {
	name := hex.EncodeToString(hash[:])
	return ClaimPrefix + name[:2] + "/" + name
}

// checkCallerKey refuses a key that is empty, too long or not visible ASCII.
func checkCallerKey(key string) *failure.Refusal {
	if key == "" || len(key) > maxCallerKeyBytes {
		return failure.Refuse(failure.CodeBadRequest, "an idempotency key has 1 to %d characters", maxCallerKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return failure.Refuse(failure.CodeBadRequest, "an idempotency key has visible ASCII characters only")
		}
	}
	return nil
}

// runCallerKey runs a call under a caller key.
func (m *Manager) runCallerKey(ctx context.Context, c Call) (Response, error) {
	if r := checkCallerKey(c.Key); r != nil {
		return Response{}, r
	}
	hash := claimHash(c.Customer, c.Key)
	k := claimRecordKey(hash)
	rec, created, refusal := m.records.getOrCreate(k, func(closed bool) (*record, *failure.Refusal) {
		return m.newClaimRecord(c, hash, closed)
	})
	if refusal != nil {
		return Response{}, m.withNewTicket(c.Customer, refusal)
	}
	var exec *execution
	if created {
		exec = m.startExecution(ctx, c, func(runCtx context.Context, exec *execution) { m.executeClaim(runCtx, c, k, rec, exec) })
	}
	return m.await(ctx, c, k, rec, exec, SourceClaim)
}

// newClaimRecord returns a new record for a key that this gateway has no record
// of. Another gateway may have run the key, so no refusal here is
// failure.NotRun.
func (m *Manager) newClaimRecord(c Call, hash [sha256.Size]byte, closed bool) (*record, *failure.Refusal) {
	if closed || m.draining.Load() {
		return nil, failure.New(failure.CodeDraining, failure.Unknown, "this gateway is stopping; nothing was sent for this request")
	}
	if !m.quotas.records.tryAcquire(1) {
		recordLimitRefusals.Inc()
		return nil, failure.New(failure.CodeOverloaded, failure.Unknown, "this gateway remembers too many actions; nothing was sent for this request").WithRetryAfter(time.Second)
	}
	return &record{
		fingerprint: fingerprintOf(c),
		attemptID:   newAttemptID(),
		done:        make(chan struct{}),
		claim:       &claimState{storeKey: claimStoreKey(hash)},
	}, nil
}

// executeClaim admits the call, claims its key, runs it, and adds the outcome
// to the claim. Admission comes first, so that a refused call costs no store
// call. Since the store isn't read then, the outcome of a refusal is unknown.
func (m *Manager) executeClaim(ctx context.Context, c Call, k recordKey, rec *record, exec *execution) {
	m.recordStep(ctx, StepReserve)
	release, refused := m.admit(ctx, c, exec)
	if refused != nil {
		m.dropRecord(k, rec, &result{outcome: failure.Unknown, code: refused.Code, message: refused.Message})
		return
	}
	defer release()
	found, err := m.claimKey(ctx, k, rec)
	if err != nil {
		m.abandonClaim(k, rec, err)
		return
	}
	if found != nil {
		m.finishFromClaim(ctx, c, k, rec, found)
		return
	}
	claimsCreated.Inc()
	m.recordStep(ctx, StepClaimed)
	m.execute(ctx, c, k, rec, exec)
	m.pendingOutcomes.add(k, rec)
	m.storeOutcome(ctx, k, rec)
}

// claimKey claims the key for rec's attempt. It returns nil if this attempt
// holds the key, or the claim of the attempt that holds it. The error means
// that the store did not tell which within Limits.ClaimTimeout.
func (m *Manager) claimKey(ctx context.Context, k recordKey, rec *record) (*claimValue, error) {
	ctx, cancel := context.WithTimeout(ctx, m.limits.ClaimTimeout)
	defer cancel()
	for delay := initialClaimRetryDelay; ; delay *= 2 {
		found, err := m.tryClaim(ctx, k, rec, claimValue{})
		if err == nil {
			return found, nil
		}
		if sleep(ctx, delay) != nil {
			return nil, err
		}
	}
}

// initialClaimRetryDelay is the delay after the first attempt to write a claim.
// It doubles with each further one.
const initialClaimRetryDelay = 50 * time.Millisecond

// sleep waits for d. It returns the context's error if ctx ends earlier.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryClaim tries once to create rec's claim with the given outcome. It returns
// the claim of another attempt if there is one. If the response to the write is
// lost, it reads the claim back to see who holds it. A claim that is missing
// then may still be written later, so only a write that is acknowledged or read
// back counts. In a store that may lack claims after a restore it closes the key instead
// and returns the claim that does so.
func (m *Manager) tryClaim(ctx context.Context, k recordKey, rec *record, outcome claimValue) (*claimValue, error) {
	era, err := m.storeEra(ctx)
	if err != nil {
		return nil, err
	}
	if m.mayLackClaims(era) {
		return m.closeLostKey(ctx, k, rec, era)
	}
	absent := uint64(0)
	entry, err := m.storePut(ctx, rec.claim.storeKey, m.encodeRecordClaim(rec, outcome), platform.PutOptions{IfVersion: &absent, Era: era.Number})
	if err == nil {
		m.setConfirmed(k, rec, entry.Version, era.Number, outcome.Outcome != "")
		return nil, nil
	}
	return m.settleClaim(ctx, k, rec, era, err)
}

// closeLostKey is tryClaim for a store that may lack claims. A claim that is there is good.
func (m *Manager) closeLostKey(ctx context.Context, k recordKey, rec *record, era platform.Era) (*claimValue, error) {
	absent := uint64(0)
	v := m.newClosedClaim(rec)
	_, err := m.storePut(ctx, rec.claim.storeKey, m.encodeRecordClaim(rec, v), platform.PutOptions{IfVersion: &absent, Era: era.Number, Lease: m.getClaimLease(ctx)})
	if err == nil {
		claimsClosedAfterRestore.Inc()
		return &v, nil
	}
	return m.settleClaim(ctx, k, rec, era, err)
}

// settleClaim returns the claim of another attempt, or that closes the key, after a write in
// the given era that failed with err. It returns nil if rec's attempt holds the claim.
func (m *Manager) settleClaim(ctx context.Context, k recordKey, rec *record, era platform.Era, err error) (*claimValue, error) {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	maybeWritten := errors.As(err, &unavailable) && unavailable.MaybeApplied
	if maybeWritten {
		m.records.withLock(k, func(bool) { rec.claim.maybeWritten = true })
	}
	if !maybeWritten && !errors.As(err, &conflict) {
		m.forgetEndedLease(err)
		return nil, err
	}
	entry, found, err := m.readClaim(ctx, rec.claim.storeKey)
	if err != nil {
		return nil, err
	}
	if found.Attempt != rec.attemptID || found.isClosedByRestore() {
		return found, nil
	}
	m.setConfirmed(k, rec, entry.Version, era.Number, found.Outcome != "")
	return nil, nil
}

// setConfirmed notes that the store holds the claim for rec's attempt in the given era. If the
// store has been restored since, the claim is pending.
func (m *Manager) setConfirmed(k recordKey, rec *record, version, era uint64, outcomeStored bool) {
	m.records.withLock(k, func(bool) {
		rec.claim.confirmed = true
		rec.claim.version, rec.claim.era = version, era
		isPresent := era >= m.lastEra.Load()
		rec.claim.outcomeStored = outcomeStored && isPresent
		if !isPresent {
			m.pendingOutcomes.add(k, rec)
		}
	})
}

// encodeRecordClaim encodes rec's claim with the outcome in v, if any.
func (m *Manager) encodeRecordClaim(rec *record, v claimValue) []byte {
	v.Attempt = rec.attemptID
	v.Incarnation = m.cfg.Incarnation
	v.Fingerprint = hex.EncodeToString(rec.fingerprint[:])
	v.WrittenAtUnix = m.cfg.Now().Unix()
	return encodeClaim(v)
}

// encodeClaim encodes a claim. Encoding its field types can't fail.
func encodeClaim(v claimValue) []byte {
	raw, _ := json.Marshal(v)
	return raw
}

// readClaim reads a claim from the store.
func (m *Manager) readClaim(ctx context.Context, storeKey string) (platform.Entry, *claimValue, error) {
	entry, err := m.storeGet(ctx, storeKey)
	if err != nil {
		return platform.Entry{}, nil, err
	}
	v := &claimValue{}
	if err := json.Unmarshal(entry.Value, v); err != nil {
		return platform.Entry{}, nil, errors.Wrap(err, "decode claim "+storeKey)
	}
	return entry, v, nil
}

// storeGet reads from the store within Limits.StoreTimeout and counts the call.
func (m *Manager) storeGet(ctx context.Context, key string) (platform.Entry, error) {
	if m.cfg.Store == nil {
		return platform.Entry{}, &platform.UnavailableError{Op: "get"}
	}
	claimStoreCalls.Inc()
	ctx, cancel := context.WithTimeout(ctx, m.limits.StoreTimeout)
	defer cancel()
	return m.cfg.Store.Get(ctx, key)
}

// storePut writes to the store within Limits.StoreTimeout and counts the call.
func (m *Manager) storePut(ctx context.Context, key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	if m.cfg.Store == nil {
		return platform.Entry{}, &platform.UnavailableError{Op: "put"}
	}
	claimStoreCalls.Inc()
	ctx, cancel := context.WithTimeout(ctx, m.limits.StoreTimeout)
	defer cancel()
	return m.cfg.Store.Put(ctx, key, value, opts)
}
