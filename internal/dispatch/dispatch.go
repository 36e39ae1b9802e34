// Package dispatch combines admission control and scheduling for the request path.
// It takes a request, queues it if necessary, and returns the endpoint or region
// that serves it.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// queuePollInterval is the longest time until a queued request sees a slot that
// became free otherwise than by Release, for example through a load report.
const queuePollInterval = 10 * time.Millisecond

var (
	requestsQueued        = telemetry.NewCounter("requests_queued", "requests", "requests queued until an endpoint had a free slot")
	requestsShed          = telemetry.NewCounter("requests_shed", "requests", "queued requests refused to make room for a higher priority")
	requestsExpired       = telemetry.NewCounter("requests_expired", "requests", "queued requests refused because their deadline had passed")
	requestsRefused       = telemetry.NewCounter("requests_refused", "requests", "requests refused by admission or by the scheduler")
	requestsForwarded     = telemetry.NewCounter("requests_sent_away", "requests", "requests that the scheduler forwarded to another region")
	requestsServedLocally = telemetry.NewCounter("requests_kept", "requests", "requests that the scheduler assigned to an endpoint of this region")
)

// Dispatcher assigns requests to endpoints and regions. It is safe for concurrent
// use.
type Dispatcher struct {
	sched *sched.Scheduler
	store *datastore.Store
	admit *admit.Controller

	mu sync.Mutex
	// waiters is keyed by request id.
	waiters map[string]*waiter
	wakeup  chan struct{}
}

// waiter is a request that is being admitted or queued. result has room for one
// result, so that delivery never blocks.
type waiter struct {
	item   admit.Request
	req    *sched.Request
	result chan waitResult
}

type waitResult struct {
	decision sched.Decision
	refusal  *failure.Refusal
}

// New returns a dispatcher. Queued requests are served only while Run is running.
func New(s *sched.Scheduler, store *datastore.Store, a *admit.Controller) *Dispatcher {
	return &Dispatcher{
		sched:   s,
		store:   store,
		admit:   a,
		waiters: make(map[string]*waiter),
		wakeup:  make(chan struct{}, 1),
	}
}

// Acquire admits a new request and decides where it runs, after a wait in the queue
// if necessary. The caller must call Release with the item when the request has
// ended, unless Acquire returns an error. The error is a *failure.Refusal and means
// that nothing ran and nothing is held. If the decision is to serve the request, it is already recorded
// as sent to its endpoint, and the caller has to record its end in the datastore.
func (d *Dispatcher) Acquire(ctx context.Context, item admit.Request, req *sched.Request) (sched.Decision, error) {
	// The waiter is registered before the item can be in the queue, because
	// serveHead drops items without a waiter.
	w := d.addWaiter(item, req)
	verdict := d.admit.Admit(item, time.Now())
	d.deliverShed(verdict.Shed)
	if verdict.Kind == admit.Refuse {
		d.removeWaiter(item.ID)
		requestsRefused.Inc()
		return sched.Decision{}, verdict.Refusal()
	}
	decision, err := d.decideOrQueue(ctx, w, verdict.Kind == admit.Queue)
	if err != nil {
		d.admit.Withdraw(item)
		d.wake()
		requestsRefused.Inc()
	}
	return decision, err
}

// decideOrQueue decides on an admitted request. If the request is already queued, or
// the scheduler decides to queue it, decideOrQueue waits for its result.
func (d *Dispatcher) decideOrQueue(ctx context.Context, w *waiter, queued bool) (sched.Decision, error) {
	if queued {
		return d.awaitResult(ctx, w)
	}
	decision := d.decide(w.req)
	if decision.Kind == sched.Wait {
		return d.enqueue(ctx, w, decision)
	}
	d.removeWaiter(w.item.ID)
	if decision.Kind == sched.Refuse {
		return decision, refusalOf(decision)
	}
	return decision, nil
}

