package relay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// Sink is how an answer leaves. Every method is called on the request's own
// goroutine; an error means that the caller can't be reached any more.
type Sink interface {
	// Start is called once, before the first chunk.
	Start() error
	// Chunk delivers one chunk; more says that another one follows at once,
	// so that this one needn't be flushed.
	Chunk(c *Chunk, more bool) error
	// Complete ends a whole answer.
	Complete(s Summary) error
	// Fail ends an answer that has been started and can't be completed. It is
	// not called for one that hasn't been started.
	Fail(r *failure.Refusal) error
	// Started returns whether anything has been sent to the caller.
	Started() bool
}

// DefaultWriteTimeout bounds one write to a caller.
const DefaultWriteTimeout = 10 * time.Second

// deadlineUpdatesPerTimeout is the number of times that the deadline of writes is moved
// within one timeout; a write may end by 1/deadlineParts of it early.
const deadlineUpdatesPerTimeout = 8

// SSEOptions are the settings of an SSESink.
type SSEOptions struct {
	// ChunkID replaces the id of each chunk: the request id for callers, the
	// sender's attempt id for gateways.
	ChunkID string
	// RequestID goes into the error event.
	RequestID string
	// WriteTimeout bounds each write; 0 means DefaultWriteTimeout.
	WriteTimeout time.Duration
}

// SSESink sends an answer as server-sent events.
type SSESink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	opts       SSEOptions
	quotedID   []byte
	buf        []byte

	started bool
	// deadlineSetAt is when the deadline of writes was last set.
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
func (s *SSESink) Chunk(c *Chunk, more bool) error {
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = c.appendWithID(s.buf, s.quotedID)
	s.buf = append(s.buf, "\n\n"...)
	return s.write(!more)
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

// extendDeadline sets the deadline of writes anew, unless that was done within
// the last part of the timeout.
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

// errorBody is the JSON shape of a failure.
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

// JSONSink collects an answer and sends it as one JSON document once it is
// whole. Nothing is written before.
type JSONSink struct {
	w            http.ResponseWriter
	requestID    string
	model        string
	created      time.Time
	content      bytes.Buffer
	finishReason string
	started      bool
}

// NewJSONSink returns a sink that writes to w.
func NewJSONSink(w http.ResponseWriter, requestID, model string, created time.Time) *JSONSink {
	return &JSONSink{w: w, requestID: requestID, model: model, created: created}
}

// Start implements Sink.
func (s *JSONSink) Start() error { return nil }

// Chunk implements Sink.
func (s *JSONSink) Chunk(c *Chunk, _ bool) error {
	s.content.WriteString(c.Content)
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
		return errors.Wrap(err, "encode answer")
	}
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

// Fail implements Sink. The refusal itself is left to the caller of Chat,
// since nothing has been written.
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
