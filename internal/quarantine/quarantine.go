// Package quarantine finds what crashes endpoints, and tells which requests must not reach
// an endpoint because of it. It is pure: no I/O, no clock, no random source; the current
// time is an argument.
//
// It answers two loads. In one, a segment of prompts crashes every engine that begins to
// respond to it; in the other a whole request does, which comes again and again. Each of
// these requests looks sound by itself, and each of them, and each retry, would end another
// endpoint and break off all that runs there. There is a Tracker for each of the two.
//
// A segment is held if several endpoints crashed while they ran requests with it, and
// for some seconds no response to such a request has been complete. It is held at once if
// all other segments of those requests were in complete responses lately.
//
// A request is held if several endpoints crashed while they ran it, at least one of which
// got it after another had crashed, and no response to it has been complete since. Requests
// that run at many endpoints when these are lost together are not held for that.
//
// A response that has gone on for a while counts as complete here: its endpoint began it and
// lives. Gateways tell each other of crashes, of completions that clear a suspect, and of
// what is held.
package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a prompt segment, or a request, of a service by a hash, so that gateways
// tell each other nothing of what callers send.
type Key uint64

// String returns the key as it appears in logs.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// HashSegment returns the Key for the id of a segment in requests to a service.
func HashSegment(service, id string) Key {
	return Key(xxhash.Sum64String(service + "\x00" + id))
}

// Request is what two requests to a service have in common if they are the same to it.
type Request struct {
	Service string
	// Account is the name of the client account, empty if there is none.
	Account string
	Method  string
	// Target is the request target with its query.
	Target string
	// Segments are the ids of all segments of the prompt.
	Segments []string
	// Body holds the parts of the body in their order.
	Body [][]byte
}

// HashRequest returns the Key for a request.
func HashRequest(r Request) Key {
	h := xxhash.New()
	for _, field := range append([]string{r.Service, r.Account, r.Method, r.Target, strconv.Itoa(len(r.Segments))}, r.Segments...) {
		_, _ = h.WriteString(field + "\x00")
	}
	for _, part := range r.Body {
		_, _ = h.Write(part)
	}
	return Key(h.Sum64())
}

const (
	// crashThreshold is the number of endpoints that have to crash before a key is held:
	// one or two may be chance, since all requests on a crashing endpoint look alike.
	crashThreshold = 3
	// tieThreshold is the number if other segments are as suspect, none of which has
	// ever been in a complete response.
	tieThreshold = 5
	// quietTime is the time without a complete response, and since the first crash, after
	// which a segment can be held. Segments in common use are in complete responses all
	// the time, also when many endpoints end at once; a gateway that has just started
	// has to see the first of them.
	quietTime = 4 * time.Second
	// soundTime is how long a complete response shows that its segments are sound.
	soundTime = 10 * time.Second
	// resendMargin is the time after a crash from which on an endpoint counts as having been
	// sent the request later, if either is known from another gateway. Ages leave out the time
	// that a message took, so that endpoints lost together seem to be lost one after the other.
	resendMargin = 150 * time.Millisecond
	// crashMemory is how long a crash counts against a segment, which many requests have in
	// common, and requestCrashMemory how long it does against a request.
	crashMemory        = time.Minute
	requestCrashMemory = HoldTime
	// HoldTime is how long a key is held. After that a single crash holds it again.
	HoldTime = 10 * time.Minute
)

// Bounds of the state.
const (
	maxSuspects      = 2048
	maxCrashesPerKey = 16
	maxSetAside      = 64
)

// Kind is the kind of a Change.
type Kind string

// The kinds.
const (
	// Held means that requests with the key no longer reach endpoints.
	Held Kind = "held"
	// Cleared means that a complete response showed the key to be sound.
	Cleared Kind = "cleared"
	// Expired means that HoldTime has passed.
	Expired Kind = "expired"
)

// Change is a change of a key's state that is worth logging.
type Change struct {
	Key  Key
	Kind Kind
	// Crashes is the number of endpoints that crashed, as far as known here. Reported
	// is set if the change came from another gateway.
	Crashes  int
	Reported bool
}

