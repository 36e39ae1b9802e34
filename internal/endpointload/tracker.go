// Package endpointload accounts for the work at each endpoint: the requests of this
// gateway exactly, those of the other gateways as they tell them, and what both
// teach about speed, failures and cached prompt parts.
package endpointload

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of the accounts.
const shardCount = 16

// Tracker holds the accounts of all endpoints. It is safe for concurrent use.
type Tracker struct {
	shards [shardCount]shard
	speeds *speeds
	peers  *peers
	// readings are what this gateway had endpoints read, relayed what the other
	// gateways of the region had.
	readings *readings
	relayed  *readings
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// New returns an empty ledger.
func New() *Tracker {
	l := &Tracker{speeds: newSpeeds(), peers: newPeers(), readings: newReadings(), relayed: newReadings()}
	for i := range l.shards {
		l.shards[i].accounts = make(map[string]*account)
	}
	return l
}

func (l *Tracker) shard(id string) *shard {
	return &l.shards[xxhash.Sum64String(id)%shardCount]
}

// with runs fn on the account of an endpoint, under its shard's lock. An
// account of an earlier incarnation is replaced.
func (l *Tracker) with(id string, born int64, fn func(*account)) {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a, ok := sh.accounts[id]
	if !ok || a.born < born {
		a = newAccount(born)
		sh.accounts[id] = a
	}
	fn(a)
}

// Job is one request at one endpoint.
type Job struct {
	Service string
	// PromptTokens is the length of the prompt, Cached the part of it that the
	// endpoint is believed to hold, Output the likely length of the answer.
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Segments identify the prompt's parts, each with all before it.
	Segments []Segment
	// SharedPrefix is the hash of the last part that other prompts have too, 0 if
	// there is none.
	SharedPrefix uint64
	// Forwarded says that a gateway of another region serves the request, and
	// accounts for it.
	Forwarded bool
}

// Segment is one part of a prompt together with all parts before it.
type Segment struct {
	PrefixHash uint64
	// Tokens is the length of this part alone.
	Tokens int
}

// Result is how a request at an endpoint ended.
type Result int

// The results.
const (
	// Succeeded says that the answer was whole.
	Succeeded Result = iota
	// Failed says that the endpoint failed the request.
	Failed
	// Unreachable says that no connection was made.
	Unreachable
	// Shed says that the endpoint refused the request for its load.
	Shed
	// Abandoned says that the caller or the deadline ended the request.
	Abandoned
)

// ActiveRequest is one request under way at an endpoint.
type ActiveRequest struct {
	ledger *Tracker
	id     string
	born   int64
	job    Job
	start  time.Time
	// work is the time that reading the prompt was estimated to take.
	work time.Duration
	// alone says that nothing else was waiting at the endpoint.
	alone bool
	began bool
	ended bool
}

// Begin accounts for a request that is sent now.
func (l *Tracker) Begin(id string, born int64, job Job, now time.Time) *ActiveRequest {
	e := &ActiveRequest{ledger: l, id: id, born: born, job: job, start: now}
	e.work = time.Duration(max(job.PromptTokens-job.CachedTokens, 0)) * l.speeds.tokenTime(job.Service)
	theirs := l.peers.sum(id, now)
	l.with(id, born, func(a *account) {
		e.alone = len(a.pending) == 0 && theirs.Waiting == 0
		a.add(e, now)
	})
	if job.SharedPrefix != 0 {
		l.readings.note(CachedPrefix{ID: id, PrefixHash: job.SharedPrefix}, now)
	}
	return e
}

// RecordFirstOutput notes that the first part of the answer came.
func (e *ActiveRequest) RecordFirstOutput(now time.Time) {
	if e.began {
		return
	}
	e.began = true
	e.ledger.with(e.id, e.born, func(a *account) { a.begin(e, now) })
	if e.alone {
		e.ledger.speeds.observe(e.job, now.Sub(e.start))
	}
}

// End notes the end of the request. Only the first call counts.
func (e *ActiveRequest) End(r Result, now time.Time) {
	if e.ended {
		return
	}
	e.ended = true
	e.ledger.with(e.id, e.born, func(a *account) { a.end(e, r, now) })
	if r == Succeeded && e.job.PromptTokens == 0 && !e.job.Forwarded {
		e.ledger.speeds.observePlain(e.job.Service, now.Sub(e.start))
	}
}

// Forget drops the account of an endpoint that is gone, unless requests are
// still under way there.
func (l *Tracker) Forget(id string) {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if a, ok := sh.accounts[id]; ok && len(a.pending) == 0 && a.running == 0 {
		delete(sh.accounts, id)
	}
}
