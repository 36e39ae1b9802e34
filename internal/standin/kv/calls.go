package kv

import (
	"sync"

	"golang.org/x/time/rate"
)

// CallKind names a kind of call.
type CallKind string

// The kinds of calls. A watch is one call, however long it waits.
const (
	CallGet    CallKind = "get"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallLease  CallKind = "lease"
)

func (k CallKind) writes() bool { return k == CallPut || k == CallDelete || k == CallLease }

// Limits are the rates above which calls are refused, in calls a second. Zero
// means no limit.
type Limits struct {
	Reads  int
	Writes int
}

// calls counts calls and refuses those above the limits.
type calls struct {
	mu      sync.Mutex
	counts  map[CallKind]int64
	refused int64
	reads   *rate.Limiter
	writes  *rate.Limiter
}

func newCalls(l Limits) *calls {
	return &calls{counts: map[CallKind]int64{}, reads: limiter(l.Reads), writes: limiter(l.Writes)}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// admit counts a call and says whether it is within the limits.
func (c *calls) admit(k CallKind) bool {
	l := c.reads
	if k.writes() {
		l = c.writes
	}
	ok := l.Allow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[k]++
	if !ok {
		c.refused++
	}
	return ok
}

// CallReport is what the admin port tells of the calls.
type CallReport struct {
	Calls   map[CallKind]int64 `json:"calls"`
	Refused int64              `json:"refused"`
}

func (c *calls) report() CallReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := CallReport{Calls: map[CallKind]int64{}, Refused: c.refused}
	for k, n := range c.counts {
		out.Calls[k] = n
	}
	return out
}
