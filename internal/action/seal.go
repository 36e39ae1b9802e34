package action

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// SealPrefix is the prefix of the store keys of seals. The incarnation follows
// it.
const SealPrefix = "action/seal/"

// Seal is the final state of an incarnation that has stopped. Apart from the
// tickets that MinNumber and ForgottenExpiryMillis leave out, a ticket of the
// incarnation that is in none of Ranges has not run and never will.
type Seal struct {
	Incarnation string `json:"incarnation"`
	// SigningKey verifies the signatures of the incarnation's tickets. The seal
	// may contain it because no ticket signed with it is dispatched any more.
	SigningKey []byte `json:"signing_key"`
	// MinNumber is the lowest ticket number that the seal covers. The outcome
	// of lower ones is unknown. 0 covers all.
	MinNumber uint64 `json:"floor,omitempty"`
	// ForgottenExpiryMillis is an expiry time on the incarnation's monotonic clock.
	// The records of tickets that expired at or before it may have been removed
	// when the seal was built, so the outcome of these tickets is unknown.
	ForgottenExpiryMillis int64 `json:"forgotten_ms"`
	// Ranges holds the tickets that ran or may have run, in ascending order of
	// their numbers.
	Ranges []SealedRange `json:"runs"`
	// Claims holds the outcomes of claims whose outcome was not written to the
	// store.
	Claims []SealedClaim `json:"claims,omitempty"`
	// ClaimsTruncated reports whether claims are missing from Claims.
	ClaimsTruncated bool `json:"claims_cut,omitempty"`
	// RetentionMillis is how long the seal is needed after it was built.
	RetentionMillis int64 `json:"keep_ms"`
}

// SealedRange is a range of tickets with consecutive numbers and one outcome.
type SealedRange struct {
	First   uint64          `json:"n"`
	Count   uint64          `json:"c"`
	Outcome failure.Outcome `json:"o"`
}

// SealedClaim is the outcome of the attempt that holds the claim of a key.
type SealedClaim struct {
	Attempt string          `json:"a"`
	Outcome failure.Outcome `json:"o"`
}

// SealReport tells how a graceful stop ended.
type SealReport struct {
	// Unfinished is the number of actions still in flight at the deadline.
	// Those that were sent are sealed with an unknown outcome.
	Unfinished int
	// RangeCount is the number of ticket ranges in the seal.
	RangeCount int
	// ImportedByPeer reports whether a peer has imported the seal, WrittenToStore
	// whether it was written to the store.
	ImportedByPeer bool
	WrittenToStore bool
}

// Drain stops issuing tickets and starting actions, for good. Actions in flight
// go on.
func (m *Manager) Drain() { m.draining.Store(true) }

// Seal drains, waits for the actions in flight until ctx is done, closes the
// record table, after which this incarnation sends no action any more, and hands
// the seal over to peers and the store. handoverTimeout bounds the writing of
// pending outcomes and the handover together.
func (m *Manager) Seal(ctx context.Context, handoverTimeout time.Duration) SealReport {
	m.Drain()
	report := SealReport{Unfinished: m.inFlight.wait(ctx)}
	handoverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	m.WritePendingOutcomes(handoverCtx, maxOutcomesAtSeal)
	s := m.buildSeal()
	m.recordStep(ctx, StepSealClose)
	report.RangeCount = len(s.Ranges)
	var handovers sync.WaitGroup
	handovers.Go(func() { report.ImportedByPeer = m.sendSeal(handoverCtx, s) })
	handovers.Go(func() { report.WrittenToStore = m.storeSeal(handoverCtx, s) })
	handovers.Wait()
	if !report.ImportedByPeer && !report.WrittenToStore {
		sealsUnsent.Inc()
	}
	return report
}

// maxOutcomesAtSeal is the maximum number of pending claim outcomes that are
// written to the store during a graceful stop.
const maxOutcomesAtSeal = 256

// buildSeal closes the record table and returns the seal. Actions that were not
// sent and can't run on another gateway are finished as not run.
func (m *Manager) buildSeal() Seal {
	s := Seal{
		Incarnation:     m.cfg.Incarnation,
		SigningKey:      m.signer.key,
		RetentionMillis: (m.limits.TicketValidity + m.limits.TicketRecordRetention).Milliseconds(),
	}
	m.records.close(func(k recordKey, rec *record) {
		if rec.phase == phaseReserved && rec.isOwned() {
			rec.finish(resultSealed)
		}
		s.add(k, rec)
	})
	s.ForgottenExpiryMillis = (m.elapsed() - m.limits.TicketRecordRetention).Milliseconds()
	m.sealed.Store(true)
	s.Ranges = mergeRanges(s.Ranges)
	s.truncate(m.limits.MaxSealBytes)
	return s
}

