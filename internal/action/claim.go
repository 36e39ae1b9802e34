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

// ClaimPrefix starts the store keys of claims. Two hex digits follow, so that
// claims can be listed in 256 parts.
const ClaimPrefix = "action/claim/"

// maxKeyBytes is the longest idempotency key of a caller's own.
const maxKeyBytes = 255

// claimValue is the value of a claim in the store. A claim without an outcome
// belongs to its attempt for ever: no other attempt takes it over.
type claimValue struct {
	Attempt     string          `json:"attempt"`
	Incarnation string          `json:"incarnation"`
	Print       string          `json:"print"`
	Outcome     failure.Outcome `json:"outcome,omitempty"`
	Status      int             `json:"status,omitempty"`
	Reason      failure.Code    `json:"reason,omitempty"`
	// At is the writer's clock in seconds since 1970, for housekeeping only.
	At int64 `json:"at"`
}

// claimState is the claim of a record under a caller's own key.
type claimState struct {
	storeKey string
	// confirmed says that the store holds the claim under this attempt.
	confirmed bool
	// version is the claim's version in the store once confirmed.
	version uint64
	// maybe says that a write of the claim may have taken effect unseen.
	maybe bool
	// voided says that the attempt was given up before it was sent.
	voided bool
	// written says that the store holds the outcome.
	written bool
}

// claimHash names a caller's own key; customers can't meet each other's.
func claimHash(customer, key string) [sha256.Size]byte {
	return sha256.Sum256([]byte(customer + "\x00" + key))
}

// claimStoreKey is where the claim is kept.
func claimStoreKey(hash [sha256.Size]byte) string {
	name := hex.EncodeToString(hash[:])
	return ClaimPrefix + name[:2] + "/" + name
}

// checkOwnKey refuses a key that is empty, too long or not visible ASCII.
func checkOwnKey(key string) *failure.Refusal {
	if key == "" || len(key) > maxKeyBytes {
		return failure.Refuse(failure.CodeBadRequest, "an idempotency key has 1 to %d characters", maxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return failure.Refuse(failure.CodeBadRequest, "an idempotency key has visible ASCII characters only")
		}
	}
	return nil
}

// doClaim runs a call under the caller's own key.
func (m *Manager) doClaim(ctx context.Context, c Call) (Response, error) {
	if r := checkOwnKey(c.Key); r != nil {
		return Response{}, r
	}
	hash := claimHash(c.Customer, c.Key)
	k := claimRecordKey(hash)
	rec, fresh, refusal := m.records.reserve(k, func(closed bool) (*record, *failure.Refusal) {
		return m.newClaimRecord(c, hash, closed)
	})
	if refusal != nil {
		return Response{}, m.withTicket(c.Customer, refusal)
	}
	var f *flight
	if fresh {
		f = m.launch(ctx, c, func(run context.Context, f *flight) { m.executeClaim(run, c, k, rec, f) })
	}
	return m.await(ctx, c, k, rec, f, SourceClaim)
}

// newClaimRecord makes the record of a key that this gateway doesn't know.
// Another gateway may have run it, so that no refusal here is failure.NotRun.
func (m *Manager) newClaimRecord(c Call, hash [sha256.Size]byte, closed bool) (*record, *failure.Refusal) {
	if closed || m.draining.Load() {
		return nil, failure.New(failure.CodeDraining, failure.Unknown, "this gateway is stopping; nothing was sent for this request")
	}
	if !m.quotas.records.take(1) {
		recordsFull.Inc()
		return nil, failure.New(failure.CodeOverloaded, failure.Unknown, "this gateway remembers too many actions; nothing was sent for this request").WithRetryAfter(time.Second)
	}
	return &record{
		print:   fingerprintOf(c),
		attempt: newAttemptID(),
		done:    make(chan struct{}),
		claim:   &claimState{storeKey: claimStoreKey(hash)},
	}, nil
}

