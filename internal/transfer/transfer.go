// Package transfer limits the duration of calls by the progress of their responses. A limit on the
// whole duration would give up a large response on a slow link each time, however often it is
// tried again.
package transfer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limit limits the duration of calls.
type Limit struct {
	// Silence returns the longest time without a byte of the response's body. It is asked
	// again during a call.
	Silence func() time.Duration
	// BytesPerSecond is the least mean rate of a body after a first Silence. It keeps a
	// response that trickles from holding the call.
	BytesPerSecond int
}

// SlowError reports that a call was given up because its response came too slowly. It unwraps to
// context.DeadlineExceeded.
type SlowError struct {
	// Received is the number of bytes of the body that had arrived.
	Received int64
	// Elapsed is the time since the call began.
	Elapsed time.Duration
}

// Error implements error.
func (e *SlowError) Error() string {
	return fmt.Sprintf("response too slow: %d bytes in %d ms", e.Received, e.Elapsed.Milliseconds())
}

// Unwrap returns context.DeadlineExceeded.
func (e *SlowError) Unwrap() error { return context.DeadlineExceeded }

// Call is a call whose duration is limited. Its methods are safe for concurrent use.
type Call struct {
	limit     Limit
	holdTime  time.Duration
	startedAt time.Time
	cancel    context.CancelFunc

	mu       sync.Mutex
	timer    *time.Timer
	received int64
	// lastAt is when the last byte arrived.
	lastAt time.Time
	// slow is set once the call was given up.
	slow *SlowError
}

// Start begins a call. The returned context is cancelled when the call is given up or stopped.
// holdTime is how long the server may hold the request before it responds.
func (l Limit) Start(ctx context.Context, holdTime time.Duration) (context.Context, *Call) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Call{limit: l, holdTime: holdTime, startedAt: time.Now(), cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(time.Until(c.deadline()), c.check)
	return ctx, c
}

// deadline returns when the call is given up unless more arrives. c.mu has to be held.
func (c *Call) deadline() time.Time {
	silence := c.limit.Silence()
	first := c.startedAt.Add(c.holdTime + silence)
	if c.received == 0 {
		return first
	}
	atRate := first.Add(time.Duration(float64(c.received) / float64(c.limit.BytesPerSecond) * float64(time.Second)))
	if silent := c.lastAt.Add(silence); silent.Before(atRate) {
		return silent
	}
	return atRate
}

// check gives the call up if its deadline has passed.
func (c *Call) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left := time.Until(c.deadline()); left > 0 {
		c.timer.Reset(left)
		return
	}
	c.slow = &SlowError{Received: c.received, Elapsed: time.Since(c.startedAt)}
	c.cancel()
}

// record records that n bytes of the body have arrived.
func (c *Call) record(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFirst := c.received == 0
	c.received += int64(n)
	c.lastAt = time.Now()
	if isFirst && c.slow == nil {
		// The server no longer holds the request, so the deadline may be earlier.
		c.timer.Reset(time.Until(c.deadline()))
	}
}

// Reader returns a reader of body whose bytes count as the progress of the call.
func (c *Call) Reader(body io.Reader) io.Reader { return &reader{body: body, call: c} }

// Err returns a *SlowError if the call was given up, and otherwise err. If err is nil, so is the
// result.
func (c *Call) Err(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.slow != nil {
		return c.slow
	}
	return err
}

// Stop releases the resources of the call.
func (c *Call) Stop() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer.Stop()
}

// maxRead limits the bytes of one read: chunked bodies fill the whole buffer before they return.
const maxRead = 16 << 10

type reader struct {
	body io.Reader
	call *Call
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		r.call.record(n)
	}
	return n, err
}
