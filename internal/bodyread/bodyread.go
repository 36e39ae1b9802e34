// Package bodyread reads bodies into memory that is reserved before it is used.
package bodyread

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"

	"github.com/hickorystage/hickorystage/internal/memory"
)

const (
	// firstStep is the first buffer of a body of unknown length.
	firstStep = 4 << 10
	// doublingLimit is the size up to which such a buffer is doubled. Above, it grows by a
	// quarter, so that at most that part of it stays unused.
	doublingLimit = 256 << 10
)

// retryDelay is the Retry-After of requests for which there is no memory. Within about that
// time some of the requests that hold it have ended.
const retryDelay = time.Second

// interrupted is a read deadline in the past.
var interrupted = time.Unix(1, 0)

// InterruptOnEvict ends the reading of the request that w answers when h is evicted.
func InterruptOnEvict(h *memory.Holder, w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	h.OnEvict(func() { _ = rc.SetReadDeadline(interrupted) })
}

// IsEvicted reports whether err is that of a holder that was evicted. The connection can't
// carry another request then: its read deadline has passed, or will shortly.
func IsEvicted(err error) bool {
	var evicted *memory.EvictedError
	return errors.As(err, &evicted)
}

// Refusal returns the refusal of a request for whose body there was no memory, or whose body
// was evicted; nil for other errors.
func Refusal(err error) *failure.Refusal {
	var exhausted *memory.ExhaustedError
	switch {
	case errors.As(err, &exhausted):
		return failure.Refuse(failure.CodeOverloaded, "no memory for the request body").WithRetryAfter(retryDelay).WithCause(err)
	case IsEvicted(err):
		return failure.Refuse(failure.CodeOverloaded, "the memory of the incomplete request body was needed").WithRetryAfter(retryDelay).WithCause(err)
	default:
		return nil
	}
}

// LogFields returns the message and the fields of the log line of a reservation that was
// refused or a holder that was evicted; ok is false for other errors.
func LogFields(err error) (msg string, keyvals []any, ok bool) {
	var exhausted *memory.ExhaustedError
	var evicted *memory.EvictedError
	switch {
	case errors.As(err, &exhausted):
		return "memory_refused", []any{"bytes", exhausted.Bytes, "class", exhausted.Class, "in_use", exhausted.InUse, "limit", exhausted.Limit}, true
	case errors.As(err, &evicted):
		return "memory_evicted", []any{"bytes", evicted.Bytes, "class", evicted.Class, "in_use", evicted.InUse, "limit", evicted.Limit}, true
	default:
		return "", nil, false
	}
}

// Read reads r to its end. length is the number of bytes that r has, below 0 if that is not
// known: a known length is reserved at once, an unknown one step by step. The holder is
// complete afterwards. If the error is a *memory.ExhaustedError, the bytes that have been read
// are returned with it; they stay reserved. A *memory.EvictedError takes precedence over that
// of r.
func Read(h *memory.Holder, r io.Reader, length int64) ([]byte, error) {
	buf, err := read(h, r, length)
	if completeErr := h.Complete(); completeErr != nil {
		return nil, completeErr
	}
	return buf, err
}

func read(h *memory.Holder, r io.Reader, length int64) ([]byte, error) {
	size := length
	if size < 0 {
		size = firstStep
	}
	if err := h.Reserve(size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) && length >= 0 {
			return buf, expectEnd(r)
		}
		if len(buf) == cap(buf) {
			grown, err := grow(h, buf)
			if err != nil {
				return buf, err
			}
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// errTooLong reports a body that is longer than was said.
var errTooLong = errors.New("the body is longer than its length")

// expectEnd reads the end of r, so that the connection that r reads from can be used again.
func expectEnd(r io.Reader) error {
	var next [1]byte
	n, err := r.Read(next[:])
	switch {
	case n > 0:
		return errTooLong
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// grow returns buf with room for more. While the bytes are copied, both buffers are reserved.
func grow(h *memory.Holder, buf []byte) ([]byte, error) {
	size := int64(cap(buf))
	target := max(2*size, firstStep)
	if size >= doublingLimit {
		target = size + size/4
	}
	if err := h.Reserve(target); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buf), target)
	copy(grown, buf)
	h.Release(size)
	return grown, nil
}
