// Package admit decides whether a request may run now, has to wait, or is
// refused early. It does no I/O and reads no clock: now is an argument.
package admit

import (
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
)

// Request is a request as admission sees it.
type Request struct {
	ID       string
	Customer string
	// Group is the endpoint group whose queue it waits in.
	Group    string
	Priority int
	// EstimatedTokens is the estimate of prompt and output tokens together.
	EstimatedTokens int
	// FirstTokenDeadline is the latest time at which the first token is of use.
	FirstTokenDeadline time.Time
	// QueuedAt is when it entered the queue; Controller sets it.
	QueuedAt time.Time
}

// Kind is the kind of a verdict.
type Kind int

// The kinds of verdicts.
const (
	// Dispatch says that the request may be dispatched now.
	Dispatch Kind = iota
	// Queue says that the request waits in the queue.
	Queue
	// Refuse says that it is refused; nothing ran.
	Refuse
)

// Verdict is the answer of admission.
type Verdict struct {
	Kind Kind
	// Code, Message and RetryAfter are set when Kind is Refuse.
	Code       failure.Code
	Message    string
	RetryAfter time.Duration
	// Shed is a queued request that has to be refused as overloaded in favour
	// of this one.
	Shed *Request
}

// Refusal returns the refusal that a caller is shown, or nil.
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
	// MaxQueueLength bounds the requests that wait for one group.
	MaxQueueLength int
	// RetryBurst is the number of retries allowed before any success.
	RetryBurst float64
}

// DefaultOptions are the options in production.
func DefaultOptions() Options { return Options{MaxQueueLength: 256, RetryBurst: 10} }

// Controller holds the limits, the queues and the retry budget of one
// gateway. It is safe for concurrent use.
type Controller struct {
	opts    Options
	limiter *limiter
	retries *RetryBudget

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns a controller for the gateway with the given id.
func New(self string, opts Options) *Controller {
	return &Controller{
		opts:    opts,
		limiter: newLimiter(self),
		retries: NewRetryBudget(opts.RetryBurst),
		queues:  make(map[string]*queue),
	}
}

// Configure takes the customers' limits and the retry ratio of an intent.
func (c *Controller) Configure(in *intent.Intent) {
	c.limiter.configure(in.Customers)
	c.retries.SetRatio(in.Routing.RetryRatio)
}

// SetGatewayIDs tells the ids of the live gateways, this one included.
func (c *Controller) SetGatewayIDs(ids []string) { c.limiter.setGateways(ids) }

// Admit judges a new request: by the customer's limits, then by the queue.
// Run takes a place among the customer's concurrent requests, which Finish
// gives back; so does Queue.
func (c *Controller) Admit(item Request, now time.Time) Verdict {
	if v := c.limiter.take(item, now); v.Kind == Refuse {
		return v
	}
	if c.MustWait(item) {
		return c.Enqueue(item, 0, now)
	}
	return Verdict{Kind: Dispatch}
}

// MustWait says that a request at least as important already waits. Ask it
// before an admitted request is dispatched again, after a failure or a refusal
// by another region; on true, call Wait.
func (c *Controller) MustWait(item Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[item.Group]
	if !ok || q.len() == 0 {
		return false
	}
	return q.head().Priority >= item.Priority
}

// Enqueue puts an admitted request into its group's queue, when the scheduler
// said so. estimate is the time to first token expected once it leaves the
// queue. On Refuse the caller still calls Finish.
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

// Dequeue takes the most important request out of a group's queue. expired are
// requests that can't meet their deadline any more and have to be refused.
func (c *Controller) Dequeue(group string, now time.Time) (item Request, ok bool, expired []Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, found := c.queues[group]
	if !found {
		return Request{}, false, nil
	}
	expired = q.expire(now)
	item, ok = q.pop(now)
	return item, ok, expired
}

// Requeue returns a request taken by Next to its place.
func (c *Controller) Requeue(item Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.queues[item.Group]; ok {
		q.putBack(item)
	}
}

// RemoveQueued removes a waiting request, whose caller went away.
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

// Release gives back the place of a request that Arrive let in. extraTokens
// corrects the estimate by what was really used.
func (c *Controller) Release(item Request, extraTokens int, now time.Time) {
	c.limiter.finish(item.Customer, extraTokens, now)
}

// RecordSuccess earns retry budget.
func (c *Controller) RecordSuccess() { c.retries.Earn() }

// AllowRetry spends retry budget; false says that the request must not be retried.
func (c *Controller) AllowRetry() bool { return c.retries.Spend() }
