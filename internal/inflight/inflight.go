// Package inflight counts the requests in flight at a gateway, so that shutdown
// can wait for them.
package inflight

import "sync"

// Counter counts the requests in flight and signals when there are none. It is
// safe for concurrent use.
type Counter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// New returns a counter with a count of zero.
func New() *Counter {
	idle := make(chan struct{})
	close(idle)
	return &Counter{idle: idle}
}

// Begin counts a request that starts. The caller must call End when it ends.
func (c *Counter) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		c.idle = make(chan struct{})
	}
	c.count++
}

// End counts a request that has ended.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 {
		close(c.idle)
	}
}

// Idle returns the number of requests in flight and a channel that is closed
// when there are none. A later Begin opens a new channel, so callers call Idle
// again.
func (c *Counter) Idle() (<-chan struct{}, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.count
}