// executeClaim admits the call, claims its key, runs it, and writes the outcome
// into the claim. Admission comes first, so that refused work costs no store
// call; as the store isn't asked, the outcome of a refusal is unknown.
func (m *Manager) executeClaim(ctx context.Context, c Call, k recordKey, rec *record, f *flight) {
	m.at(ctx, StepReserve)
	release, refused := m.admit(ctx, c, f)
	if refused != nil {
		m.records.finish(k, rec, &result{outcome: failure.Unknown, code: refused.Code, message: refused.Message})
		m.forget(k, rec)
		return
	}
	defer release()
	found, err := m.claim(ctx, k, rec)
	if err != nil {
		m.abandonClaim(k, rec, err)
		return
	}
	if found != nil {
		m.finishAsFound(ctx, c, k, rec, found)
		return
	}
	claimsMade.Inc()
	m.at(ctx, StepClaimed)
	m.execute(ctx, c, k, rec, f)
	m.pending.add(k, rec)
	m.settle(ctx, k, rec)
}

// claim creates the claim of rec's attempt. It returns nil if the key is this
// attempt's, the claim that was there before, or an error if the store didn't
// settle which in time.
func (m *Manager) claim(ctx context.Context, k recordKey, rec *record) (*claimValue, error) {
	ctx, cancel := context.WithTimeout(ctx, m.limits.ClaimTimeout)
	defer cancel()
	for wait := claimPause; ; wait *= 2 {
		found, err := m.tryClaim(ctx, k, rec, claimValue{})
		if err == nil {
			return found, nil
		}
		if pause(ctx, wait) != nil {
			return nil, err
		}
	}
}

// claimPause is the wait after the first try of a claim; it doubles with each.
const claimPause = 50 * time.Millisecond

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryClaim makes one try to create rec's claim with the given outcome. It
// returns the claim that was there before, if any. A lost answer is settled by
// reading back who holds the claim. A claim that isn't there then may still
// come, so that only a write that is acknowledged or read back counts.
func (m *Manager) tryClaim(ctx context.Context, k recordKey, rec *record, outcome claimValue) (*claimValue, error) {
	absent := uint64(0)
	entry, err := m.storePut(ctx, rec.claim.storeKey, m.claimBytes(rec, outcome), platform.PutOptions{IfVersion: &absent})
	if err == nil {
		m.confirm(k, rec, entry.Version, outcome.Outcome != "")
		return nil, nil
	}
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	lost := errors.As(err, &unavailable) && unavailable.MaybeApplied
	if lost {
		m.records.with(k, func(bool) { rec.claim.maybe = true })
	}
	if !lost && !errors.As(err, &conflict) {
		return nil, err
	}
	entry, found, err := m.readClaim(ctx, rec.claim.storeKey)
	if err != nil {
		return nil, err
	}
	if found.Attempt != rec.attempt {
		return found, nil
	}
	m.confirm(k, rec, entry.Version, found.Outcome != "")
	return nil, nil
}

// confirm notes that the store holds the claim of rec's attempt.
func (m *Manager) confirm(k recordKey, rec *record, version uint64, written bool) {
	m.records.with(k, func(bool) {
		rec.claim.confirmed = true
		rec.claim.version = version
		rec.claim.written = written
	})
}

// claimBytes encodes rec's claim with the given outcome, empty for none.
func (m *Manager) claimBytes(rec *record, v claimValue) []byte {
	v.Attempt = rec.attempt
	v.Incarnation = m.cfg.Incarnation
	v.Print = hex.EncodeToString(rec.print[:])
	v.At = m.cfg.Now().Unix()
	return encodeClaim(v)
}

// encodeClaim encodes a claim; its fields always can be.
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
		return platform.Entry{}, nil, errors.Wrap(err, "claim "+storeKey)
	}
	return entry, v, nil
}

// storeGet is one bounded and counted read.
func (m *Manager) storeGet(ctx context.Context, key string) (platform.Entry, error) {
	if m.cfg.Store == nil {
		return platform.Entry{}, &platform.UnavailableError{Op: "get"}
	}
	claimCalls.Inc()
	ctx, cancel := context.WithTimeout(ctx, m.limits.StoreTimeout)
	defer cancel()
	return m.cfg.Store.Get(ctx, key)
}

// storePut is one bounded and counted write.
func (m *Manager) storePut(ctx context.Context, key string, value []byte, opts platform.PutOptions) (platform.Entry, error) {
	if m.cfg.Store == nil {
		return platform.Entry{}, &platform.UnavailableError{Op: "put"}
	}
	claimCalls.Inc()
	ctx, cancel := context.WithTimeout(ctx, m.limits.StoreTimeout)
	defer cancel()
	return m.cfg.Store.Put(ctx, key, value, opts)
}