// Retry decides again on an admitted request after a failed attempt. The request
// waits behind queued requests of at least its priority. After an error the caller
// still has to call Release.
func (d *Dispatcher) Retry(ctx context.Context, item admit.Request, req *sched.Request) (sched.Decision, error) {
	w := d.addWaiter(item, req)
	if d.admit.MustWait(item) {
		return d.enqueue(ctx, w, sched.Decision{Kind: sched.Wait})
	}
	return d.decideOrQueue(ctx, w, false)
}

// Release ends an admitted request, so that a queued one can take its slot.
// extraTokens is the number of tokens used beyond the estimate.
func (d *Dispatcher) Release(item admit.Request, extraTokens int) {
	d.admit.Release(item, extraTokens)
	d.wake()
}

// wake makes Run serve the queues without waiting for queuePollInterval.
func (d *Dispatcher) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// decide asks the scheduler and records the decision at once, so that the next
// decision takes it into account.
func (d *Dispatcher) decide(req *sched.Request) sched.Decision {
	now := time.Now()
	decision := d.sched.Decide(req, d.store.View(now), rand.Uint64())
	switch decision.Kind {
	case sched.Serve:
		requestsServedLocally.Inc()
		d.store.RecordSentWithEstimate(decision.Endpoint, req.ID, req.PromptTokens, req.PrefixHashes, decision.EstimatedTTFT, now)
		if req.ForwardsLeft > 0 {
			d.store.RecordLocal(now)
		}
	case sched.Forward:
		requestsForwarded.Inc()
		d.store.RecordForwardedPrefix(decision.Region, req.PromptTokens, req.PrefixHashes, req.OutputBytes, now)
	case sched.Wait, sched.Refuse:
	}
	return decision
}

// enqueue adds a request to its queue and waits for its result.
func (d *Dispatcher) enqueue(ctx context.Context, w *waiter, decision sched.Decision) (sched.Decision, error) {
	verdict := d.admit.Enqueue(w.item, decision.EstimatedTTFT, time.Now())
	d.deliverShed(verdict.Shed)
	if verdict.Kind == admit.Refuse {
		d.removeWaiter(w.item.ID)
		return decision, verdict.Refusal()
	}
	return d.awaitResult(ctx, w)
}

// awaitResult waits until the queued request is served or refused, or ctx is done.
func (d *Dispatcher) awaitResult(ctx context.Context, w *waiter) (sched.Decision, error) {
	requestsQueued.Inc()
	d.wake()
	select {
	case result := <-w.result:
		return result.unpack()
	case <-ctx.Done():
	}
	d.admit.RemoveQueued(w.item.Group, w.item.ID)
	if !d.removeWaiter(w.item.ID) {
		// The result was delivered at the same time.
		return (<-w.result).unpack()
	}
	return sched.Decision{}, failure.Refuse(failure.CodeDeadlineExceeded, "the request ended while it waited").WithCause(ctx.Err())
}

// unpack returns the result as a pair. It keeps a nil refusal from becoming a
// non-nil error.
func (r waitResult) unpack() (sched.Decision, error) {
	if r.refusal == nil {
		return r.decision, nil
	}
	return r.decision, r.refusal
}

