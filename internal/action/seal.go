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

// SealPrefix starts the store keys of seals; the incarnation follows.
const SealPrefix = "action/seal/"

// Seal is the final state of an incarnation that has stopped. Every ticket of
// it that Runs doesn't name has not run and never will.
type Seal struct {
	Incarnation string `json:"incarnation"`
	// SigningKey checks the signatures of the incarnation's tickets. Nothing
	// is ever dispatched under it again.
	SigningKey []byte `json:"signing_key"`
	// Floor is the lowest ticket number that the seal covers; the outcome of
	// lower ones isn't known. 0 covers all.
	Floor uint64 `json:"floor,omitempty"`
	// ForgottenMillis is the owner's monotonic time up to which a ticket must
	// have expired for its record not to be kept any more at the seal; the
	// outcome of such a ticket isn't known.
	ForgottenMillis int64 `json:"forgotten_ms"`
	// Ranges are the used tickets that ran or may have run, by rising number.
	Ranges []SealedRange `json:"runs"`
	// Claims are the outcomes of claims that the store didn't take.
	Claims []SealedClaim `json:"claims,omitempty"`
	// ClaimsCut says that Claims isn't whole.
	ClaimsCut bool `json:"claims_cut,omitempty"`
	// KeepMillis is how long the seal is needed, from its making on.
	KeepMillis int64 `json:"keep_ms"`
}

// SealedRange is a run of tickets with consecutive numbers and one outcome.
type SealedRange struct {
	First   uint64          `json:"n"`
	Count   uint64          `json:"c"`
	Outcome failure.Outcome `json:"o"`
}

// SealedClaim is the outcome of one attempt at a claimed key.
type SealedClaim struct {
	Attempt string          `json:"a"`
	Outcome failure.Outcome `json:"o"`
}

// SealReport says how a graceful stop ended.
type SealReport struct {
	// Unfinished is the number of actions still in flight at the deadline; their
	// outcome is sealed as unknown.
	Unfinished int
	// RangeCount is the number of runs in the seal.
	RangeCount int
	// SentToPeer and Store say who took the seal.
	SentToPeer     bool
	WrittenToStore bool
}

// Drain stops issuing and taking tickets for good. What is in flight goes on.
func (m *Manager) Drain() { m.draining.Store(true) }

// Seal drains, waits until ctx is done for what is in flight, closes the
// records for good and hands them over within the time given for that.
func (m *Manager) Seal(ctx context.Context, handover time.Duration) SealReport {
	m.Drain()
	report := SealReport{Unfinished: m.running.wait(ctx)}
	send, cancel := context.WithTimeout(context.WithoutCancel(ctx), handover)
	defer cancel()
	m.WritePendingOutcomes(send, settleAtSeal)
	s := m.makeSeal()
	m.at(ctx, StepSealClose)
	report.RangeCount = len(s.Ranges)
	var both sync.WaitGroup
	both.Go(func() { report.SentToPeer = m.sendSeal(send, s) })
	both.Go(func() { report.WrittenToStore = m.storeSeal(send, s) })
	both.Wait()
	if !report.SentToPeer && !report.WrittenToStore {
		sealsFailed.Inc()
	}
	return report
}

// settleAtSeal is the most claims settled during a graceful stop.
const settleAtSeal = 256

// makeSeal closes the records and returns the seal.
func (m *Manager) makeSeal() Seal {
	s := Seal{
		Incarnation: m.cfg.Incarnation,
		SigningKey:  m.signer.key,
		KeepMillis:  (m.limits.TicketValidity + m.limits.Retention).Milliseconds(),
	}
	m.records.close(func(k recordKey, rec *record) {
		if rec.phase == phaseReserved && rec.owned() {
			rec.end(voidSealed)
		}
		s.add(k, rec)
	})
	s.ForgottenMillis = (m.elapsed() - m.limits.Retention).Milliseconds()
	m.sealed.Store(true)
	s.Ranges = joinRuns(s.Ranges)
	s.fit(m.limits.MaxSealBytes)
	return s
}

