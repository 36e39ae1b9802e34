package kv

import (
	"sync"

	"golang.org/x/time/rate"
)

// CallKind names a kind of store call.
type CallKind string

// The kinds of calls. A watch is one call, however long it waits. CallLease covers
// granting, renewing and revoking a lease.
const (
	CallGet    CallKind = "get"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallLease  CallKind = "lease"
)

func (k CallKind) isWrite() bool { return k == CallPut || k == CallDelete || k == CallLease }

// Limits are the rates, in calls per second, above which calls are refused. Bursts
// of up to one second's calls are allowed. 0 means no limit.
type Limits struct {
	Reads  int
	Writes int
}

// callCounter counts calls and enforces the limits.
type callCounter struct {
	mu      sync.Mutex
	counts  map[CallKind]int64
	refused int64
	reads   *rate.Limiter
	writes  *rate.Limiter
}

func newCallCounter(l Limits) *callCounter {
	return &callCounter{counts: map[CallKind]int64{}, reads: newLimiter(l.Reads), writes: newLimiter(l.Writes)}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// admit counts a call and reports whether it is within the limits.
func (c *callCounter) admit(k CallKind) bool {
	limiter := c.reads
	if k.isWrite() {
		limiter = c.writes
	}
	allowed := limiter.Allow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[k]++
	if !allowed {
		c.refused++
	}
	return allowed
}

// CallReport is the body of GET /calls on the admin port.
type CallReport struct {
	// Calls counts all calls, the refused ones included.
	Calls   map[CallKind]int64 `json:"calls"`
	Refused int64              `json:"refused"`
}

func (c *callCounter) report() CallReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := CallReport{Calls: map[CallKind]int64{}, Refused: c.refused}
	for k, n := range c.counts {
		out.Calls[k] = n
	}
	return out
}
