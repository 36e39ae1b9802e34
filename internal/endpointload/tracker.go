// Package endpointload tracks the load of each endpoint. It counts the requests
// of this gateway exactly, adds the loads that other gateways report, and
// learns prefill times, failure rates and cached prompt prefixes from both.
package endpointload

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of locks that the accounts are divided among.
const shardCount = 16

// Tracker tracks the load of all endpoints. It is safe for concurrent use.
type Tracker struct {
	shards       [shardCount]shard
	serviceTimes *serviceTimes
	steps        *stepTimes
	lengths      *lengths
	peerLoads    *peerLoads
	// ownPrefixes logs the prefixes that this gateway's requests had prefilled,
	// peerPrefixes those that other gateways of the region reported.
	ownPrefixes  *prefixLog
	peerPrefixes *prefixLog
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// New returns a tracker without any load.
func New() *Tracker {
	t := &Tracker{serviceTimes: newServiceTimes(), steps: newStepTimes(), lengths: newLengths(), peerLoads: newPeerLoads(), ownPrefixes: newPrefixLog(), peerPrefixes: newPrefixLog()}
	for i := range t.shards {
		t.shards[i].accounts = make(map[string]*account)
	}
	return t
}

func (t *Tracker) shard(id string) *shard {
	return &t.shards[xxhash.Sum64String(id)%shardCount]
}

// withAccount calls fn with the account of an endpoint while it holds the lock
// of the account's shard. It creates a missing account and replaces that of an
// earlier incarnation. The account may be that of a later incarnation.
func (t *Tracker) withAccount(id string, incarnation int64, fn func(*account)) {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a, ok := sh.accounts[id]
	if !ok || a.incarnation < incarnation {
		a = newAccount(incarnation)
		sh.accounts[id] = a
	}
	fn(a)
}

// Job describes one request that is sent to an endpoint.
type Job struct {
	Service string
	// PromptTokens is the length of the prompt, CachedTokens the length of its
	// prefix that the endpoint is believed to have cached, OutputTokens the
	// expected length of the response.
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Segments are the segments of the prompt in order.
	Segments []Segment
	// SharedPrefix is the hash of the longest prefix that other prompts have in
	// common, 0 if there is none.
	SharedPrefix uint64
	// Forwarded is set if a gateway of another region serves the request. That
	// gateway accounts for it.
	Forwarded bool
	// Streamed is set if the response is a stream that is read from its first output,
	// Class that by which its length is learned, Lengths what was learned before the
	// request. Deadline is when the caller gives up.
	Streamed bool
	Class    LengthClass
	Lengths  Lengths
	Deadline time.Time
	// Ahead is the number of requests that a plain endpoint had before this one, Slots
	// how many it runs at once. Slots is 0 if Ahead is not known.
	Ahead int
	Slots int
}

// maxTokens returns the KV cache in tokens that the request needs by its end.
func (j *Job) maxTokens() int {
	if j.Lengths.Tokens > 0 {
		return j.PromptTokens + j.Lengths.Tokens
	}
	return j.PromptTokens + j.OutputTokens
}

// Segment is one segment of a prompt. PrefixHash identifies the prompt prefix
// that ends with it.
type Segment struct {
	PrefixHash uint64
	// Tokens is the length of this segment alone.
	Tokens int
}

// Result is how a request to an endpoint ended.
type Result int

// The results of requests.
const (
	// Succeeded means that the response was complete.
	Succeeded Result = iota
	// Failed means that the endpoint failed the request.
	Failed
	// Unreachable means that no connection could be established.
	Unreachable
	// Shed means that the endpoint refused the request because of its load.
	Shed
	// Abandoned means that the caller or the deadline ended the request.
	Abandoned
)

// ActiveRequest is one request in flight at an endpoint. It must not be used by
// several goroutines at once.
type ActiveRequest struct {
	tracker    *Tracker
	endpointID string
	// account is that of the incarnation that the request was sent to. It is no longer in
	// use once the endpoint has started again.
	account *account
	job     Job
	start   time.Time
	// prefill is the estimated prefill time of the prompt.
	prefill time.Duration
	// uncontended is set if no other request was waiting at the endpoint when
	// this one was sent.
	uncontended bool
	// foundSlot is set if the endpoint was known to have a free slot then.
	foundSlot bool
	// firstOutputAt is set once responseStarted is.
	firstOutputAt   time.Time
	responseStarted bool
	ended           bool
	progress        streamProgress
}

// Begin accounts for a request that is sent to the endpoint now. The caller
// must call End on the returned request.
func (t *Tracker) Begin(id string, incarnation int64, job Job, now time.Time) *ActiveRequest {
	req := &ActiveRequest{tracker: t, endpointID: id, job: job, start: now}
	req.prefill = time.Duration(max(job.PromptTokens-job.CachedTokens, 0)) * t.serviceTimes.prefillPerToken(job.Service)
	t.serviceTimes.observeRequest(job, req.prefill)
	peerLoad := t.peerLoads.sum(id, now)
	t.withAccount(id, incarnation, func(a *account) {
		if a.incarnation > incarnation {
			// The endpoint has started again since it was chosen.
			a = newAccount(incarnation)
		}
		req.account = a
		req.prefill = scale(req.prefill, a.speed.at(now))
		req.foundSlot = len(a.pending)+a.running+peerLoad.Waiting+peerLoad.Running < a.slots
		req.uncontended = len(a.pending) == 0 && peerLoad.Waiting == 0
		a.add(req, now)
	})
	if job.SharedPrefix != 0 {
		t.ownPrefixes.record(CachedPrefix{ID: id, PrefixHash: job.SharedPrefix}, now)
	}
	return req
}

// withAccount calls fn with the account of the request while it holds the lock of the
// endpoint's shard.
func (req *ActiveRequest) withAccount(fn func(*account)) {
	sh := req.tracker.shard(req.endpointID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(req.account)
}

// RecordFirstOutput records that the first part of the response has arrived.
// Only the first call counts.
func (req *ActiveRequest) RecordFirstOutput(now time.Time) {
	if req.responseStarted {
		return
	}
	factor := 1.0
	req.withAccount(func(a *account) {
		req.responseStarted, req.firstOutputAt = true, now
		a.startResponse(req, now)
		factor = a.speed.at(now)
	})
	if req.uncontended {
		req.tracker.serviceTimes.observePrefill(req.job, scale(now.Sub(req.start), 1/factor))
	}
}

// End records the end of the request. Only the first call counts.
func (req *ActiveRequest) End(result Result, now time.Time) {
	if req.ended {
		return
	}
	req.ended = true
	req.observeSteps(now)
	req.withAccount(func(a *account) { a.finish(req, result, now) })
	if result == Succeeded || result == Abandoned {
		req.tracker.lengths.observe(req.job, req.progress.outputs, result == Succeeded)
	}
	switch {
	case result != Succeeded:
	case req.job.PromptTokens > 0 && req.responseStarted:
		req.tracker.serviceTimes.observeGeneration(req.job, now.Sub(req.firstOutputAt), now.Sub(req.start))
	case req.job.PromptTokens == 0 && !req.job.Forwarded:
		req.learnSpeed(req.job.withoutWait(now.Sub(req.start)), now)
	}
}

// Forget drops the account of an endpoint that no longer exists, unless
// requests are still in flight there.
func (t *Tracker) Forget(id string) {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if a, ok := sh.accounts[id]; ok && len(a.pending) == 0 && a.running == 0 {
		delete(sh.accounts, id)
	}
}
