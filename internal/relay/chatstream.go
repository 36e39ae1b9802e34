package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// drainTimeout bounds the wait for the end of a stream's connection after its
// end mark, before the connection is given up.
const drainTimeout = 50 * time.Millisecond

// attempt makes one attempt and carries what comes of it to the sink.
func (s *session) attempt(ctx context.Context, target Target, fresh bool) Result {
	s.sum.Attempts++
	s.sum.Target = target
	s.final = nil
	if s.next > 0 && s.sum.Attempts > 1 {
		s.sum.ResumedAttempts++
		streamsResumed.Inc()
	}
	info := Attempt{
		ID: s.r.settings.NewID(), RequestID: s.req.RequestID, Customer: s.req.Customer,
		Target: target, Number: s.sum.Attempts, NextSeq: s.next, StartedAt: now(),
	}
	x := s.r.newExchange(ctx, info, fresh)
	err := s.exchange(x)
	res := x.finish(x.cause(err))
	if x.mayHaveRun(res.Kind) {
		s.mayHaveRun = true
	}
	return res
}

func (s *session) exchange(x *exchange) error {
	body, err := engineBody(s.req.Body, s.next, s.text)
	if err != nil {
		return err
	}
	resp, err := x.send(http.MethodPost, ChatPath, priorityHeader(s.req.Priority), body)
	if resp != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return x.statusError(resp)
	}
	return s.relayStream(x, resp.Body)
}

// relayStream reads the stream and passes it on until its end mark.
func (s *session) relayStream(x *exchange, body io.Reader) error {
	reader := newStreamReader(body, s.r.settings.MaxLine)
	var chunk Chunk
	waiting := false
	for {
		if !waiting {
			x.dog.arm(s.waitPhase(x))
		}
		kind, data, err := reader.next()
		if err != nil {
			return &TruncatedError{Cause: err}
		}
		switch kind {
		case eventError:
			return &TruncatedError{Cause: &StreamError{Message: gjson.GetBytes(data, "error.message").String()}}
		case eventDone:
			x.dog.disarm()
			return s.complete(x, body)
		case eventChunk:
			waiting, err = s.take(x, &chunk, data, reader.more())
		}
		if err != nil {
			return err
		}
	}
}

func (s *session) waitPhase(x *exchange) (Phase, time.Duration) {
	if x.tokens == 0 {
		return PhaseFirstToken, s.r.settings.FirstTokenTimeout
	}
	return PhaseNextToken, s.r.settings.NextTokenTimeout
}

// take checks one chunk and delivers it. It returns whether the wait for the
// next chunk goes on, since this one was a repeat.
func (s *session) take(x *exchange, c *Chunk, data []byte, more bool) (bool, error) {
	if err := parseChunk(c, data); err != nil {
		return false, err
	}
	if c.id != x.info.ID {
		return false, &ResponseMismatchError{Want: x.info.ID, Got: c.id}
	}
	if c.Seq < s.next {
		chunksRepeated.Inc()
		return true, nil
	}
	if c.Seq > s.next || s.final != nil {
		return false, &MissingChunkError{Want: s.next, Got: c.Seq}
	}
	x.dog.disarm()
	if c.FinishReason != "" {
		s.final = append([]byte(nil), data...)
		return false, nil
	}
	return false, s.deliver(x, c, more)
}

// deliver passes one chunk to the caller and notes it.
func (s *session) deliver(x *exchange, c *Chunk, more bool) error {
	if err := s.startAnswer(); err != nil {
		return err
	}
	if err := s.sink.Chunk(c, more); err != nil {
		return &CallerGoneError{Cause: err}
	}
	if x.tokens == 0 {
		x.r.settings.Observer.FirstTokenReceived(x.info, now().Sub(x.info.StartedAt))
	}
	if s.sum.Tokens == 0 {
		s.sum.TTFT = now().Sub(s.start)
	}
	x.tokens++
	s.sum.Tokens++
	s.next++
	chunksRelayed.Inc()
	s.remember(c)
	return nil
}

func (s *session) startAnswer() error {
	if s.sum.ResponseStarted {
		return nil
	}
	s.sum.ResponseStarted = true
	if err := s.sink.Start(); err != nil {
		return &CallerGoneError{Cause: err}
	}
	return nil
}

// remember keeps what is needed to resume the answer after this chunk.
func (s *session) remember(c *Chunk) {
	switch {
	case s.fixed != nil:
	case c.opaque:
		s.fixed = &NotResumableError{Reason: "it holds more than text"}
	case len(s.text)+len(c.Content) > s.r.settings.MaxResumeBytes:
		s.fixed = &NotResumableError{Reason: "it is too long"}
	default:
		s.text = append(s.text, c.Content...)
	}
	if s.fixed != nil {
		s.text = nil
	}
}

// complete delivers the last chunk and the end mark, then reads the rest of
// the connection, which is reused only if nothing else came.
func (s *session) complete(x *exchange, body io.Reader) error {
	if s.final == nil {
		return &MalformedError{Reason: "end mark without a finish reason"}
	}
	var c Chunk
	if err := parseChunk(&c, s.final); err != nil {
		return err
	}
	s.sum.Usage = c.Usage
	if err := s.deliver(x, &c, true); err != nil {
		return err
	}
	if err := s.sink.Complete(s.sum); err != nil {
		return &CallerGoneError{Cause: err}
	}
	x.drain(body)
	return nil
}

// drain waits shortly for the end of the body, so that the connection can be
// reused. A connection that has anything else to say is closed.
func (x *exchange) drain(body io.Reader) {
	x.dog.arm(PhaseNextToken, drainTimeout)
	defer x.dog.disarm()
	var one [1]byte
	n, err := body.Read(one[:])
	if n > 0 || !errors.Is(err, io.EOF) {
		x.cancel(nil)
	}
}
