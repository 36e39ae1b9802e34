package gateway

import (
	"net/http"
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

// logMemory writes the line of a refused reservation or an eviction, if err is one.
func (g *Gateway) logMemory(err error, requestID string) {
	if msg, keyvals, ok := bodyread.LogFields(err); ok {
		g.Logger.Info(msg, append([]any{"request", requestID}, keyvals...)...)
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