// Tracker tracks the segments of the prompts of recent requests, or whole requests. It is
// safe for concurrent use.
type Tracker struct {
	// ofRequests is set if the keys are whole requests.
	ofRequests bool

	mu sync.RWMutex
	// completed holds when segments were last in a complete response; it is empty for
	// requests. records holds the keys that are or were lately suspect.
	completed recentTimes
	records   map[Key]*record
	// explained holds the crashes that a held key accounts for, by endpoint. They say nothing
	// about other keys as long as that key isn't found to be sound.
	explained map[uint64]*explanation
	// held is the number of held keys.
	held    atomic.Int64
	changes []Change
}

// record is what is known of one key.
type record struct {
	crashes map[uint64]crash
	// completedAt is when a response to a request with the key was last complete,
	// completionLearnedAt when this was learned of.
	completedAt, completionLearnedAt time.Time
	// heldAt is when the key was found to crash endpoints; zero if it is not held.
	heldAt time.Time
	// suspectedAt is when a crash or a hold of the key was last learned of.
	suspectedAt time.Time
	// onProbation is set after the key was held for HoldTime.
	onProbation bool
}

// explanation says which held key accounts for the crash of an endpoint.
type explanation struct {
	by        Key
	learnedAt time.Time
	// setAside holds the same crash as recorded for other keys.
	setAside []suspicion
}

// suspicion is a crash as recorded for one key.
type suspicion struct {
	key   Key
	crash crash
}

type crash struct {
	// sentAt is when the endpoint was sent the request, at when it crashed.
	sentAt, at, learnedAt time.Time
	// reported is set if another gateway told of it.
	reported bool
	// sole is set if no other segment of the request was suspect.
	sole bool
}

// New returns a tracker of prompt segments that knows none.
func New() *Tracker {
	return &Tracker{completed: newRecentTimes(), records: make(map[Key]*record), explained: make(map[uint64]*explanation)}
}

// NewOfRequests returns a tracker of whole requests that knows none.
func NewOfRequests() *Tracker {
	t := New()
	t.ofRequests = true
	return t
}

// Find returns the first of the keys that is held, and the time for which it still is. ok
// is false if none is.
func (t *Tracker) Find(keys []Key, now time.Time) (key Key, remaining time.Duration, ok bool) {
	if t.held.Load() == 0 {
		return 0, 0, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, k := range keys {
		if r, known := t.records[k]; known && !r.heldAt.IsZero() {
			if remaining := HoldTime - now.Sub(r.heldAt); remaining > 0 {
				return k, remaining, true
			}
		}
	}
	return 0, 0, false
}

// RecordCrash records that an endpoint crashed while it ran a request with the keys, which it
// was sent at sentAt. endpoint identifies the endpoint's incarnation.
func (t *Tracker) RecordCrash(keys []Key, endpoint uint64, sentAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unsound []Key
	for _, k := range keys {
		if now.Sub(t.lastCompleted(k)) > soundTime {
			unsound = append(unsound, k)
		}
	}
	for _, k := range keys {
		sole := len(unsound) == 1 && unsound[0] == k
		t.addCrash(k, endpoint, crash{sentAt: sentAt, at: now, learnedAt: now, sole: sole})
	}
	t.evaluate(false, now)
}

// lastCompleted returns when a response to a request with the key was last complete.
func (t *Tracker) lastCompleted(k Key) time.Time {
	if r, ok := t.records[k]; ok {
		return r.completedAt
	}
	return t.completed.get(k)
}

// RecordCompletion records that the response to a request with the keys is complete, or has
// gone on for a while.
func (t *Tracker) RecordCompletion(keys []Key, now time.Time) {
	if t.ofRequests && !t.isAnySuspect(keys) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	wasCleared := false
	for _, k := range keys {
		if !t.ofRequests {
			t.completed.set(k, now)
		}
		if r, ok := t.records[k]; ok {
			wasCleared = t.complete(k, r, now, now, false) || wasCleared
		}
	}
	if wasCleared {
		t.evaluate(false, now)
	}
}

// isAnySuspect reports whether there is a record of one of the keys.
func (t *Tracker) isAnySuspect(keys []Key) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.ContainsFunc(keys, func(k Key) bool { return t.records[k] != nil })
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.changes
	t.changes = nil
	return out
}

// HeldCount returns the number of held keys.
func (t *Tracker) HeldCount() int { return int(t.held.Load()) }

