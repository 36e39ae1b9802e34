package memory

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// notIncomplete is the index of a holder that is not among the incomplete ones.
const notIncomplete = -1

// ErrClosed is returned for a reservation of a holder that has been closed.
var ErrClosed = errors.New("the holder of the memory is closed")

// ExhaustedError reports a reservation that did not fit. Bytes counts those that the
// holder has already.
type ExhaustedError struct {
	Class               Class
	Bytes, InUse, Limit int64
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no memory for a %s of %d bytes: %d of %d in use", e.Class, e.Bytes, e.InUse, e.Limit)
}

// EvictedError reports a holder whose bytes were given to others. InUse counts them.
type EvictedError struct {
	Class               Class
	Bytes, InUse, Limit int64
}

// Error implements error.
func (e *EvictedError) Error() string {
	return fmt.Sprintf("the memory of an incomplete %s of %d bytes was needed: %d of %d in use", e.Class, e.Bytes, e.InUse, e.Limit)
}

// Holder holds the bytes of one request, response or connection. Its methods may be called
// concurrently.
type Holder struct {
	account *Account
	class   Class

	// The lock of the account guards the other fields.
	held int64
	// index is the place among the incomplete holders, notIncomplete if there is none.
	index   int
	closed  bool
	evicted *EvictedError
	onEvict func()
}

// Reserve adds n bytes. If they don't fit, incomplete holders that are larger than this one
// would be are evicted, the largest first. The error is an *ExhaustedError if that was not
// enough, an *EvictedError if this holder was evicted, or ErrClosed; nothing is added then.
func (h *Holder) Reserve(n int64) error {
	a := h.account
	a.mu.Lock()
	if h.closed || n <= 0 {
		defer a.mu.Unlock()
		return h.closedError()
	}
	callbacks, err := a.reserve(h, n)
	a.mu.Unlock()
	for _, call := range callbacks {
		call()
	}
	return err
}

// Charge adds n bytes that can't be refused, such as those of a response that is there
// already. The account may exceed its limit by them, so that later reservations fail. A
// closed holder gets none.
func (h *Holder) Charge(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed && n > 0 {
		h.account.add(h, n)
	}
}

// closedError returns why nothing can be reserved, nil if the holder is open.
func (h *Holder) closedError() error {
	switch {
	case h.evicted != nil:
		return h.evicted
	case h.closed:
		return ErrClosed
	default:
		return nil
	}
}

// Release gives back n bytes, or all if fewer are held.
func (h *Holder) Release(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if n = min(n, h.held); n > 0 {
		h.account.add(h, -n)
	}
}

// Complete notes that all has been received: the holder is not evicted any more. The error
// is an *EvictedError if that has happened before, or ErrClosed.
func (h *Holder) Complete() error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.complete(h)
	return h.closedError()
}

// OnEvict sets the function that is called, once, when the holder is evicted. It is called
// at once if that has happened before. Another request's goroutine calls it, so it must not
// block, and it may still be called while Close runs and shortly after.
func (h *Holder) OnEvict(fn func()) {
	h.account.mu.Lock()
	isEvicted := h.evicted != nil
	h.onEvict = fn
	h.account.mu.Unlock()
	if isEvicted {
		fn()
	}
}

// Close gives back all bytes. It may be called repeatedly, also after an eviction.
func (h *Holder) Close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.onEvict = nil
	if !h.closed {
		h.account.close(h)
	}
}

// holderHeap is a container/heap of incomplete holders, the largest first.
type holderHeap []*Holder

func (q holderHeap) Len() int           { return len(q) }
func (q holderHeap) Less(i, j int) bool { return q[i].held > q[j].held }

func (q holderHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *holderHeap) Push(x any) {
	h := x.(*Holder)
	h.index = len(*q)
	*q = append(*q, h)
}

// Pop implements heap.Interface.
func (q *holderHeap) Pop() any {
	last := len(*q) - 1
	h := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	h.index = notIncomplete
	return h
}
