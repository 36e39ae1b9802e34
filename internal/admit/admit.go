// Package admit is the admission control of a gateway. It decides whether a
// request is dispatched now, queued or refused, by the customers' limits, the
// queues and a retry budget. It performs no I/O and reads no clock; callers pass
// the current time.
package admit

import (
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
)

// Request describes a request to admission control.
type Request struct {
	ID       string
	Customer string
	// Group is the endpoint group in whose queue the request may wait.
	Group string
	// Priority ranges from 0 to 9; 9 is the highest.
	Priority int
	// EstimatedTokens is the estimated sum of prompt and output tokens.
	EstimatedTokens int
	// FirstTokenDeadline is the latest useful time of the first token; zero means
	// that there is no deadline.
	FirstTokenDeadline time.Time
	// QueuedAt is when the request entered the queue. The Controller sets it.
	QueuedAt time.Time
}

// Kind is the kind of a Verdict.
type Kind int

// Kinds of verdicts.
const (
	// Dispatch means that the request may be dispatched now.
	Dispatch Kind = iota
	// Queue means that the request is in the queue.
	Queue
	// Refuse means that the request is refused without having run.
	Refuse
)

// Verdict is the result of admission control for one request.
type Verdict struct {
	Kind Kind
	// Code, Message and RetryAfter are set when Kind is Refuse.
	Code       failure.Code
	Message    string
	RetryAfter time.Duration
	// Shed is a request that was removed from the queue to make room for this one;
	// nil means none. The caller has to refuse it as overloaded.
	Shed *Request
}

// Refusal returns the refusal to send to the caller, or nil if Kind is not Refuse.
func (v Verdict) Refusal() *failure.Refusal {
	if v.Kind != Refuse {
		return nil
	}
	return failure.Refuse(v.Code, "%s", v.Message).WithRetryAfter(v.RetryAfter)
}

func refuse(code failure.Code, message string, retryAfter time.Duration) Verdict {
	return Verdict{Kind: Refuse, Code: code, Message: message, RetryAfter: retryAfter}
}

// Options configure a Controller.
type Options struct {
	// MaxQueueLength bounds the number of requests queued for one group.
	MaxQueueLength int
	// RetryBurst is the initial retry budget and the most that it can hold.
	RetryBurst float64
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options { return Options{MaxQueueLength: 256, RetryBurst: 10} }

// Controller holds the customers' limits, the queues and the retry budget of one
// gateway. It is safe for concurrent use.
type Controller struct {
	opts    Options
	limiter *limiter
	retries *RetryBudget

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns an admission controller for the gateway with the id self.
func New(self string, opts Options) *Controller {
	return &Controller{
		opts:    opts,
		limiter: newLimiter(self),
		retries: NewRetryBudget(opts.RetryBurst),
		queues:  make(map[string]*queue),
	}
}

// Configure applies the customers' limits and the retry ratio of the operators'
// configuration.
func (c *Controller) Configure(in *intent.Intent) {
	c.limiter.configure(in.Customers)
	c.retries.SetRatio(in.Routing.RetryRatio)
}

// SetGatewayIDs sets the ids of the live gateways, including this one.
func (c *Controller) SetGatewayIDs(ids []string) { c.limiter.setGatewayIDs(ids) }

// Admit decides on a new request by its customer's limits and then by the queue of
// its group. A refused request holds nothing. Any other counts towards the customer's
// limits until its owner, the caller of Admit, calls either Release or Withdraw once.
func (c *Controller) Admit(item Request, now time.Time) Verdict {
	if v := c.limiter.admit(item, now); v.Kind == Refuse {
		return v
	}
	if !c.MustWait(item) {
		return Verdict{Kind: Dispatch}
	}
	verdict := c.Enqueue(item, 0, now)
	if verdict.Kind == Refuse {
		c.Withdraw(item)
	}
	return verdict
}

// MustWait reports whether a request of at least the same priority is queued for
// the group. Call it before dispatching an admitted request again after a failure
// or a refusal by another region. If it returns true, call Enqueue instead.
func (c *Controller) MustWait(item Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[item.Group]
	if !ok || q.len() == 0 {
		return false
	}
	return q.peek().Priority >= item.Priority
}

// Enqueue adds an admitted request to its group's queue. estimate is the expected
// time to first token after the request has left the queue. The verdict is Queue or
// Refuse; in either case the request stays admitted.
func (c *Controller) Enqueue(item Request, estimate time.Duration, now time.Time) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[item.Group]
	if !ok {
		q = newQueue(c.opts.MaxQueueLength)
		c.queues[item.Group] = q
	}
	return q.push(item, estimate, now)
}

// Dequeue removes the first request from a group's queue; ok is false if there is
// none. expired are the queued requests whose deadline has passed. They are removed
// too, and the caller has to refuse them.
func (c *Controller) Dequeue(group string, now time.Time) (item Request, ok bool, expired []Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, found := c.queues[group]
	if !found {
		return Request{}, false, nil
	}
	expired = q.removeExpired(now)
	item, ok = q.pop(now)
	return item, ok, expired
}

// Requeue returns a request to the queue that Dequeue took it from, in its previous
// position.
func (c *Controller) Requeue(item Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.queues[item.Group]; ok {
		q.requeue(item)
	}
}

// RemoveQueued removes a request whose caller has gone from its group's queue. It
// reports whether the request was queued.
func (c *Controller) RemoveQueued(group, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[group]
	return ok && q.remove(id)
}

// QueueLength returns the number of requests in a group's queue.
func (c *Controller) QueueLength(group string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.queues[group]; ok {
		return q.len()
	}
	return 0
}

// Release ends an admitted request that was dispatched, so that it no longer counts
// towards the customer's concurrent requests. extraTokens is the number of tokens used
// beyond EstimatedTokens; it may be negative.
func (c *Controller) Release(item Request, extraTokens int) {
	c.limiter.release(item.Customer, 0, extraTokens)
}

// Withdraw ends an admitted request that was refused before it was dispatched. The
// customer's limits are as if the request had not been admitted.
func (c *Controller) Withdraw(item Request) {
	c.limiter.release(item.Customer, -1, -item.EstimatedTokens)
}

// RecordSuccess records a successful request, which adds to the retry budget.
func (c *Controller) RecordSuccess() { c.retries.RecordSuccess() }

// AllowRetry reports whether a request may be retried, and if so takes one retry
// from the budget.
func (c *Controller) AllowRetry() bool { return c.retries.TrySpend() }