// record returns the record of a suspect key, a new one if need be.
func (t *Tracker) record(k Key, now time.Time) *record {
	r, ok := t.records[k]
	if !ok {
		if len(t.records) >= maxSuspects {
			t.evict()
		}
		r = &record{crashes: make(map[uint64]crash), completedAt: t.completed.get(k), suspectedAt: now}
		r.completionLearnedAt = r.completedAt
		t.records[k] = r
	}
	return r
}

// evict removes the half of the keys that were suspected longest ago, without those
// that are held.
func (t *Tracker) evict() {
	var out []Key
	for k, r := range t.records {
		if r.heldAt.IsZero() {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Key) int { return t.records[a].suspectedAt.Compare(t.records[b].suspectedAt) })
	for _, k := range out[:(len(out)+1)/2] {
		delete(t.records, k)
	}
}

// crashMemory returns how long a crash counts.
func (t *Tracker) crashMemory() time.Duration {
	if t.ofRequests {
		return requestCrashMemory
	}
	return crashMemory
}

// addCrash adds the crash of an endpoint, unless it is known or says nothing about the key.
func (t *Tracker) addCrash(k Key, endpoint uint64, c crash) {
	if c.learnedAt.Sub(c.at) > t.crashMemory() {
		return
	}
	if t.isExplained(k, endpoint) {
		t.explained[endpoint].setCrashAside(k, c)
		return
	}
	r := t.record(k, c.learnedAt)
	known, ok := r.crashes[endpoint]
	if ok && (known.sole || !c.sole) || !c.at.After(r.completedAt) {
		return
	}
	r.suspectedAt = c.learnedAt
	if ok || len(r.crashes) < maxCrashesPerKey {
		r.crashes[endpoint] = c
	}
	if !r.heldAt.IsZero() {
		t.explain(k, endpoint, c.learnedAt)
	}
}

// isExplained reports whether a held key other than k accounts for the crash of an
// endpoint.
func (t *Tracker) isExplained(k Key, endpoint uint64) bool {
	if _, ok := t.explained[endpoint]; !ok {
		return false
	}
	r, ok := t.records[k]
	return !ok || r.heldAt.IsZero()
}

// complete records a complete response at the given time, which clears the key of the
// crashes before it. It reports whether the key was held and is no longer; what it accounted for
// then counts against other keys again.
func (t *Tracker) complete(k Key, r *record, at, now time.Time, reported bool) (wasCleared bool) {
	if !at.After(r.completedAt) {
		return false
	}
	r.completedAt, r.completionLearnedAt, r.onProbation = at, now, false
	for endpoint, c := range r.crashes {
		if !c.at.After(at) {
			delete(r.crashes, endpoint)
		}
	}
	if r.heldAt.IsZero() || !at.After(r.heldAt) {
		return false
	}
	t.release(k, r, Cleared, reported)
	t.withdrawExplanations(k, now)
	return true
}

// withdrawExplanations counts the crashes that key k accounted for against the other keys of their
// requests again, without those that were in complete responses since.
func (t *Tracker) withdrawExplanations(k Key, now time.Time) {
	for endpoint, e := range t.explained {
		if e.by != k {
			continue
		}
		delete(t.explained, endpoint)
		for _, s := range e.setAside {
			if s.key == k || now.Sub(s.crash.at) > t.crashMemory() {
				continue
			}
			r := t.record(s.key, now)
			if _, ok := r.crashes[endpoint]; !ok && s.crash.at.After(r.completedAt) && len(r.crashes) < maxCrashesPerKey {
				r.crashes[endpoint], r.suspectedAt = s.crash, now
			}
		}
	}
}

func (t *Tracker) release(k Key, r *record, kind Kind, reported bool) {
	t.changes = append(t.changes, Change{Key: k, Kind: kind, Crashes: len(r.crashes), Reported: reported})
	r.heldAt = time.Time{}
	clear(r.crashes)
	t.held.Add(-1)
}

// hold holds a key, which then accounts for the crashes of its endpoints.
func (t *Tracker) hold(k Key, at time.Time, reported bool, now time.Time) {
	r := t.record(k, now)
	r.heldAt, r.suspectedAt = at, now
	t.held.Add(1)
	t.changes = append(t.changes, Change{Key: k, Kind: Held, Crashes: len(r.crashes), Reported: reported})
	for endpoint := range r.crashes {
		t.explain(k, endpoint, now)
	}
}

