package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// drainTimeout limits the wait for the end of the response body after the end
// marker. After it the connection is closed.
const drainTimeout = 50 * time.Millisecond

// runChatAttempt makes one attempt and writes the chunks it receives to the
// sink.
func (s *requestState) runChatAttempt(ctx context.Context, target Target, newConn bool) Result {
	s.summary.Attempts++
	s.summary.Target = target
	s.lastChunk = nil
	if s.nextSeq > 0 && s.summary.Attempts > 1 {
		s.summary.ResumedAttempts++
		streamsResumed.Inc()
	}
	attempt := Attempt{
		ID: s.relay.settings.NewAttemptID(), RequestID: s.req.RequestID, Customer: s.req.Customer,
		Target: target, Number: s.summary.Attempts, NextSeq: s.nextSeq, StartedAt: now(),
		RepeatKey: s.req.RepeatKey,
	}
	x := s.relay.newExchange(ctx, attempt, newConn)
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

// relayStream reads the stream up to its end marker and writes it to the sink.
// The timeout of a phase starts anew after each chunk except duplicates, which
// are no progress.
func (s *requestState) relayStream(x *exchange, body io.Reader) error {
	reader := newStreamReader(body, s.relay.settings.MaxLineBytes)
	var chunk Chunk
	duplicate := false
	for {
		if !duplicate {
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
			duplicate, err = s.acceptChunk(x, &chunk, data, reader.hasBufferedData())
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

// acceptChunk checks one chunk and delivers it. It returns true for a duplicate,
// which it discards. moreBuffered says that another chunk can be read without
// waiting.
func (s *requestState) acceptChunk(x *exchange, c *Chunk, data []byte, moreBuffered bool) (bool, error) {
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
	return false, s.deliver(x, c, moreBuffered)
}

// deliver writes one chunk to the caller and updates the request's state.
func (s *requestState) deliver(x *exchange, c *Chunk, moreBuffered bool) error {
	if err := s.startResponse(); err != nil {
		return err
	}
	if err := s.sink.Chunk(c, moreBuffered); err != nil {
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

// keepForResume appends the chunk's text to the text for resuming the response.
// It drops the text once the response can't be resumed.
func (s *requestState) keepForResume(c *Chunk) {
	switch {
	case s.notResumable != nil:
	case c.hasNonText:
		s.notResumable = &NotResumableError{Reason: "it contains more than text"}
	case len(s.sentText)+len(c.Content) > s.relay.settings.MaxResumeBytes:
		s.notResumable = &NotResumableError{Reason: "it is longer than the resume limit"}
	default:
		s.sentText = append(s.sentText, c.Content...)
		s.chargeText()
	}
	if s.notResumable != nil {
		s.sentText = nil
		s.releaseText()
	}
}

// chargeText charges what sentText has grown by. Without the memory for it the response
// can't be resumed.
func (s *requestState) chargeText() {
	grown := cap(s.sentText) - s.chargedText
	if s.req.Hold == nil || grown <= 0 {
		return
	}
	if err := s.req.Hold.Reserve(int64(grown)); err != nil {
		s.notResumable = &NotResumableError{Reason: "there is no memory to keep it"}
		return
	}
	s.chargedText += grown
}

func (s *requestState) releaseText() {
	if s.chargedText > 0 {
		s.req.Hold.Release(int64(s.chargedText))
		s.chargedText = 0
	}
}

// complete delivers the last chunk and the end marker. It then waits for the end
// of the body, after which the connection can be reused.
func (s *requestState) complete(x *exchange, body io.Reader) error {
	if s.lastChunk == nil {
		return &MalformedError{Reason: "end marker without a finish reason"}
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

// drain waits up to drainTimeout for the end of the body, so that the connection
// can be reused. If more data or an error comes, the connection is closed.
func (x *exchange) drain(body io.Reader) {
	x.watchdog.arm(PhaseNextToken, drainTimeout)
	defer x.watchdog.disarm()
	var one [1]byte
	n, err := body.Read(one[:])
	if n > 0 || !errors.Is(err, io.EOF) {
		x.cancel(nil)
	}
}
