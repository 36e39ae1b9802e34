package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/bodyread"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/relay"
)

// readBody reads the body of a caller's request, at most MaxBodyBytes within BodyTimeout,
// into memory that is reserved first. The error is a *failure.Refusal.
func (g *Gateway) readBody(c *call, w http.ResponseWriter, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(g.BodyTimeout))
	if r.ContentLength > g.MaxBodyBytes {
		return g.bodyTooLarge()
	}
	c.hold = g.Memory.Open(memory.Body)
	bodyread.InterruptOnEvict(c.hold, w)
	body, err := bodyread.Read(c.hold, http.MaxBytesReader(w, r.Body, g.MaxBodyBytes), r.ContentLength)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		c.body = body
		return nil
	}
	c.releaseBody()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return g.bodyTooLarge()
	}
	if refusal := bodyread.Refusal(err); refusal != nil {
		g.logMemory(err, c.id)
		if bodyread.IsEvicted(err) {
			w.Header().Set("Connection", "close")
		}
		return refusal
	}
	return failure.Refuse(failure.CodeBadRequest, "the body could not be read").WithCause(err)
}

func (g *Gateway) bodyTooLarge() *failure.Refusal {
	return failure.Refuse(failure.CodeBodyTooLarge, "the body is larger than %d bytes", g.MaxBodyBytes)
}

// releaseBody gives back the memory of the body. c may be nil.
func (c *call) releaseBody() {
	if c != nil && c.hold != nil {
		c.hold.Close()
	}
}

// chatCopies is how often a chat's body is held beside the body itself: as the text of its
// prompt, and as the body that is sent to an endpoint.
const chatCopies = 2

// openCopies returns a holder for the copies that are made of a chat's body.
func (g *Gateway) openCopies(c *call) *memory.Holder {
	class := memory.Body
	if c.fwd != nil {
		class = memory.Forward
	}
	h := g.Memory.Open(class)
	_ = h.Complete() // It holds nothing yet, so it can't have been evicted.
	return h
}

// reserveCopies reserves the copies that are made of a chat's body. The error is a
// *failure.Refusal.
func (g *Gateway) reserveCopies(h *memory.Holder, c *call) error {
	if err := h.Reserve(chatCopies * int64(len(c.body))); err != nil {
		g.logMemory(err, c.id)
		return bodyread.Refusal(err)
	}
	return nil
}

// memoryLogInterval is the shortest time between two lines about the memory of requests. This
// half's log isn't limited otherwise, and a crowd may be refused hundreds of times a second.
const memoryLogInterval = 100 * time.Millisecond

// memoryLog limits the lines about the memory of requests.
type memoryLog struct {
	mu       sync.Mutex
	lastAt   time.Time
	leftOut  int
	interval time.Duration
}

// next reports whether a line may be written now, and how many were left out before it.
func (l *memoryLog) next(now time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastAt.IsZero() && now.Sub(l.lastAt) < l.interval {
		l.leftOut++
		return 0, false
	}
	leftOut, l.leftOut, l.lastAt = l.leftOut, 0, now
	return leftOut, true
}

// logMemory writes the line of a refused reservation or an eviction, if err is one and the
// last such line is old enough.
func (g *Gateway) logMemory(err error, requestID string) {
	msg, keyvals, isMemory := bodyread.LogFields(err)
	if !isMemory {
		return
	}
	if leftOut, ok := g.memoryLog.next(time.Now()); ok {
		g.Logger.Info(msg, append([]any{"request", requestID, "left_out", leftOut}, keyvals...)...)
	}
}

// RefuseForward answers a forwarded request for whose body there was no memory. It has not
// run, and the response says so in the way of the other refusals.
func (g *Gateway) RefuseForward(w http.ResponseWriter, r *http.Request, err error) {
	id := requestID(r)
	g.logMemory(err, id)
	if attempt := r.Header.Get(relay.HeaderAttemptID); attempt != "" {
		w.Header().Set(relay.HeaderAttemptID, attempt)
	}
	g.writeRefusal(w, id, bodyread.Refusal(err), nil)
}