// voidSealed is the result of actions that weren't sent before the seal.
var voidSealed = &result{outcome: failure.NotRun, code: failure.CodeDraining, message: "the gateway stopped before the action was sent"}

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
		s.Ranges = append(s.Ranges, SealedRange{First: k.number(), Count: 1, Outcome: outcome})
	}
}

// addClaim adds a claim whose outcome the store doesn't hold. An attempt that
// was given up needs no entry: what isn't named was not sent.
func (s *Seal) addClaim(rec *record, outcome failure.Outcome) {
	if rec.claim.written || rec.claim.voided || rec.phase == phaseReserved || outcome == failure.NotRun {
		return
	}
	s.Claims = append(s.Claims, SealedClaim{Attempt: rec.attempt, Outcome: outcome})
}

// joinRuns sorts runs and joins neighbours of one outcome.
func joinRuns(runs []SealedRange) []SealedRange {
	slices.SortFunc(runs, func(a, b SealedRange) int { return cmp.Compare(a.First, b.First) })
	out := runs[:0]
	for _, r := range runs {
		if n := len(out); n > 0 && out[n-1].Outcome == r.Outcome && out[n-1].First+out[n-1].Count == r.First {
			out[n-1].Count += r.Count
			continue
		}
		out = append(out, r)
	}
	return out
}

// fit gives up the oldest runs, then claims, until the encoded seal has at
// most limit bytes.
func (s *Seal) fit(limit int) {
	for len(s.Encode()) > limit {
		if n := len(s.Ranges); n > 1 {
			s.Ranges = s.Ranges[n/2:]
			s.Floor = s.Ranges[0].First
			continue
		}
		if len(s.Claims) == 0 {
			return
		}
		s.Claims = s.Claims[len(s.Claims)/2+1:]
		s.ClaimsCut = true
	}
}

// Encode returns the compressed form of the seal.
func (s Seal) Encode() []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	// Writes to a buffer don't fail, and a seal can always be encoded.
	_ = json.NewEncoder(w).Encode(s)
	_ = w.Close()
	return buf.Bytes()
}

// maxSealExpansion bounds the decoded size of a seal, in bytes.
const maxSealExpansion = 32 << 20

// DecodeSeal reads the compressed form of a seal.
func DecodeSeal(raw []byte) (Seal, error) {
	r, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return Seal{}, errors.Wrap(err, "seal")
	}
	var s Seal
	if err := json.NewDecoder(io.LimitReader(r, maxSealExpansion)).Decode(&s); err != nil {
		return Seal{}, errors.Wrap(err, "seal")
	}
	return s, nil
}

// sendSeal gives the seal to peers.
func (m *Manager) sendSeal(ctx context.Context, s Seal) bool {
	return m.cfg.SealSender != nil && m.cfg.SealSender.Send(ctx, s) == nil
}

// storeSeal puts the seal into the store.
func (m *Manager) storeSeal(ctx context.Context, s Seal) bool {
	if m.cfg.Store == nil {
		return false
	}
	lease, err := m.cfg.Store.Grant(ctx, time.Duration(s.KeepMillis)*time.Millisecond)
	if err != nil {
		return false
	}
	_, err = m.storePut(ctx, SealPrefix+s.Incarnation, s.Encode(), platform.PutOptions{Lease: lease})
	return err == nil
}

// SealHolders returns the n of the peers' ids that hold the seal of an
// incarnation, by rendezvous hashing; senders and seekers agree on them as far
// as they agree on the peers.
func SealHolders(incarnation string, peers []string, n int) []string {
	ranked := slices.Clone(peers)
	weight := func(p string) uint64 { return xxhash.Sum64String(incarnation + "\x00" + p) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked[:min(n, len(ranked))]
}
