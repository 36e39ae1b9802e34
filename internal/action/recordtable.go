package action

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// tableShards is the number of shards of a record table.
const tableShards = 64

// recordKey names a record: a ticket's number, or the hash of a customer and
// its own key. The last byte keeps the two apart.
type recordKey [16]byte

const claimMark = 1

func ticketRecordKey(n uint64) (k recordKey) {
	binary.LittleEndian.PutUint64(k[:], n)
	return k
}

func claimRecordKey(hash [sha256.Size]byte) (k recordKey) {
	copy(k[:], hash[:])
	k[len(k)-1] = claimMark
	return k
}

// fingerprint tells whether two calls under one key are the same call.
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

// phase is how far an action has come at this gateway.
type phase uint8

const (
	// phaseReserved: nothing has been sent yet.
	phaseReserved phase = iota
	// phaseSent: a byte may have left.
	phaseSent
	// phaseFinished: the result is final.
	phaseFinished
)

// record is the memory of one action. Its shard's lock guards it.
type record struct {
	print fingerprint
	phase phase
	// attempt is the id of the one dispatch, empty in a void record.
	attempt string
	// result is set once the record is finished; it is never changed then.
	result *result
	// done is closed when the record is finished; nil in a void record, which
	// is finished from its start.
	done chan struct{}
	// removeAt is when the record may be forgotten, on the table's clock.
	removeAt time.Duration
	// claim is set for keys of the caller's own.
	claim *claimState
}

// table holds the records of one incarnation in shards. Once closed it takes
// no new record and lets no reserved record be sent.
type table struct {
	shards [tableShards]tableShard
}

type tableShard struct {
	mu     sync.Mutex
	closed bool
	items  map[recordKey]*record
}

func newTable() *table {
	t := &table{}
	for i := range t.shards {
		t.shards[i].items = make(map[recordKey]*record)
	}
	return t
}

func (t *table) shardOf(k recordKey) *tableShard {
	return &t.shards[binary.LittleEndian.Uint64(k[:])%tableShards]
}

// reserve returns the record of k, and whether it was made by this call. make
// runs under the shard's lock when there is no record; it returns the record
// to add, or a refusal. A returned record may be added along with a refusal.
func (t *table) reserve(k recordKey, create func(closed bool) (*record, *failure.Refusal)) (*record, bool, *failure.Refusal) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if rec, ok := sh.items[k]; ok {
		return rec, false, nil
	}
	rec, refusal := create(sh.closed)
	if rec != nil {
		sh.items[k] = rec
	}
	return rec, refusal == nil, refusal
}

// view runs fn on the record of k under the shard's lock; rec is nil if there
// is none.
func (t *table) view(k recordKey, fn func(rec *record, closed bool)) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(sh.items[k], sh.closed)
}

// with runs fn under the lock that guards the record of k.
func (t *table) with(k recordKey, fn func(closed bool)) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(sh.closed)
}

// finish ends rec, the record of k, with res unless it has ended before. It
// returns the result that holds.
func (t *table) finish(k recordKey, rec *record, res *result) *result {
	t.with(k, func(bool) {
		if rec.phase != phaseFinished {
			rec.end(res)
		}
		res = rec.result
	})
	return res
}

// drop forgets rec, the record of k.
func (t *table) drop(k recordKey, rec *record) {
	sh := t.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.items[k] == rec {
		delete(sh.items, k)
	}
}

// end makes the record final. The shard's lock is held.
func (r *record) end(res *result) {
	r.result = res
	r.phase = phaseFinished
	if r.done != nil {
		close(r.done)
	}
}

// close stops the table and calls fn for each record under its shard's lock.
func (t *table) close(fn func(k recordKey, rec *record)) {
	for i := range t.shards {
		t.shards[i].close(fn)
	}
}

func (sh *tableShard) close(fn func(k recordKey, rec *record)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.closed = true
	for k, rec := range sh.items {
		fn(k, rec)
	}
}

// sweep removes the finished records that may be forgotten at now, and tells
// fn of each.
func (t *table) sweep(now time.Duration, fn func(rec *record)) {
	for i := range t.shards {
		t.shards[i].sweep(now, fn)
	}
}

func (sh *tableShard) sweep(now time.Duration, fn func(rec *record)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for k, rec := range sh.items {
		if rec.phase != phaseFinished || now < rec.removeAt || !rec.settled() {
			continue
		}
		fn(rec)
		delete(sh.items, k)
	}
}

// owned reports whether the key is certainly this gateway's to run. The
// shard's lock is held.
func (r *record) owned() bool { return r.claim == nil || r.claim.confirmed }

// asked reports whether the record was made by a question for its outcome, so
// that it stands for any call. The shard's lock is held.
func (r *record) asked() bool { return r.result == voidAsked }

// number is the ticket number of a ticket's record key.
func (k recordKey) number() uint64 { return binary.LittleEndian.Uint64(k[:]) }

// settled reports whether the store needs no more word of the record. The
// shard's lock is held.
func (r *record) settled() bool { return r.claim == nil || r.claim.written }
