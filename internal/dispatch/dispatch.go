// Package dispatch joins admission and scheduling for the request path: it
// takes a request, waits in the queue where it must, and answers with the
// endpoint or region that serves it.
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

// pumpInterval is the longest time until a free place is seen by the queue.
const pumpInterval = 10 * time.Millisecond

var (
	queued   = telemetry.NewCounter("requests_queued", "requests", "requests that waited for an endpoint")
	shed     = telemetry.NewCounter("requests_shed", "requests", "waiting requests refused in favour of more important ones")
	expired  = telemetry.NewCounter("requests_expired", "requests", "waiting requests refused because of their deadline")
	refused  = telemetry.NewCounter("requests_refused", "requests", "requests refused by admission or by the scheduler")
	sentAway = telemetry.NewCounter("requests_sent_away", "requests", "requests decided to go to another region")
	served   = telemetry.NewCounter("requests_kept", "requests", "requests decided to stay in this region")
)

// Dispatcher finds a place for each request. It is safe for concurrent use.
type Dispatcher struct {
	sched *sched.Scheduler
	store *datastore.Store
	admit *admit.Controller

	mu      sync.Mutex
	waiters map[string]*waiter
	kick    chan struct{}
}

type waiter struct {
	item   admit.Request
	req    *sched.Request
	result chan outcome
}

type outcome struct {
	decision sched.Decision
	refusal  *failure.Refusal
}

// New returns a dispatcher.
func New(s *sched.Scheduler, store *datastore.Store, a *admit.Controller) *Dispatcher {
	return &Dispatcher{
		sched:   s,
		store:   store,
		admit:   a,
		waiters: make(map[string]*waiter),
		kick:    make(chan struct{}, 1),
	}
}

// Acquire finds a place for a new request. The caller must Release the item
// once the request has ended, unless Acquire returned an error. The error is a
// *failure.Refusal; nothing ran. A decision to serve counts as sent to its
// endpoint: the caller reports the end to the datastore.
func (d *Dispatcher) Acquire(ctx context.Context, item admit.Request, req *sched.Request) (sched.Decision, error) {
	// The waiter is known before the item can be in the queue, so that the
	// queue never serves an item that nobody waits for.
	w := d.addWaiter(item, req)
	verdict := d.admit.Admit(item, time.Now())
	d.refuseShed(verdict.Shed)
	if verdict.Kind == admit.Refuse {
		d.removeWaiter(item.ID)
		refused.Inc()
		return sched.Decision{}, verdict.Refusal()
	}
	decision, err := d.place(ctx, w, verdict.Kind == admit.Queue)
	if err != nil {
		d.Release(item, 0)
		refused.Inc()
	}
	return decision, err
}

