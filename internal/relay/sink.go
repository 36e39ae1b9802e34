package relay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/memory"
)

// Sink writes a response to the caller. Its methods are called on the request's
// own goroutine; an error means that the caller can't be reached any more.
type Sink interface {
	// Start is called once, before the first chunk.
	Start() error
	// Chunk writes one chunk. moreBuffered says that another one follows
	// without waiting, so that this one need not be flushed.
	Chunk(c *Chunk, moreBuffered bool) error
	// Complete ends a complete response.
	Complete(s Summary) error
	// Fail ends a response that has been started and can't be completed. It is
	// not called for a response that has not been started.
	Fail(r *failure.Refusal) error
	// Started returns whether anything has been sent to the caller.
	Started() bool
}

// DefaultWriteTimeout limits one write to a caller.
const DefaultWriteTimeout = 10 * time.Second

// deadlineUpdatesPerTimeout is how often the write deadline is moved within one
// write timeout. A write may thus time out early, by up to
// 1/deadlineUpdatesPerTimeout of the timeout.
const deadlineUpdatesPerTimeout = 8

// SSEOptions configure an SSESink.
type SSEOptions struct {
	// ChunkID replaces the id of each chunk: the request id for callers, the
	// sender's attempt id for gateways.
	ChunkID string
	// RequestID is reported in the error event.
	RequestID string
	// WriteTimeout limits each write; 0 means DefaultWriteTimeout.
	WriteTimeout time.Duration
}

// SSESink sends a response as server-sent events.
type SSESink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	opts       SSEOptions
	quotedID   []byte
	buf        []byte

	started bool
	// deadlineSetAt is the time at which the write deadline was last set.
	deadlineSetAt time.Time
}

// NewSSESink returns a sink that writes to w.
func NewSSESink(w http.ResponseWriter, opts SSEOptions) *SSESink {
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = DefaultWriteTimeout
	}
	id, _ := json.Marshal(opts.ChunkID)
	return &SSESink{w: w, controller: http.NewResponseController(w), opts: opts, quotedID: id}
}

// Start implements Sink.
func (s *SSESink) Start() error {
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
	return nil
}

// Started implements Sink.
func (s *SSESink) Started() bool { return s.started }

// Chunk implements Sink.
func (s *SSESink) Chunk(c *Chunk, moreBuffered bool) error {
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = c.appendWithID(s.buf, s.quotedID)
	s.buf = append(s.buf, "\n\n"...)
	return s.write(!moreBuffered)
}

// Complete implements Sink.
func (s *SSESink) Complete(Summary) error {
	s.buf = append(s.buf[:0], "data: [DONE]\n\n"...)
	return s.write(true)
}

// Fail implements Sink.
func (s *SSESink) Fail(r *failure.Refusal) error {
	body, err := json.Marshal(errorBody{Error: newErrorDetail(r, s.opts.RequestID)})
	if err != nil {
		return errors.Wrap(err, "encode error event")
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, body...)
	s.buf = append(s.buf, "\n\n"...)
	return s.write(true)
}

func (s *SSESink) write(flush bool) error {
	if err := s.extendDeadline(); err != nil {
		return err
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.controller.Flush()
}

// extendDeadline moves the write deadline, unless it was moved within the last
// 1/deadlineUpdatesPerTimeout of the timeout.
func (s *SSESink) extendDeadline() error {
	t := time.Now()
	if t.Sub(s.deadlineSetAt) < s.opts.WriteTimeout/deadlineUpdatesPerTimeout {
		return nil
	}
	s.deadlineSetAt = t
	err := s.controller.SetWriteDeadline(t.Add(s.opts.WriteTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// errorBody is the JSON encoding of an error, in error events and in the error
// responses of gateways.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type      failure.Code    `json:"type"`
	Code      failure.Code    `json:"code"`
	Message   string          `json:"message"`
	Outcome   failure.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
}

func newErrorDetail(r *failure.Refusal, requestID string) errorDetail {
	return errorDetail{Type: r.Code, Code: r.Code, Message: r.Message, Outcome: r.Outcome, RequestID: requestID}
}

// JSONSink collects a response and sends it as one JSON document once it is
// complete. Nothing is written before.
type JSONSink struct {
	w            http.ResponseWriter
	requestID    string
	model        string
	created      time.Time
	content      bytes.Buffer
	finishReason string
	started      bool
	// hold is charged for content and the document, nil if nothing is charged; charged
	// is what content has been charged for.
	hold    *memory.Holder
	charged int
}

// NewJSONSink returns a sink that writes to w. The document states requestID as
// its id.
func NewJSONSink(w http.ResponseWriter, requestID, model string, created time.Time) *JSONSink {
	return &JSONSink{w: w, requestID: requestID, model: model, created: created}
}

// ChargeTo sets the holder that is charged for the response.
func (s *JSONSink) ChargeTo(hold *memory.Holder) { s.hold = hold }

// charge charges n bytes of the response, which is delivered also if the memory is short.
func (s *JSONSink) charge(n int) {
	if s.hold != nil && n > 0 {
		s.hold.Charge(int64(n))
	}
}

// Start implements Sink.
func (s *JSONSink) Start() error { return nil }

// Chunk implements Sink.
func (s *JSONSink) Chunk(c *Chunk, _ bool) error {
	s.content.WriteString(c.Content)
	s.charge(s.content.Cap() - s.charged)
	s.charged = s.content.Cap()
	if c.FinishReason != "" {
		s.finishReason = c.FinishReason
	}
	return nil
}

// Complete implements Sink.
func (s *JSONSink) Complete(sum Summary) error {
	body, err := json.Marshal(chatCompletion{
		ID:      s.requestID,
		Object:  "chat.completion",
		Created: s.created.Unix(),
		Model:   s.model,
		Choices: []choice{{
			Message:      message{Role: "assistant", Content: s.content.String()},
			FinishReason: s.finishReason,
		}},
		Usage: sum.Usage,
	})
	if err != nil {
		return errors.Wrap(err, "encode chat completion")
	}
	s.charge(len(body))
	s.started = true
	err = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(DefaultWriteTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(http.StatusOK)
	_, err = s.w.Write(body)
	return err
}

// Fail implements Sink. It writes nothing: since the response has not been
// started, the caller of Chat can still send an error response.
func (s *JSONSink) Fail(*failure.Refusal) error { return nil }

// Started implements Sink.
func (s *JSONSink) Started() bool { return s.started }

type chatCompletion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