// explain records that key k, which is held, accounts for the crash of an endpoint.
func (t *Tracker) explain(k Key, endpoint uint64, now time.Time) {
	e, ok := t.explained[endpoint]
	if !ok || e.by != k {
		e = &explanation{by: k}
		t.explained[endpoint] = e
	}
	e.learnedAt = now
	for other, r := range t.records {
		if c, ok := r.crashes[endpoint]; ok && other != k && r.heldAt.IsZero() {
			e.setCrashAside(other, c)
			delete(r.crashes, endpoint)
		}
	}
}

// setCrashAside keeps the crash as recorded for key k.
func (e *explanation) setCrashAside(k Key, c crash) {
	if len(e.setAside) < maxSetAside && !slices.ContainsFunc(e.setAside, func(s suspicion) bool { return s.key == k }) {
		e.setAside = append(e.setAside, suspicion{key: k, crash: c})
	}
}

// evaluate holds the keys that have become too suspect, the worst first, since each of
// them may account for the crashes of others.
func (t *Tracker) evaluate(reported bool, now time.Time) {
	for {
		suspects := t.suspects(now)
		if len(suspects) == 0 {
			return
		}
		worst := suspects[0]
		tied := !t.ofRequests && len(suspects) > 1 && t.compareSuspects(suspects[0], suspects[1]) == 0
		if tied && len(t.records[worst].crashes) < tieThreshold {
			return
		}
		t.hold(worst, now, reported, now)
	}
}

// suspects returns the keys that could be held, the most suspect first.
func (t *Tracker) suspects(now time.Time) []Key {
	var out []Key
	for k, r := range t.records {
		if r.heldAt.IsZero() && r.isGuilty(t.ofRequests, now) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Key) int {
		return cmp.Or(t.compareSuspects(a, b), cmp.Compare(a, b))
	})
	return out
}

// isGuilty reports whether what is known of the key, of a request or a segment, suffices to
// hold it.
func (r *record) isGuilty(ofRequest bool, now time.Time) bool {
	threshold := crashThreshold
	if r.onProbation {
		threshold = 1
	}
	if len(r.crashes) < threshold {
		return false
	}
	if ofRequest {
		return r.onProbation || r.isSentAfterCrash()
	}
	sole := 0
	for _, c := range r.crashes {
		if c.sole {
			sole++
		}
	}
	return sole >= threshold || r.quietFor(now) >= quietTime
}

// isSentAfterCrash reports whether one of the endpoints that crashed was sent the request after
// another one had crashed.
func (r *record) isSentAfterCrash() bool {
	for _, first := range r.crashes {
		for _, later := range r.crashes {
			margin := time.Duration(0)
			if first.reported || later.reported {
				margin = resendMargin
			}
			if later.sentAt.Sub(first.at) > margin {
				return true
			}
		}
	}
	return false
}

// quietFor returns the time since the first crash or the last complete response,
// whichever is later.
func (r *record) quietFor(now time.Time) time.Duration {
	since := now
	for _, c := range r.crashes {
		if c.at.Before(since) {
			since = c.at
		}
	}
	if r.completedAt.After(since) {
		since = r.completedAt
	}
	return now.Sub(since)
}

// compareSuspects orders keys by their crashes, then by the time since they were
// last in a complete response.
func (t *Tracker) compareSuspects(a, b Key) int {
	ra, rb := t.records[a], t.records[b]
	return cmp.Or(cmp.Compare(len(rb.crashes), len(ra.crashes)), ra.completedAt.Compare(rb.completedAt))
}

// expire ends holds after HoldTime, and forgets old crashes and keys that are no longer
// suspect.
func (t *Tracker) expire(now time.Time) {
	for k, r := range t.records {
		if !r.heldAt.IsZero() {
			if now.Sub(r.heldAt) >= HoldTime {
				t.release(k, r, Expired, false)
				r.onProbation, r.suspectedAt = true, now
			}
			continue
		}
		for endpoint, c := range r.crashes {
			if now.Sub(c.at) > t.crashMemory() {
				delete(r.crashes, endpoint)
			}
		}
		memory := suspicionTime
		if r.onProbation {
			memory = HoldTime
		}
		if len(r.crashes) == 0 && now.Sub(r.suspectedAt) > memory {
			delete(t.records, k)
		}
	}
	for endpoint, e := range t.explained {
		if now.Sub(e.learnedAt) > crashMemory {
			delete(t.explained, endpoint)
		}
	}
}
