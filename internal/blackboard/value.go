package blackboard

import "sync"

// Value holds a single value under its own lock and notifies readers of changes.
// It is safe for concurrent use.
type Value[T any] struct {
	mu      sync.RWMutex
	v       T
	changed chan struct{}
}

// NewValue returns a Value that holds v.
func NewValue[T any](v T) *Value[T] {
	return &Value[T]{v: v, changed: make(chan struct{})}
}

// Get returns the current value.
func (c *Value[T]) Get() T {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.v
}

// Watch returns the current value and a channel that is closed at the next change.
func (c *Value[T]) Watch() (T, <-chan struct{}) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.v, c.changed
}

// Update replaces the value with fn's first result if the second one is true, and
// reports whether it did. fn runs under the lock and must not use the Value.
func (c *Value[T]) Update(fn func(old T) (T, bool)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := fn(c.v)
	if !ok {
		return false
	}
	c.v = v
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Set replaces the value.
func (c *Value[T]) Set(v T) {
	c.Update(func(T) (T, bool) { return v, true })
}
