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

// errEndedEarly reports that a fault ended the response body early, but cleanly.
var errEndedEarly = errors.New("response ended early by a chunk fault")

// emptyStream is the tokenStream of a job with no tokens left to generate.
type emptyStream struct{}

func (emptyStream) next(context.Context) (bool, error) { return false, nil }

// chunkWriter writes the chunks of one attempt and applies the chunk faults.
type chunkWriter struct {
	server *Server
	w      http.ResponseWriter
	rc     *http.ResponseController
	ctx    context.Context
	job    *job
	buf    []byte
}

// writeChunk writes chunk seq. The final chunk has a finish reason and the token
// usage in place of text.
func (c *chunkWriter) writeChunk(seq int, final bool) error {
	kind, ok := c.server.ChunkFaults.consume(seq)
	if !ok {
		c.server.setLastSender(c.job.id)
		return c.send(c.job.id, seq, final)
	}
	return c.writeFaultyChunk(kind, seq, final)
}

// writeFaultyChunk writes chunk seq with a fault. The error is errEndedEarly if
// the response has to end cleanly, another one if it has to be cut off.
func (c *chunkWriter) writeFaultyChunk(kind ChunkFaultKind, seq int, final bool) error {
	switch kind {
	case ChunkOtherAttempt:
		return c.sendOtherAttempt(c.job.id+"-other", seq, final)
	case ChunkStale:
		if err := c.sendOtherAttempt(c.server.otherAttempt(c.job.id), seq, final); err != nil {
			return err
		}
	case ChunkDuplicate:
		if err := c.send(c.job.id, seq, final); err != nil {
			return err
		}
	case ChunkDrop:
		return nil
	case ChunkEarlyEOF:
		return errEndedEarly
	case ChunkEarlyDone:
		return errors.CombineErrors(c.writeDone(), errEndedEarly)
	case ChunkTruncate:
		c.buildChunk(c.job.id, seq, final)
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
	c.buildChunk(id, seq, final)
	return c.flush()
}

// sendOtherAttempt sends chunk seq of the attempt id, with text that differs from
// that of this attempt.
func (c *chunkWriter) sendOtherAttempt(id string, seq int, final bool) error {
	own := c.job.completion
	defer func() { c.job.completion = own }()
	c.job.completion = NewCompletion([]byte(id), own.TokenCount)
	return c.send(id, seq, final)
}

// buildChunk encodes one event into the buffer. The event has the time at which it
// is sent, so that a reader on the same machine can measure the transit time.
func (c *chunkWriter) buildChunk(id string, seq int, final bool) {
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
		b = appendJSON(b, c.job.completion.Token(seq)+" ")
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

func (c *chunkWriter) writeDone() error {
	c.buf = append(c.buf[:0], "data: [DONE]\n\n"...)
	return c.flush()
}

func (c *chunkWriter) flush() error {
	if _, err := c.w.Write(c.buf); err != nil {
		return err
	}
	return c.rc.Flush()
}

func (s *Server) setLastSender(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSender = id
}

// otherAttempt returns the id of another attempt: the last one that sent a chunk,
// or a made-up id if that is the given attempt or there is none.
func (s *Server) otherAttempt(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastSender == "" || s.lastSender == id {
		return id + "-before"
	}
	return s.lastSender
}

func (j *job) usage() relay.Usage {
	prompt := len(j.chat.Prompt)
	return relay.Usage{PromptTokens: prompt, CompletionTokens: j.completion.TokenCount, TotalTokens: prompt + j.completion.TokenCount}
}

// chatCompletion is the body of a response that isn't streamed.
type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   relay.Usage  `json:"usage"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (j *job) chatCompletion() chatCompletion {
	message := chatMessage{Role: "assistant", Content: j.completion.Text(j.completion.TokenCount)}
	return chatCompletion{
		ID: j.id, Object: "chat.completion", Model: j.chat.Model, Usage: j.usage(),
		Choices: []chatChoice{{Message: message, FinishReason: "length"}},
	}
}