// place decides for an admitted request, or waits for its turn in the queue.
func (d *Dispatcher) place(ctx context.Context, w *waiter, queued bool) (sched.Decision, error) {
	if queued {
		return d.await(ctx, w)
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

// Retry finds another place for an admitted request whose attempt has failed.
// It waits behind requests that are at least as important.
func (d *Dispatcher) Retry(ctx context.Context, item admit.Request, req *sched.Request) (sched.Decision, error) {
	w := d.addWaiter(item, req)
	if d.admit.MustWait(item) {
		return d.enqueue(ctx, w, sched.Decision{Kind: sched.Wait})
	}
	return d.place(ctx, w, false)
}

// Release gives back the place of a request that has ended. extraTokens
// corrects the estimate of its tokens.
func (d *Dispatcher) Release(item admit.Request, extraTokens int) {
	d.admit.Release(item, extraTokens, time.Now())
	d.wake()
}

// wake makes the queues be looked at.
func (d *Dispatcher) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// decide asks the scheduler and notes at once what was decided, so that the
// next decision sees it.
func (d *Dispatcher) decide(req *sched.Request) sched.Decision {
	now := time.Now()
	decision := d.sched.Decide(req, d.store.View(now), rand.Uint64())
	switch decision.Kind {
	case sched.Serve:
		served.Inc()
		d.store.RecordSentWithEstimate(decision.Endpoint, req.ID, req.PromptTokens, req.PrefixHashes, decision.EstimatedTTFT, now)
		if req.ForwardsLeft > 0 {
			d.store.RecordLocal(now)
		}
	case sched.Forward:
		sentAway.Inc()
		d.store.RecordForwardedPrefix(decision.Region, req.PromptTokens, req.PrefixHashes, req.OutputBytes, now)
	case sched.Wait, sched.Refuse:
	}
	return decision
}

func (d *Dispatcher) enqueue(ctx context.Context, w *waiter, decision sched.Decision) (sched.Decision, error) {
	verdict := d.admit.Enqueue(w.item, decision.EstimatedTTFT, time.Now())
	d.refuseShed(verdict.Shed)
	if verdict.Kind == admit.Refuse {
		d.removeWaiter(w.item.ID)
		return decision, verdict.Refusal()
	}
	return d.await(ctx, w)
}

// await waits until the queue has served or refused the request, or until the
// caller's own wait is over.
func (d *Dispatcher) await(ctx context.Context, w *waiter) (sched.Decision, error) {
	queued.Inc()
	d.wake()
	select {
	case out := <-w.result:
		return out.split()
	case <-ctx.Done():
	}
	d.admit.RemoveQueued(w.item.Group, w.item.ID)
	if !d.removeWaiter(w.item.ID) {
		return (<-w.result).split()
	}
	return sched.Decision{}, failure.Refuse(failure.CodeDeadline, "the request ended while it waited").WithCause(ctx.Err())
}

func (o outcome) split() (sched.Decision, error) {
	if o.refusal == nil {
		return o.decision, nil
	}
	return o.decision, o.refusal
}

func (d *Dispatcher) addWaiter(item admit.Request, req *sched.Request) *waiter {
	w := &waiter{item: item, req: req, result: make(chan outcome, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiters[item.ID] = w
	return w
}

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

func (d *Dispatcher) refuseShed(item *admit.Request) {
	if item == nil {
		return
	}
	shed.Inc()
	d.finish(item.ID, outcome{refusal: failure.Refuse(failure.CodeOverloaded, "more important requests took the queue")})
}

func (d *Dispatcher) finish(id string, out outcome) {
	if w := d.takeWaiter(id); w != nil {
		w.result <- out
	}
}

// Run serves the queues until the tomb dies. It sleeps while nobody waits.
func (d *Dispatcher) Run(t *tomb.Tomb) error {
	for {
		groups := d.waitingGroups()
		for _, group := range groups {
			d.pump(group)
		}
		var next <-chan time.Time
		if len(groups) > 0 {
			next = time.After(pumpInterval)
		}
		select {
		case <-t.Dying():
			return nil
		case <-next:
		case <-d.kick:
		}
	}
}

// Name implements controller.Controller.
func (d *Dispatcher) Name() string { return "dispatch" }

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

// pump serves one group's queue from its head until its head has to wait.
func (d *Dispatcher) pump(group string) {
	for {
		now := time.Now()
		item, ok, late := d.admit.Dequeue(group, now)
		for _, x := range late {
			expired.Inc()
			d.finish(x.ID, outcome{refusal: failure.Refuse(failure.CodeDeadline, "the deadline can't be met")})
		}
		if !ok {
			return
		}
		if !d.serve(item, now) {
			return
		}
	}
}

// serve decides for the head of a queue; false puts it back.
func (d *Dispatcher) serve(item admit.Request, now time.Time) bool {
	d.mu.Lock()
	w := d.waiters[item.ID]
	d.mu.Unlock()
	if w == nil {
		return true
	}
	w.req.TimeToDeadline -= now.Sub(item.QueuedAt)
	decision := d.decide(w.req)
	w.req.TimeToDeadline += now.Sub(item.QueuedAt)
	switch decision.Kind {
	case sched.Wait:
		d.admit.Requeue(item)
		return false
	case sched.Refuse:
		d.finish(item.ID, outcome{decision: decision, refusal: refusalOf(decision)})
	case sched.Serve, sched.Forward:
		d.finish(item.ID, outcome{decision: decision})
	}
	return true
}

// retrySoon is what a caller is told to wait for a place.
const retrySoon = 1 * time.Second

func refusalOf(d sched.Decision) *failure.Refusal {
	switch d.Reason {
	case sched.ReasonResidency:
		return failure.Refuse(failure.CodeResidency, "residency does not permit this region")
	case sched.ReasonDeadline:
		return failure.Refuse(failure.CodeDeadline, "the first token can't come before the deadline")
	case sched.ReasonSaturated:
		return failure.Refuse(failure.CodeOverloaded, "every endpoint is at its limit").WithRetryAfter(retrySoon)
	}
	return failure.Refuse(failure.CodeNoEndpoint, "no endpoint serves this request").WithRetryAfter(retrySoon)
}
