package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/route"
)

// Limits for reading responses.
const (
	// maxEventBytes is the largest event of a stream that is accepted.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
	// maxBufferedBytes is the size up to which a response that is not a stream is
	// held back until it is complete. Until then a failed request can be retried.
	maxBufferedBytes = 1 << 20
)

// streamState is the progress of the response to the caller.
type streamState struct {
	// started is set once the response header has been sent.
	started bool
	// lastEventID is the id of the last event sent, 0 if none has been sent.
	lastEventID int64
}

// StreamError reports a stream that is not an unbroken series of events.
type StreamError struct{ Reason string }

// Error implements error.
func (e *StreamError) Error() string { return "invalid event stream: " + e.Reason }

// isStream reports whether the response is relayed event by event.
func (a *attempt) isStream(resp *http.Response) bool {
	return a.route.Kind == route.Streaming && resp.StatusCode < http.StatusMultipleChoices
}

// resumeEventID returns the id of the last event that the caller has, from which
// the next attempt resumes the stream; it is empty if no event has been sent.
func (s *session) resumeEventID() string {
	if s.stream.lastEventID == 0 {
		return ""
	}
	return strconv.FormatInt(s.stream.lastEventID, 10)
}

// relayStream relays the events of a stream as they arrive. An incomplete event is
// never sent, so that the stream can be resumed after the last complete one.
func (a *attempt) relayStream(ctx context.Context, resp *http.Response) (outcome, endpointload.Result) {
	a.mayHaveRun = true
	reader := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	var event []byte
	var provenAt time.Time
	for {
		var err error
		event, err = readEvent(reader, event[:0])
		if errors.Is(err, io.EOF) && len(event) == 0 {
			a.startResponse(resp)
			a.recordCompletion(resp)
			a.log("done", "endpoint", a.endpoint.ID, "events", a.stream.lastEventID)
			return outcome{done: true}, endpointload.Succeeded
		}
		if err != nil {
			return a.handleFailure(ctx, err)
		}
		now := time.Now()
		a.activeRequest.RecordFirstOutput(now)
		switch {
		case provenAt.IsZero():
			provenAt = now
		case now.Sub(provenAt) >= provenAfter:
			provenAt = now
			a.edge.Quarantine.RecordCompletion(a.sharedSegments, now)
		}
		if err := a.relayEvent(resp, reader, event); err != nil {
			return a.handleRelayError(ctx, err)
		}
	}
}

// handleRelayError handles an event that was invalid or could not be written to
// the caller.
func (a *attempt) handleRelayError(ctx context.Context, err error) (outcome, endpointload.Result) {
	var streamErr *StreamError
	if errors.As(err, &streamErr) {
		return a.handleFailure(ctx, err)
	}
	a.log("caller_gone", "endpoint", a.endpoint.ID, "err", err)
	return outcome{done: true}, endpointload.Abandoned
}

// relayEvent sends one event to the caller, unless the caller has it already. It
// flushes only when no further events are buffered.
func (a *attempt) relayEvent(resp *http.Response, reader *bufio.Reader, event []byte) error {
	if line, ok := invalidLine(event); ok {
		return errors.WithStack(&StreamError{Reason: fmt.Sprintf("not a line of an event: %.40q", line)})
	}
	if id, ok := eventID(event); ok {
		if a.stream.lastEventID > 0 && id <= a.stream.lastEventID {
			return nil
		}
		if a.stream.lastEventID > 0 && id != a.stream.lastEventID+1 {
			return errors.WithStack(&StreamError{Reason: fmt.Sprintf("event %d after %d", id, a.stream.lastEventID)})
		}
		a.stream.lastEventID = id
	}
	a.startResponse(resp)
	if _, err := a.writer.Write(event); err != nil {
		return err
	}
	if reader.Buffered() > 0 {
		return nil
	}
	return http.NewResponseController(a.writer).Flush()
}

// readEvent appends the next event to buf, including the empty line that ends it.
// At the end of the stream it returns an empty event and io.EOF; if the stream ends
// within an event, the error is io.ErrUnexpectedEOF. buf has to be empty.
func readEvent(r *bufio.Reader, buf []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		buf = append(buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(buf) > 0:
			return buf, io.ErrUnexpectedEOF
		case err != nil:
			return buf, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && startsLine(buf, line):
			return buf, nil
		}
		if len(buf) > maxEventBytes {
			return buf, errors.WithStack(&StreamError{Reason: "event exceeds the size limit"})
		}
	}
}

// startsLine reports whether line, the last bytes of buf, is the start of a line. It
// is not if the line is longer than the read buffer and arrives in pieces.
func startsLine(buf, line []byte) bool {
	before := len(buf) - len(line)
	return before == 0 || buf[before-1] == '\n'
}

// invalidLine returns the first line of an event that is neither a comment nor a field,
// such as a line of an error text or of a response's head. Names of fields are in lower
// case.
func invalidLine(event []byte) ([]byte, bool) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		if len(line) == 0 || len(name) == 0 && hasColon {
			continue
		}
		if bytes.ContainsFunc(name, func(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' }) {
			return line, true
		}
	}
	return nil, false
}

// eventID returns the numeric id of an event, and false if it has none.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(strings.TrimSpace(string(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// startResponse sends the response header to the caller. Only the first call of a
// session has an effect.
func (a *attempt) startResponse(resp *http.Response) {
	if a.stream.started {
		return
	}
	a.stream.started = true
	a.copyHeader(resp)
	a.writer.WriteHeader(resp.StatusCode)
}

func (a *attempt) copyHeader(resp *http.Response) {
	h := a.writer.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	httpmeta.StripHopByHop(h)
	a.edge.Codec.StripResponseHeader(h)
	// Only a gateway may set it, on a response that it makes itself.
	h.Del(headerOutcome)
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from sniffing a content type.
		h["Content-Type"] = nil
	}
}

// relayBuffered relays a response once it is complete, or, if it is larger than
// maxBufferedBytes, as it arrives.
func (a *attempt) relayBuffered(ctx context.Context, resp *http.Response) (outcome, endpointload.Result) {
	a.mayHaveRun = true
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return a.handleFailure(ctx, err)
	}
	a.activeRequest.RecordFirstOutput(time.Now())
	a.startResponse(resp)
	if _, err := a.writer.Write(body); err != nil {
		a.log("caller_gone", "endpoint", a.endpoint.ID, "err", err)
		return outcome{done: true}, endpointload.Abandoned
	}
	if len(body) == maxBufferedBytes {
		if _, err := io.Copy(a.writer, resp.Body); err != nil {
			return outcome{refusal: failure.New(failure.CodeIncompleteResponse, failure.Unknown, "the response was truncated").WithCause(err)}, endpointload.Failed
		}
	}
	a.log("done", "endpoint", a.endpoint.ID, "status", resp.StatusCode, "bytes", len(body))
	if resp.StatusCode >= http.StatusInternalServerError {
		return outcome{done: true}, endpointload.Failed
	}
	a.recordCompletion(resp)
	return outcome{done: true}, endpointload.Succeeded
}