func (d *Dispatcher) addWaiter(item admit.Request, req *sched.Request) *waiter {
	w := &waiter{item: item, req: req, result: make(chan waitResult, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiters[item.ID] = w
	return w
}

// removeWaiter reports whether the waiter was still registered, that is, whether no
// result has been delivered to it.
func (d *Dispatcher) removeWaiter(id string) bool {
	return d.takeWaiter(id) != nil
}

func (d *Dispatcher) takeWaiter(id string) *waiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.waiters[id]
	delete(d.waiters, id)
	return w
}

// deliverShed refuses a request that was removed from the queue to make room.
func (d *Dispatcher) deliverShed(item *admit.Request) {
	if item == nil {
		return
	}
	requestsShed.Inc()
	d.deliver(item.ID, waitResult{refusal: failure.Refuse(failure.CodeOverloaded, "more important requests took the queue")})
}

// deliver gives a waiter its result. It returns false if the waiter has gone.
func (d *Dispatcher) deliver(id string, result waitResult) bool {
	w := d.takeWaiter(id)
	if w == nil {
		return false
	}
	w.result <- result
	return true
}

// deliverDecision gives a waiter the decision to serve or forward its request. If the
// waiter has gone since the decision was recorded, the endpoint gets its slot back.
func (d *Dispatcher) deliverDecision(id string, decision sched.Decision, now time.Time) {
	if !d.deliver(id, waitResult{decision: decision}) && decision.Kind == sched.Serve {
		d.store.RecordEnd(decision.Endpoint, id, datastore.Cancelled, now)
	}
}

// Run serves the queues until t is dying. It blocks while no request is waiting.
func (d *Dispatcher) Run(t *tomb.Tomb) error {
	for {
		groups := d.waitingGroups()
		for _, group := range groups {
			d.serveQueue(group)
		}
		var next <-chan time.Time
		if len(groups) > 0 {
			next = time.After(queuePollInterval)
		}
		select {
		case <-t.Dying():
			return nil
		case <-next:
		case <-d.wakeup:
		}
	}
}

// Name implements controller.Controller.
func (d *Dispatcher) Name() string { return "dispatch" }

// waitingGroups returns the groups that have waiters.
func (d *Dispatcher) waitingGroups() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[string]bool)
	var groups []string
	for _, w := range d.waiters {
		if !seen[w.item.Group] {
			seen[w.item.Group] = true
			groups = append(groups, w.item.Group)
		}
	}
	return groups
}

// serveQueue serves the requests of one group's queue in order, until the first one
// has to go on waiting. It refuses expired requests.
func (d *Dispatcher) serveQueue(group string) {
	for {
		now := time.Now()
		item, ok, expired := d.admit.Dequeue(group, now)
		for _, e := range expired {
			requestsExpired.Inc()
			d.deliver(e.ID, waitResult{refusal: failure.Refuse(failure.CodeDeadlineExceeded, "the deadline can't be met")})
		}
		if !ok {
			return
		}
		if !d.serveHead(item, now) {
			return
		}
	}
}

// serveHead decides on the item at the head of a queue. If the item has to go on
// waiting, serveHead returns it to the queue and reports false.
func (d *Dispatcher) serveHead(item admit.Request, now time.Time) bool {
	d.mu.Lock()
	w := d.waiters[item.ID]
	d.mu.Unlock()
	if w == nil {
		return true
	}
	// The time to deadline was set when the request entered the queue.
	w.req.TimeToDeadline -= now.Sub(item.QueuedAt)
	decision := d.decide(w.req)
	w.req.TimeToDeadline += now.Sub(item.QueuedAt)
	switch decision.Kind {
	case sched.Wait:
		d.admit.Requeue(item)
		return false
	case sched.Refuse:
		d.deliver(item.ID, waitResult{decision: decision, refusal: refusalOf(decision)})
	case sched.Serve, sched.Forward:
		d.deliverDecision(item.ID, decision, now)
	}
	return true
}

// capacityRetryAfter is the delay that a caller is told to wait before a retry when
// no endpoint has capacity.
const capacityRetryAfter = 1 * time.Second

func refusalOf(d sched.Decision) *failure.Refusal {
	switch d.Reason {
	case sched.ReasonResidency:
		return failure.Refuse(failure.CodeResidencyNotPermitted, "residency does not permit this region")
	case sched.ReasonDeadline:
		return failure.Refuse(failure.CodeDeadlineExceeded, "the first token can't come before the deadline")
	case sched.ReasonSaturated:
		return failure.Refuse(failure.CodeOverloaded, "every endpoint is at its limit").WithRetryAfter(capacityRetryAfter)
	}
	return failure.Refuse(failure.CodeNoEndpoint, "no endpoint serves this request").WithRetryAfter(capacityRetryAfter)
}
