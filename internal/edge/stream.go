package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/route"
)

// Limits for reading responses.
const (
	// maxEventBytes is the largest event of a stream that is accepted.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
)

// streamState is the progress of the response to the caller.
type streamState struct {
	// started is set once the response header has been sent.
	started bool
	// lastEventID is the id of the last event sent, 0 if none has been sent.
	lastEventID int64
	// version is the software version that began the stream, the only one at which it may go
	// on; empty as long as any may begin it.
	version string
	// recordedAt is when the version was last recorded for callers that take the stream up.
	recordedAt time.Time
}

// StreamError reports a stream that is not an unbroken series of events.
type StreamError struct {
	Reason string
	// Cause is set if the gateway could not read on.
	Cause error
}

// Error implements error.
func (e *StreamError) Error() string { return "invalid event stream: " + e.Reason }

// Unwrap returns the cause, if any.
func (e *StreamError) Unwrap() error { return e.Cause }

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
	a.setMayHaveRun()
	reader := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	hold := a.edge.Memory.Open(memory.Response)
	defer hold.Close()
	hold.Charge(2 * streamBufferBytes)
	var event []byte
	var provenAt time.Time
	for {
		var err error
		event, err = readEvent(reader, event[:0], hold)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			a.startResponse(resp)
			a.recordCompletion(resp)
			// The endpoint is free again, however long the caller takes.
			a.activeRequest.End(endpointload.Succeeded, time.Now())
			if err := a.finishStream(); err != nil {
				return a.handleRelayError(ctx, err)
			}
			a.log("done", "endpoint", a.endpoint.ID, "events", a.stream.lastEventID)
			return outcome{done: true}, endpointload.Succeeded
		}
		if err != nil {
			a.logMemory(err)
			return a.handleFailure(ctx, err)
		}
		now := time.Now()
		a.activeRequest.RecordOutput(now)
		a.paced.observeFirstOutput(resp, now)
		switch {
		case provenAt.IsZero():
			provenAt = now
		case now.Sub(provenAt) >= provenAfter:
			provenAt = now
			a.recordProven(now)
		}
		if err := a.relayEvent(ctx, resp, reader, event); err != nil {
			return a.handleRelayError(ctx, err)
		}
	}
}

// handleRelayError handles an event that was invalid or could not be written to
// the caller.
func (a *attempt) handleRelayError(ctx context.Context, err error) (outcome, endpointload.Result) {
	var streamErr *StreamError
	if errors.As(err, &streamErr) || errors.Is(err, ctx.Err()) {
		// At the deadline the caller may still be there, and must not take what it has for
		// the whole.
		return a.handleFailure(ctx, err)
	}
	a.log("caller_gone", "endpoint", a.endpoint.ID, "err", err)
	return outcome{done: true}, endpointload.Abandoned
}

// relayEvent sends one event to the caller, unless the caller has it already. It
// flushes only when no further events are buffered.
func (a *attempt) relayEvent(ctx context.Context, resp *http.Response, reader *bufio.Reader, event []byte) error {
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
	a.recordVersion(time.Now())
	if a.out == nil {
		a.out = newStreamWriter(a.writer, &a.edge.streamBacklog, a.edge.Memory)
	}
	return a.out.write(ctx, event, reader.Buffered() > 0)
}

// finishStream waits until the caller has been sent the whole stream.
func (a *attempt) finishStream() error {
	if a.out == nil {
		return nil
	}
	return a.out.finish()
}

// readEvent appends the next event to buf, including the empty line that ends it.
// At the end of the stream it returns an empty event and io.EOF; if the stream ends
// within an event, the error is io.ErrUnexpectedEOF. buf has to be empty. hold is charged
// for its growth.
func readEvent(r *bufio.Reader, buf []byte, hold *memory.Holder) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		var growErr error
		if buf, growErr = growEvent(buf, len(line), hold); growErr != nil {
			return buf, growErr
		}
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

// growEvent returns buf with room for n bytes more. relayStream charges an event up to the
// read buffer's size in advance. Up to memory.SmallBytes it is charged, since a stream must not
// break off for so little, above that reserved.
func growEvent(buf []byte, n int, hold *memory.Holder) ([]byte, error) {
	if cap(buf) > memory.SmallBytes && len(buf) == 0 {
		// One large event doesn't hold its memory until the end of the stream.
		hold.Release(int64(cap(buf)))
		buf = nil
	}
	if len(buf)+n <= cap(buf) {
		return buf, nil
	}
	size := max(2*cap(buf), len(buf)+n)
	switch {
	case size > memory.SmallBytes:
		if err := hold.Reserve(int64(size)); err != nil {
			return buf, errors.WithStack(&StreamError{Reason: "no memory for an event", Cause: err})
		}
	case size > streamBufferBytes:
		hold.Charge(int64(size))
	}
	grown := append(make([]byte, 0, size), buf...)
	if cap(buf) > streamBufferBytes {
		hold.Release(int64(cap(buf)))
	}
	return grown, nil
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
	a.pinVersion(resp)
	a.copyHeader(resp)
	a.writer.WriteHeader(resp.StatusCode)
}

func (a *attempt) copyHeader(resp *http.Response) {
	// The server's own Connection header, by which a gateway that stops ends its
	// connections, stays.
	header := resp.Header.Clone()
	httpmeta.StripHopByHop(header)
	a.edge.Codec.StripResponseHeader(header)
	h := a.writer.Header()
	// Only a gateway may set them, on a response that it makes itself.
	header.Del(headerOutcome)
	header.Del(headerReachedEndpoint)
	header.Del(headerSoftwareVersion)
	maps.Copy(h, header)
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from sniffing a content type.
		h["Content-Type"] = nil
	}
}
