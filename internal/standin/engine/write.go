package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/relay"
)

// errEnded says that a fault ended the answer's body in good order.
var errEnded = errors.New("the answer was ended by a fault")

// finished is the stream of a job that has nothing left to do.
type finished struct{}

func (finished) next(context.Context) (bool, error) { return false, nil }

// chunkWriter writes the chunks of one attempt, with their faults.
type chunkWriter struct {
	server *Server
	w      http.ResponseWriter
	rc     *http.ResponseController
	ctx    context.Context
	job    *job
	buf    []byte
}

// chunk writes chunk seq, the last one if final.
func (c *chunkWriter) chunk(seq int, final bool) error {
	kind, ok := c.server.ChunkFaults.take(seq)
	if !ok {
		c.server.setPrevious(c.job.id)
		return c.send(c.job.id, seq, final)
	}
	return c.faulty(kind, seq, final)
}

func (c *chunkWriter) faulty(kind ChunkFaultKind, seq int, final bool) error {
	switch kind {
	case ChunkOtherAttempt:
		return c.sendOther(c.job.id+"-other", seq, final)
	case ChunkStale:
		if err := c.sendOther(c.server.previousTo(c.job.id), seq, final); err != nil {
			return err
		}
	case ChunkDuplicate:
		if err := c.send(c.job.id, seq, final); err != nil {
			return err
		}
	case ChunkDrop:
		return nil
	case ChunkEarlyEOF:
		return errEnded
	case ChunkEarlyDone:
		return errors.CombineErrors(c.done(), errEnded)
	case ChunkTruncate:
		c.build(c.job.id, seq, final)
		c.buf = c.buf[:len(c.buf)/2]
		return errors.CombineErrors(c.flush(), &cancelledError{id: c.job.id})
	case ChunkStall:
		<-c.ctx.Done()
		return c.ctx.Err()
	case ChunkMalformed:
		c.buf = append(c.buf[:0], "data: {\"id\": \n\n"...)
		return c.flush()
	}
	return c.send(c.job.id, seq, final)
}

func (c *chunkWriter) send(id string, seq int, final bool) error {
	c.build(id, seq, final)
	return c.flush()
}

// sendOther sends a chunk of another answer.
func (c *chunkWriter) sendOther(id string, seq int, final bool) error {
	own := c.job.answer
	defer func() { c.job.answer = own }()
	c.job.answer = NewCompletion([]byte(id), own.TokenCount)
	return c.send(id, seq, final)
}

// build puts one event into the buffer. It carries the time of its sending, so
// that a reader on the same machine can tell how long it took.
func (c *chunkWriter) build(id string, seq int, final bool) {
	b := append(c.buf[:0], `data: {"id":`...)
	b = strconv.AppendQuote(b, id)
	b = append(b, `,"object":"chat.completion.chunk","created":0,"model":`...)
	b = appendJSON(b, c.job.chat.Model)
	b = append(b, `,"seq":`...)
	b = strconv.AppendInt(b, int64(seq), 10)
	b = append(b, `,"choices":[{"index":0,"delta":{`...)
	if final {
		b = append(b, `},"finish_reason":"length"}],"usage":`...)
		b = appendJSON(b, c.job.usage())
	} else {
		if seq == 0 {
			b = append(b, `"role":"assistant",`...)
		}
		b = append(b, `"content":`...)
		b = appendJSON(b, c.job.answer.Token(seq)+" ")
		b = append(b, `},"finish_reason":null}]`...)
	}
	b = append(b, `,"sent_at_ns":`...)
	b = strconv.AppendInt(b, time.Now().UnixNano(), 10)
	c.buf = append(b, "}\n\n"...)
}

func appendJSON(b []byte, v any) []byte {
	out, _ := json.Marshal(v)
	return append(b, out...)
}

func (c *chunkWriter) done() error {
	c.buf = append(c.buf[:0], "data: [DONE]\n\n"...)
	return c.flush()
}

func (c *chunkWriter) flush() error {
	if _, err := c.w.Write(c.buf); err != nil {
		return err
	}
	return c.rc.Flush()
}

func (s *Server) setPrevious(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous = id
}

// previousTo returns the id of another attempt that was in work before.
func (s *Server) previousTo(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.previous == "" || s.previous == id {
		return id + "-before"
	}
	return s.previous
}

func (j *job) usage() relay.Usage {
	prompt := len(j.chat.Prompt)
	return relay.Usage{PromptTokens: prompt, CompletionTokens: j.answer.TokenCount, TotalTokens: prompt + j.answer.TokenCount}
}

// document is the shape of a plain answer.
type document struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []documentChoice `json:"choices"`
	Usage   relay.Usage      `json:"usage"`
}

type documentChoice struct {
	Index        int             `json:"index"`
	Message      documentMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

type documentMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (j *job) document() document {
	message := documentMessage{Role: "assistant", Content: j.answer.Text(j.answer.TokenCount)}
	return document{
		ID: j.id, Object: "chat.completion", Model: j.chat.Model, Usage: j.usage(),
		Choices: []documentChoice{{Message: message, FinishReason: "length"}},
	}
}