// resultSealed is the result of actions that were not sent before the seal.
var resultSealed = &result{outcome: failure.NotRun, code: failure.CodeDraining, message: "the gateway stopped before the action was sent"}

// add adds one record to the seal.
func (s *Seal) add(k recordKey, rec *record) {
	outcome := failure.Unknown
	if rec.phase == phaseFinished {
		outcome = rec.result.outcome
	}
	if rec.claim != nil {
		s.addClaim(rec, outcome)
		return
	}
	if outcome != failure.NotRun {
		s.Ranges = append(s.Ranges, SealedRange{First: k.ticketNumber(), Count: 1, Outcome: outcome})
	}
}

// addClaim adds the outcome of a claim whose attempt may have run, unless the
// store holds the outcome. An abandoned attempt needs no entry: an attempt with
// neither an entry nor an outcome in the store was not sent, unless
// ClaimsTruncated is set.
func (s *Seal) addClaim(rec *record, outcome failure.Outcome) {
	if rec.claim.outcomeStored || rec.claim.abandoned || rec.phase == phaseReserved || outcome == failure.NotRun {
		return
	}
	s.Claims = append(s.Claims, SealedClaim{Attempt: rec.attemptID, Outcome: outcome})
}

// mergeRanges sorts ranges and merges adjacent ones with equal outcomes.
func mergeRanges(ranges []SealedRange) []SealedRange {
	slices.SortFunc(ranges, func(a, b SealedRange) int { return cmp.Compare(a.First, b.First) })
	out := ranges[:0]
	for _, r := range ranges {
		if n := len(out); n > 0 && out[n-1].Outcome == r.Outcome && out[n-1].First+out[n-1].Count == r.First {
			out[n-1].Count += r.Count
			continue
		}
		out = append(out, r)
	}
	return out
}

// truncate drops the ranges with the lowest numbers, then claims, until the
// encoded seal has at most limit bytes. It keeps at least one range, so a seal
// without claims may still exceed a very low limit.
func (s *Seal) truncate(limit int) {
	for len(s.Encode()) > limit {
		if n := len(s.Ranges); n > 1 {
			s.Ranges = s.Ranges[n/2:]
			s.MinNumber = s.Ranges[0].First
			continue
		}
		if len(s.Claims) == 0 {
			return
		}
		s.Claims = s.Claims[len(s.Claims)/2+1:]
		s.ClaimsTruncated = true
	}
}

// Encode returns the seal as gzip-compressed JSON.
func (s Seal) Encode() []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	// Writes to a buffer don't fail, and the fields of a seal can always be
	// encoded.
	_ = json.NewEncoder(w).Encode(s)
	_ = w.Close()
	return buf.Bytes()
}

// maxDecodedSealBytes bounds the size of a decompressed seal.
const maxDecodedSealBytes = 32 << 20

// DecodeSeal decodes what Encode returns.
func DecodeSeal(raw []byte) (Seal, error) {
	r, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return Seal{}, errors.Wrap(err, "decompress seal")
	}
	var s Seal
	if err := json.NewDecoder(io.LimitReader(r, maxDecodedSealBytes)).Decode(&s); err != nil {
		return Seal{}, errors.Wrap(err, "decode seal")
	}
	return s, nil
}

// sendSeal sends the seal to peers and reports whether one has imported it.
func (m *Manager) sendSeal(ctx context.Context, s Seal) bool {
	return m.cfg.SealSender != nil && m.cfg.SealSender.Send(ctx, s) == nil
}

// storeSeal writes the seal to the store and reports whether it succeeded.
func (m *Manager) storeSeal(ctx context.Context, s Seal) bool {
	if m.cfg.Store == nil {
		return false
	}
	lease, err := m.cfg.Store.Grant(ctx, time.Duration(s.RetentionMillis)*time.Millisecond)
	if err != nil {
		return false
	}
	_, err = m.storePut(ctx, SealPrefix+s.Incarnation, s.Encode(), platform.PutOptions{Lease: lease})
	return err == nil
}

// SealHolders selects up to n of the peers' ids to hold the seal of an
// incarnation, by rendezvous hashing, so that the gateway that sends the seal
// and those that look for it select the same ones as far as they know the same
// peers.
func SealHolders(incarnation string, peers []string, n int) []string {
	ranked := slices.Clone(peers)
	weight := func(p string) uint64 { return xxhash.Sum64String(incarnation + "\x00" + p) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked[:min(n, len(ranked))]
}
