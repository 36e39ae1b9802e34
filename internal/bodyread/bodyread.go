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

// A body of unknown length is read in parts. The first one has firstPart bytes, each further
// one twice as many as the one before, up to lastPart. Parts are not joined as they come: a
// buffer that grows would leave several times its size as garbage, and crowds of bodies that
// are evicted would do so again and again.
const (
	firstPart = 4 << 10
	lastPart  = 64 << 10
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

// Read reads r to its end as ReadParts does, and returns the bytes in one piece. If there is
// an error, it returns none.
func Read(h *memory.Holder, r io.Reader, length int64) ([]byte, error) {
	parts, err := ReadParts(h, r, length)
	if err != nil {
		return nil, err
	}
	if len(parts) == 1 {
		return parts[0], nil
	}
	size, reserved := 0, 0
	for _, p := range parts {
		size, reserved = size+len(p), reserved+cap(p)
	}
	if err := h.Reserve(int64(size)); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, size)
	for _, p := range parts {
		joined = append(joined, p...)
	}
	h.Release(int64(reserved))
	return joined, nil
}

// ReadParts reads r to its end. length is the number of bytes that r has, below 0 if that is
// not known: a known length is reserved at once and returned as one part, an unknown one part
// by part. There is at least one part. The holder is complete afterwards. If the error is a
// *memory.ExhaustedError, the bytes that have been read are returned with it; they stay
// reserved. A *memory.EvictedError takes precedence over the error of r.
func ReadParts(h *memory.Holder, r io.Reader, length int64) ([][]byte, error) {
	parts, err := readParts(h, r, length)
	if completeErr := h.Complete(); completeErr != nil {
		return nil, completeErr
	}
	return parts, err
}

func readParts(h *memory.Holder, r io.Reader, length int64) ([][]byte, error) {
	if length >= 0 {
		part, ended, err := readPart(h, r, length)
		if err == nil && !ended {
			err = expectEnd(r)
		}
		return [][]byte{part}, err
	}
	var parts [][]byte
	for size := int64(firstPart); ; size = min(2*size, lastPart) {
		part, ended, err := readPart(h, r, size)
		parts = append(parts, part)
		if err != nil || ended {
			return parts, err
		}
	}
}

// readPart reserves size bytes and reads until they are used up or r has ended.
func readPart(h *memory.Holder, r io.Reader, size int64) (part []byte, ended bool, err error) {
	if err := h.Reserve(size); err != nil {
		return nil, false, err
	}
	part = make([]byte, 0, size)
	for len(part) < cap(part) {
		n, err := r.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if errors.Is(err, io.EOF) {
			return part, true, nil
		}
		if err != nil {
			return part, false, err
		}
	}
	return part, false, nil
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
