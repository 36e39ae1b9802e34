package action

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// recordTableShards is the number of shards of a recordTable.
const recordTableShards = 64

// recordKey identifies a record by a ticket's number, or by the hash of a
// customer and a caller key. The last byte tells the two apart.
type recordKey [16]byte

// claimKeyMarker is the last byte of the keys of claim records.
const claimKeyMarker = 1

func ticketRecordKey(n uint64) (k recordKey) {
	binary.LittleEndian.PutUint64(k[:], n)
	return k
}

func claimRecordKey(hash [sha256.Size]byte) (k recordKey) {
	copy(k[:], hash[:])
	k[len(k)-1] = claimKeyMarker
	return k
}

// fingerprint is a hash of a call. Calls under one key with equal fingerprints
// are the same call.
type fingerprint [16]byte

func fingerprintOf(c Call) (f fingerprint) {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Name, c.ContentType} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	h.Write(c.Body)
	copy(f[:], h.Sum(nil))
	return f
}

// phase is the progress of an action at this gateway.
type phase uint8

const (
	// phaseReserved: nothing has been sent yet.
	phaseReserved phase = iota
	// phaseSent: the request may have been sent, at least in part.
	phaseSent
	// phaseFinished: the action has a result.
	phaseFinished
)

// record is the state of one action. The lock of its shard guards it.
type record struct {
	fingerprint fingerprint
	phase       phase
	// attemptID identifies the one dispatch. It is empty in a void record,
	// whose key was closed without running.
	attemptID string
	// result is set when the record is finished. It is replaced only when the
	// store has accepted the outcome of an abandoned claim.
	result *result
	// done is closed when the record is finished. It is nil in a void record,
	// which is finished from the start.
	done chan struct{}
	// removeAt is when the record may be removed, as returned by
	// Manager.elapsed.
	removeAt time.Duration
	// claim is set for caller keys only.
	claim *claimState
}

// recordTable holds the records of one incarnation, in shards. Once it is
// closed, no record is added and no reserved record may be sent.
type recordTable struct {
	shards [recordTableShards]recordShard
}

type recordShard struct {
	mu      sync.Mutex
	closed  bool
	records map[recordKey]*record
}

func newRecordTable() *recordTable {
	t := &recordTable{}
	for i := range t.shards {
		t.shards[i].records = make(map[recordKey]*record)
	}
	return t
}

func (t *recordTable) shardOf(k recordKey) *recordShard {
	return &t.shards[binary.LittleEndian.Uint64(k[:])%recordTableShards]
}

// getOrCreate returns the record of k and whether this call created it. If
// there is no record, create runs under the shard's lock and returns the record
// to add, a refusal, or both: a record that is returned with a refusal is
// added.
func (t *recordTable) getOrCreate(k recordKey, create func(closed bool) (*record, *failure.Refusal)) (*record, bool, *failure.Refusal) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if rec, ok := sh.records[k]; ok {
		return rec, false, nil
	}
	rec, refusal := create(sh.closed)
	if rec != nil {
		sh.records[k] = rec
	}
	return rec, refusal == nil, refusal
}

// withRecord runs fn on the record of k under the shard's lock. rec is nil if
// there is none.
func (t *recordTable) withRecord(k recordKey, fn func(rec *record, closed bool)) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(sh.records[k], sh.closed)
}

// withLock runs fn under the lock that guards the record of k.
func (t *recordTable) withLock(k recordKey, fn func(closed bool)) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(sh.closed)
}

// finish finishes rec, the record of k, with res unless it is finished already.
// It returns the result of the record.
func (t *recordTable) finish(k recordKey, rec *record, res *result) *result {
	t.withLock(k, func(bool) {
		if rec.phase != phaseFinished {
			rec.finish(res)
		}
		res = rec.result
	})
	return res
}

// remove removes rec if it is still the record of k.
func (t *recordTable) remove(k recordKey, rec *record) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.records[k] == rec {
		delete(sh.records, k)
	}
}

// finish sets the result and wakes the waiting callers. The caller holds the
// shard's lock.
func (r *record) finish(res *result) {
	r.result = res
	r.phase = phaseFinished
	if r.done != nil {
		close(r.done)
	}
}

// close closes the table and calls fn for each record under its shard's lock.
func (t *recordTable) close(fn func(k recordKey, rec *record)) {
	for i := range t.shards {
		t.shards[i].close(fn)
	}
}

func (sh *recordShard) close(fn func(k recordKey, rec *record)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.closed = true
	for k, rec := range sh.records {
		fn(k, rec)
	}
}

// removeExpired removes the finished records that are past their removeAt and
// have nothing left to be written to the store. It calls fn for each of them.
func (t *recordTable) removeExpired(now time.Duration, fn func(rec *record)) {
	for i := range t.shards {
		t.shards[i].removeExpired(now, fn)
	}
}

func (sh *recordShard) removeExpired(now time.Duration, fn func(rec *record)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for k, rec := range sh.records {
		if rec.phase != phaseFinished || now < rec.removeAt || !rec.isOutcomeStored() {
			continue
		}
		fn(rec)
		delete(sh.records, k)
	}
}

// hasClaims reports whether there is a record of a caller key.
func (t *recordTable) hasClaims() bool {
	found := false
	t.forEachClaim(func(recordKey, *record) { found = true })
	return found
}

// forEachClaim calls fn for each record of a caller key under its shard's lock.
func (t *recordTable) forEachClaim(fn func(k recordKey, rec *record)) {
	for i := range t.shards {
		t.shards[i].forEachClaim(fn)
	}
}

func (sh *recordShard) forEachClaim(fn func(k recordKey, rec *record)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for k, rec := range sh.records {
		if rec.claim != nil {
			fn(k, rec)
		}
	}
}

// isOwned reports whether it is certain that no other gateway may run the key.
// The caller holds the shard's lock.
func (r *record) isOwned() bool { return r.claim == nil || r.claim.confirmed }

// isClosedByQuery reports whether the record was created by a query for its
// outcome, so that it matches any call. The caller holds the shard's lock.
func (r *record) isClosedByQuery() bool { return r.result == resultClosedByQuery }

// ticketNumber returns the number of the ticket that the key identifies.
func (k recordKey) ticketNumber() uint64 { return binary.LittleEndian.Uint64(k[:]) }

// isOutcomeStored reports whether nothing about the record is left to be
// written to the store. The caller holds the shard's lock.
func (r *record) isOutcomeStored() bool { return r.claim == nil || r.claim.outcomeStored }
