// Package inflight counts the requests that a gateway has under way, so that a
// stop can wait for them.
package inflight

import "sync"

// Counter counts the requests under way and tells when there are none. It is safe
// for concurrent use.
type Counter struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

// New returns a counter of no requests.
func New() *Counter {
	idle := make(chan struct{})
	close(idle)
	return &Counter{idle: idle}
}

// Begin counts a request that begins; Leave has to follow.
func (c *Counter) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == 0 {
		c.idle = make(chan struct{})
	}
	c.n++
}

// End counts a request that ends.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 {
		close(c.idle)
	}
}

// Idle returns a channel that is closed while no request is under way, and the
// number of requests under way.
func (c *Counter) Idle() (<-chan struct{}, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.n
}
