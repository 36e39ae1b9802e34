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

// runChatAttempt makes one attempt and carries what comes of it to the sink.
func (s *requestState) runChatAttempt(ctx context.Context, target Target, fresh bool) Result {
	s.summary.Attempts++
	s.summary.Target = target
	s.lastChunk = nil
	if s.nextSeq > 0 && s.summary.Attempts > 1 {
		s.summary.ResumedAttempts++
		streamsResumed.Inc()
	}
	info := Attempt{
		ID: s.relay.settings.NewAttemptID(), RequestID: s.req.RequestID, Customer: s.req.Customer,
		Target: target, Number: s.summary.Attempts, NextSeq: s.nextSeq, StartedAt: now(),
	}
	x := s.relay.newExchange(ctx, info, fresh)
	err := s.exchangeChat(x)
	res := x.finish(x.silenceOr(err))
	if x.mayHaveRun(res.Kind) {
		s.mayHaveRun = true
	}
	return res
}

func (s *requestState) exchangeChat(x *exchange) error {
	body, err := endpointBody(s.req.Body, s.nextSeq, s.sentText)
	if err != nil {
		return err
	}
	resp, err := x.send(http.MethodPost, ChatPath, chatHeader(s.req.Priority), body)
	if resp != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return x.readStatusError(resp)
	}
	return s.relayStream(x, resp.Body)
}

// relayStream reads the stream and passes it on until its end mark.
func (s *requestState) relayStream(x *exchange, body io.Reader) error {
	reader := newStreamReader(body, s.relay.settings.MaxLineBytes)
	var chunk Chunk
	waiting := false
	for {
		if !waiting {
			x.watchdog.arm(s.currentPhase(x))
		}
		kind, data, err := reader.next()
		if err != nil {
			return &TruncatedError{Cause: err}
		}
		switch kind {
		case eventError:
			return &TruncatedError{Cause: &StreamError{Message: gjson.GetBytes(data, "error.message").String()}}
		case eventDone:
			x.watchdog.disarm()
			return s.complete(x, body)
		case eventChunk:
			waiting, err = s.acceptChunk(x, &chunk, data, reader.hasBufferedData())
		}
		if err != nil {
			return err
		}
	}
}

func (s *requestState) currentPhase(x *exchange) (Phase, time.Duration) {
	if x.tokens == 0 {
		return PhaseFirstToken, s.relay.settings.FirstTokenTimeout
	}
	return PhaseNextToken, s.relay.settings.NextTokenTimeout
}

// acceptChunk checks one chunk and delivers it. It returns whether the wait for the
// next chunk goes on, since this one was a repeat.
func (s *requestState) acceptChunk(x *exchange, c *Chunk, data []byte, more bool) (bool, error) {
	if err := parseChunk(c, data); err != nil {
		return false, err
	}
	if c.id != x.attempt.ID {
		return false, &ResponseMismatchError{Want: x.attempt.ID, Got: c.id}
	}
	if c.Seq < s.nextSeq {
		chunksDuplicate.Inc()
		return true, nil
	}
	if c.Seq > s.nextSeq || s.lastChunk != nil {
		return false, &MissingChunkError{Want: s.nextSeq, Got: c.Seq}
	}
	x.watchdog.disarm()
	if c.FinishReason != "" {
		s.lastChunk = append([]byte(nil), data...)
		return false, nil
	}
	return false, s.deliver(x, c, more)
}

// deliver passes one chunk to the caller and notes it.
func (s *requestState) deliver(x *exchange, c *Chunk, more bool) error {
	if err := s.startResponse(); err != nil {
		return err
	}
	if err := s.sink.Chunk(c, more); err != nil {
		return &CallerGoneError{Cause: err}
	}
	if x.tokens == 0 {
		x.relay.settings.Observer.FirstTokenReceived(x.attempt, now().Sub(x.attempt.StartedAt))
	}
	if s.summary.Tokens == 0 {
		s.summary.TTFT = now().Sub(s.startedAt)
	}
	x.tokens++
	s.summary.Tokens++
	s.nextSeq++
	chunksRelayed.Inc()
	s.keepForResume(c)
	return nil
}

func (s *requestState) startResponse() error {
	if s.summary.ResponseStarted {
		return nil
	}
	s.summary.ResponseStarted = true
	if err := s.sink.Start(); err != nil {
		return &CallerGoneError{Cause: err}
	}
	return nil
}

// keepForResume keeps what is needed to resume the answer after this chunk.
func (s *requestState) keepForResume(c *Chunk) {
	switch {
	case s.notResumable != nil:
	case c.hasNonText:
		s.notResumable = &NotResumableError{Reason: "it holds more than text"}
	case len(s.sentText)+len(c.Content) > s.relay.settings.MaxResumeBytes:
		s.notResumable = &NotResumableError{Reason: "it is too long"}
	default:
		s.sentText = append(s.sentText, c.Content...)
	}
	if s.notResumable != nil {
		s.sentText = nil
	}
}

// complete delivers the last chunk and the end mark, then reads the rest of
// the connection, which is reused only if nothing else came.
func (s *requestState) complete(x *exchange, body io.Reader) error {
	if s.lastChunk == nil {
		return &MalformedError{Reason: "end mark without a finish reason"}
	}
	var c Chunk
	if err := parseChunk(&c, s.lastChunk); err != nil {
		return err
	}
	s.summary.Usage = c.Usage
	if err := s.deliver(x, &c, true); err != nil {
		return err
	}
	if err := s.sink.Complete(s.summary); err != nil {
		return &CallerGoneError{Cause: err}
	}
	x.drain(body)
	return nil
}

// drain waits shortly for the end of the body, so that the connection can be
// reused. A connection that has anything else to say is closed.
func (x *exchange) drain(body io.Reader) {
	x.watchdog.arm(PhaseNextToken, drainTimeout)
	defer x.watchdog.disarm()
	var one [1]byte
	n, err := body.Read(one[:])
	if n > 0 || !errors.Is(err, io.EOF) {
		x.cancel(nil)
	}
}
