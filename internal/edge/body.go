package edge

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/bodyread"
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/memory"
)

const (
	// bodyTimeout limits the time that a caller may take to send the request body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes is the largest request body where the configuration sets no
	// limit.
	defaultMaxBodyBytes = 1 << 20
	// maxBufferedBytes is the size up to which a response that is not a stream is held
	// back until it is complete. Until then a failed request can be retried.
	maxBufferedBytes = 1 << 20
)

// requestBody is the body of a request with the memory that it holds.
type requestBody struct {
	parts [][]byte
	// hold is nil for a request without a body.
	hold *memory.Holder
	// released is set once the body has been given back. The request must not be sent
	// again then.
	released bool
}

// releaseBody gives back the request body. It may be called repeatedly.
func (s *session) releaseBody() {
	if s.body.hold == nil {
		return
	}
	s.body.hold.Close()
	s.body = requestBody{released: true}
}

// readBody reads the whole request body into memory that is reserved first. The error is a
// *failure.Refusal.
func (s *session) readBody(r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := s.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	rc := http.NewResponseController(s.writer)
	if err := setReadDeadline(rc, time.Now().Add(bodyTimeout)); err != nil {
		return err
	}
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	class := memory.Body
	if s.forwarded != nil {
		class = memory.Forward
	}
	s.body.hold = s.edge.Memory.Open(class)
	bodyread.InterruptOnEvict(s.body.hold, s.writer)
	parts, err := bodyread.ReadParts(s.body.hold, http.MaxBytesReader(s.writer, r.Body, limit), r.ContentLength)
	if err != nil {
		s.releaseBody()
		return s.bodyRefusal(err, limit)
	}
	s.body.parts = parts
	return setReadDeadline(rc, time.Time{})
}

// setReadDeadline sets the read deadline of a caller's connection. The error is a
// *failure.Refusal.
func setReadDeadline(rc *http.ResponseController, t time.Time) error {
	if err := rc.SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return failure.Refuse(failure.CodeBadRequest, "read the request body").WithCause(err)
	}
	return nil
}

func bodyTooLarge(limit int64) *failure.Refusal {
	return failure.Refuse(failure.CodeBodyTooLarge, "the request body exceeds %d bytes", limit)
}

// bodyRefusal returns the refusal of a request whose body was not read.
func (s *session) bodyRefusal(err error, limit int64) *failure.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(limit)
	}
	if refusal := bodyread.Refusal(err); refusal != nil {
		s.logMemory(err)
		if bodyread.IsEvicted(err) {
			s.writer.Header().Set("Connection", "close")
		}
		return refusal
	}
	return failure.Refuse(failure.CodeBadRequest, "read the request body").WithCause(err)
}

// logMemory writes the line of a refused reservation or an eviction, if err is one.
func (s *session) logMemory(err error) {
	if msg, keyvals, ok := bodyread.LogFields(err); ok {
		s.log(msg, keyvals...)
	}
}

// relayBuffered relays a response once it is complete, or, if it is larger than
// maxBufferedBytes or than the memory that is left, as it arrives.
func (a *attempt) relayBuffered(ctx context.Context, resp *http.Response) (outcome, endpointload.Result) {
	a.setMayHaveRun()
	hold := a.edge.Memory.Open(memory.Response)
	defer hold.Close()
	length := min(resp.ContentLength, maxBufferedBytes)
	if resp.Body == http.NoBody {
		length = 0 // A response to HEAD states a length and has no body.
	}
	parts, err := bodyread.ReadParts(hold, io.LimitReader(resp.Body, maxBufferedBytes), length)
	var exhausted *memory.ExhaustedError
	isCut := errors.As(err, &exhausted)
	if err != nil && !isCut {
		return a.handleFailure(ctx, err)
	}
	a.logMemory(err)
	now := time.Now()
	a.activeRequest.RecordFirstOutput(now)
	a.paced.observeFirstOutput(resp, now)
	// The response is whole, or so much of it goes to the caller now that no other can follow.
	a.releaseBody()
	a.startResponse(resp)
	sent := int64(0)
	for _, part := range parts {
		sent += int64(len(part))
		if _, err := a.writer.Write(part); err != nil {
			a.log("caller_gone", "endpoint", a.endpoint.ID, "err", err)
			return outcome{done: true}, endpointload.Abandoned
		}
	}
	if isCut || sent == maxBufferedBytes {
		n, err := io.Copy(a.writer, resp.Body)
		sent += n
		if err != nil {
			return outcome{refusal: failure.New(failure.CodeIncompleteResponse, failure.Unknown, "the response was truncated").WithCause(err)}, endpointload.Failed
		}
	}
	a.log("done", "endpoint", a.endpoint.ID, "status", resp.StatusCode, "bytes", sent)
	a.recordCompletion(resp)
	if resp.StatusCode >= http.StatusInternalServerError {
		return outcome{done: true}, endpointload.Failed
	}
	return outcome{done: true}, endpointload.Succeeded
}
