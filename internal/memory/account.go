// Package memory is the account of the bytes that the requests of a process hold. It is
// pure: no I/O, no clock.
//
// It answers the load in which callers send many large bodies at once, whole or piece by
// piece, and most of them stop short of the end: what can't be held is refused before it is
// read, what is incomplete gives way to smaller requests, and small requests keep a share
// that large ones can't take.
package memory

import (
	"container/heap"
	"sync"
)

const (
	// SmallBytes is the number of bytes up to which a holder counts as small.
	SmallBytes = 64 << 10
	// smallShare is the part of the account, one in smallShare, that only small holders
	// may use.
	smallShare = 4
)

// Class says what the bytes of a holder are part of.
type Class int

// The classes. Forward is the body of a request that another gateway has forwarded.
const (
	Head Class = iota
	Body
	Response
	Forward
	classCount
)

// String returns the class's name in log lines and counters.
func (c Class) String() string { return [classCount]string{"head", "body", "response", "forward"}[c] }

// Account holds the bytes that are reserved, and their limit. It is safe for concurrent
// use.
type Account struct {
	mu    sync.Mutex
	limit int64
	// inUse is the sum over all holders, large that over the large ones.
	inUse, large int64
	byClass      [classCount]int64
	// incomplete are the holders that may be evicted, the largest first.
	incomplete holderHeap
}

// NewAccount returns an empty account. A limit of 0 or less is none.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// SetLimit changes the limit. If more is held, nothing is evicted before the next
// reservation.
func (a *Account) SetLimit(limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// Usage is the state of an account.
type Usage struct {
	InUse, Limit                  int64
	Head, Body, Response, Forward int64
}

// Usage returns the current state.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{
		InUse: a.inUse, Limit: a.limit,
		Head: a.byClass[Head], Body: a.byClass[Body], Response: a.byClass[Response], Forward: a.byClass[Forward],
	}
}

// Open returns a new holder without bytes. It is incomplete, so that it can be evicted,
// until Complete is called. A holder of class Response is complete from the start: no
// caller sends its bytes, and a response that is ready is delivered.
func (a *Account) Open(class Class) *Holder {
	h := &Holder{account: a, class: class, index: notIncomplete}
	if class == Response {
		return h
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	heap.Push(&a.incomplete, h)
	return h
}

// reserve adds n bytes to h and returns the functions to call for those that it has evicted
// for them. The error is an *ExhaustedError.
func (a *Account) reserve(h *Holder, n int64) (callbacks []func(), err error) {
	want := h.held + n
	for !a.fits(h, n) {
		if len(a.incomplete) == 0 || a.incomplete[0].held <= want {
			refusals[h.class].Inc()
			return callbacks, &ExhaustedError{Class: h.class, Bytes: want, InUse: a.inUse, Limit: a.limit}
		}
		if call := a.evictLargest(); call != nil {
			callbacks = append(callbacks, call)
		}
	}
	a.add(h, n)
	return callbacks, nil
}

// fits reports whether h may hold n bytes more.
func (a *Account) fits(h *Holder, n int64) bool {
	if a.limit <= 0 {
		return true
	}
	if a.inUse+n > a.limit {
		return false
	}
	want, otherLarge := h.held+n, a.large-largeBytes(h.held)
	// A single large holder may use the share of small ones too: no request within the
	// configured limits is refused while it is the only large one.
	return want <= SmallBytes || otherLarge == 0 || otherLarge+want <= a.limit-a.limit/smallShare
}

// evictLargest evicts the largest incomplete holder, and returns its function to call.
func (a *Account) evictLargest() func() {
	victim := a.incomplete[0]
	victim.evicted = &EvictedError{Class: victim.class, Bytes: victim.held, InUse: a.inUse, Limit: a.limit}
	evictions[victim.class].Inc()
	a.close(victim)
	return victim.onEvict
}

// close gives back all bytes of h and ends it.
func (a *Account) close(h *Holder) {
	a.complete(h)
	a.add(h, -h.held)
	h.closed = true
}

// complete takes h from the holders that may be evicted.
func (a *Account) complete(h *Holder) {
	if h.index != notIncomplete {
		heap.Remove(&a.incomplete, h.index)
	}
}

// add changes the bytes of h.
func (a *Account) add(h *Holder, n int64) {
	a.large -= largeBytes(h.held)
	h.held += n
	a.large += largeBytes(h.held)
	a.inUse += n
	a.byClass[h.class] += n
	held[h.class].Add(n)
	if h.index != notIncomplete {
		heap.Fix(&a.incomplete, h.index)
	}
}

// largeBytes returns what a holder of that size takes from the share of large ones.
func largeBytes(held int64) int64 {
	if held <= SmallBytes {
		return 0
	}
	return held
}
