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

// Sizes of the reading of answers, in bytes.
const (
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// streamBuffer is the size of the buffer that events are read through.
	streamBuffer = 4 << 10
	// wholeLimit is the size up to which an answer is held back until it is
	// whole.
	wholeLimit = 1 << 20
)

// streamState is what the caller has been sent of an answer.
type streamState struct {
	// started says that the header has been sent.
	started bool
	// last is the id of the last event sent, 0 if none was.
	last int64
}

// EventError says that a stream is not a series of events in order.
type EventError struct{ Reason string }

// Error implements error.
func (e *EventError) Error() string { return "stream out of order: " + e.Reason }

// isStream says whether an answer is passed on as it comes.
func (a *attempt) isStream(resp *http.Response) bool {
	return a.route.Kind == route.Streaming && resp.StatusCode < http.StatusMultipleChoices
}

// resumeFrom returns the id of the last event that the caller has, for an
// attempt that goes on with its stream; empty for a first attempt.
func (s *session) resumeFrom() string {
	if s.stream.last == 0 {
		return ""
	}
	return strconv.FormatInt(s.stream.last, 10)
}

// passStream passes on the events of a stream as they come, each whole.
func (a *attempt) passStream(ctx context.Context, resp *http.Response) (outcome, endpointload.Result) {
	a.mayHaveRun = true
	reader := bufio.NewReaderSize(resp.Body, streamBuffer)
	var event []byte
	for {
		var err error
		event, err = readEvent(reader, event[:0])
		if errors.Is(err, io.EOF) && len(event) == 0 {
			a.startAnswer(resp)
			a.log("done", "endpoint", a.endpoint.ID, "events", a.stream.last)
			return outcome{done: true}, endpointload.Succeeded
		}
		if err != nil {
			return a.failed(ctx, err)
		}
		a.entry.RecordFirstOutput(time.Now())
		if err := a.passEvent(resp, reader, event); err != nil {
			return a.eventFailed(ctx, err)
		}
	}
}

// eventFailed handles an event that could not be passed on.
func (a *attempt) eventFailed(ctx context.Context, err error) (outcome, endpointload.Result) {
	var disorder *EventError
	if errors.As(err, &disorder) {
		return a.failed(ctx, err)
	}
	a.log("caller_gone", "endpoint", a.endpoint.ID, "err", err)
	return outcome{done: true}, endpointload.Abandoned
}

// passEvent sends one event to the caller, unless it has it already.
func (a *attempt) passEvent(resp *http.Response, reader *bufio.Reader, event []byte) error {
	if id, ok := eventID(event); ok {
		if a.stream.last > 0 && id <= a.stream.last {
			return nil
		}
		if a.stream.last > 0 && id != a.stream.last+1 {
			return errors.WithStack(&EventError{Reason: fmt.Sprintf("event %d after %d", id, a.stream.last)})
		}
		a.stream.last = id
	}
	a.startAnswer(resp)
	if _, err := a.w.Write(event); err != nil {
		return err
	}
	if reader.Buffered() > 0 {
		return nil
	}
	return http.NewResponseController(a.w).Flush()
}

// readEvent appends the next event to buf, with the empty line that ends it.
// At the end of the stream the error is io.EOF, with an empty event; an event
// that breaks off is an io.ErrUnexpectedEOF.
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
		case len(bytes.TrimRight(line, "\r\n")) == 0 && endsLine(buf, line):
			return buf, nil
		}
		if len(buf) > maxEvent {
			return buf, errors.WithStack(&EventError{Reason: "an event is too large"})
		}
	}
}

// endsLine says whether line, the end of buf, begins a line of its own.
func endsLine(buf, line []byte) bool {
	before := len(buf) - len(line)
	return before == 0 || buf[before-1] == '\n'
}

// eventID returns the id of an event.
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

// startAnswer sends the header of the first answer that comes.
func (a *attempt) startAnswer(resp *http.Response) {
	if a.stream.started {
		return
	}
	a.stream.started = true
	a.copyHeader(resp)
	a.w.WriteHeader(resp.StatusCode)
}

func (a *attempt) copyHeader(resp *http.Response) {
	h := a.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	httpmeta.StripHopByHop(h)
	a.edge.Codec.StripResponseHeader(h)
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
}

// passWhole passes on an answer once it is whole; a large one as it comes.
func (a *attempt) passWhole(ctx context.Context, resp *http.Response) (outcome, endpointload.Result) {
	a.mayHaveRun = true
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeLimit))
	if err != nil {
		return a.failed(ctx, err)
	}
	a.entry.RecordFirstOutput(time.Now())
	a.startAnswer(resp)
	if _, err := a.w.Write(body); err != nil {
		a.log("caller_gone", "endpoint", a.endpoint.ID, "err", err)
		return outcome{done: true}, endpointload.Abandoned
	}
	if len(body) == wholeLimit {
		if _, err := io.Copy(a.w, resp.Body); err != nil {
			return outcome{refusal: failure.New(failure.CodeIncomplete, failure.Unknown, "the answer broke off").WithCause(err)}, endpointload.Failed
		}
	}
	a.log("done", "endpoint", a.endpoint.ID, "status", resp.StatusCode, "bytes", len(body))
	if resp.StatusCode >= http.StatusInternalServerError {
		return outcome{done: true}, endpointload.Failed
	}
	return outcome{done: true}, endpointload.Succeeded
}
