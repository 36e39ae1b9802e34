package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// maxErrorBodyBytes bounds what is read of an endpoint's failure message, in bytes.
const maxErrorBodyBytes = 2 << 10

// exchange is one HTTP request to one target: what all kinds of attempts
// have in common.
type exchange struct {
	relay     *Relay
	attempt   Attempt
	newConn   bool
	pool      *connPool
	callerCtx context.Context
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *watchdog
	span      trace.Span
	// connected is set once a connection was at hand; until then, nothing
	// can have been sent.
	connected   atomic.Bool
	reusedConn  atomic.Bool
	gotResponse bool
	status      int
	tokens      uint64
}

func (r *Relay) newExchange(ctx context.Context, info Attempt, fresh bool) *exchange {
	x := &exchange{relay: r, attempt: info, newConn: fresh, callerCtx: ctx, pool: r.pools.get(info.Target.Address)}
	ctx, x.span = r.settings.Tracer.Start(ctx, telemetry.SpanAttempt,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("request.id", info.RequestID),
			attribute.String("attempt.id", info.ID),
			attribute.Int("attempt.number", info.Number),
			attribute.Int64("attempt.next_seq", int64(info.NextSeq)),
			attribute.String("endpoint.id", info.Target.ID),
			attribute.String("endpoint.region", info.Target.Region),
		))
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	attemptsStarted.Inc()
	r.settings.Observer.AttemptStarted(info)
	return x
}

// send sends the request and returns the answer once its header has come and
// carries the attempt's id.
func (x *exchange) send(method, path string, header http.Header, body []byte) (*http.Response, error) {
	s := &x.relay.settings
	headerTimeout := x.headerTimeout()
	x.watchdog = newWatchdog(x.cancel, PhaseDial, s.DialTimeout+headerTimeout)
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		x.connected.Store(true)
		x.reusedConn.Store(info.Reused)
		x.watchdog.arm(PhaseHeader, headerTimeout)
	}}
	ctx := httptrace.WithClientTrace(x.ctx, hooks)
	req, err := http.NewRequestWithContext(ctx, method, x.url(path), nonRewindableBody(body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	copyHeader(req.Header, header)
	copyHeader(req.Header, x.attempt.Target.Header)
	req.Header.Set(HeaderRequestID, x.attempt.RequestID)
	req.Header.Set(HeaderAttemptID, x.attempt.ID)
	propagation.TraceContext{}.Inject(x.ctx, propagation.HeaderCarrier(req.Header))
	if route := x.attempt.Target.Peer; route != nil {
		route.Prepare(req, body)
	}
	resp, err := x.pool.transport(x.newConn).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	x.watchdog.disarm()
	x.gotResponse = true
	x.status = resp.StatusCode
	return resp, x.checkHeader(resp)
}

func (x *exchange) url(path string) string {
	prefix := ""
	if route := x.attempt.Target.Peer; route != nil {
		prefix = route.PathPrefix
	}
	return "http://" + x.attempt.Target.Address + prefix + path
}

func (x *exchange) headerTimeout() time.Duration {
	if route := x.attempt.Target.Peer; route != nil && route.HeaderTimeout > 0 {
		return route.HeaderTimeout
	}
	return x.relay.settings.HeaderTimeout
}

// checkHeader returns an error if the answer belongs to another attempt. A
// failure that names no attempt may come from in front of the endpoint.
func (x *exchange) checkHeader(resp *http.Response) error {
	got := resp.Header.Get(HeaderAttemptID)
	if got == x.attempt.ID {
		return nil
	}
	if got == "" && resp.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: http.StatusBadGateway, Message: "answer " + resp.Status + " without an attempt id"}
	}
	return &ResponseMismatchError{Want: x.attempt.ID, Got: got}
}

// readStatusError returns the endpoint's refusal with the beginning of its text.
func (x *exchange) readStatusError(resp *http.Response) error {
	x.watchdog.arm(PhaseBody, x.relay.settings.HeaderTimeout)
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	x.watchdog.disarm()
	e := &StatusError{Status: resp.StatusCode, Message: string(message)}
	if x.attempt.Target.Peer != nil {
		e.parsePeerError(message)
	}
	return e
}

// parsePeerError takes what another gateway says of the work it refused.
func (e *StatusError) parsePeerError(body []byte) {
	var refusal errorBody
	if err := json.Unmarshal(body, &refusal); err != nil {
		return
	}
	e.Code = refusal.Error.Code
	e.Outcome = refusal.Error.Outcome
	e.Message = refusal.Error.Message
}

// finish ends the exchange, and returns and reports its result.
func (x *exchange) finish(err error) Result {
	kind := x.classify(err)
	if x.watchdog != nil {
		x.watchdog.disarm()
	}
	x.cancel(nil)
	if kind.closesIdleConns() {
		x.pool.closeIdle()
	}
	if x.pool.recordResult(kind) {
		x.relay.settings.Logger.Warn("silence of connections changed", "endpoint", x.attempt.Target.ID, "result", string(kind))
	}
	if x.mayStillRun(kind) && x.attempt.Target.Peer == nil {
		x.relay.cancels.enqueue(x.attempt.Target, x.attempt.ID)
	}
	res := Result{Kind: kind, Status: x.status, Tokens: x.tokens, Duration: now().Sub(x.attempt.StartedAt), Err: err}
	resultCounters[kind].Inc()
	x.endSpan(res)
	x.relay.settings.Observer.AttemptEnded(x.attempt, res)
	return res
}

func (x *exchange) endSpan(res Result) {
	x.span.SetAttributes(attribute.String("attempt.result", string(res.Kind)), attribute.Int64("attempt.tokens", int64(res.Tokens)))
	if res.Err != nil {
		x.span.SetStatus(codes.Error, res.Err.Error())
	}
	x.span.End()
}

// mayHaveRun returns whether the target may have begun the work.
func (x *exchange) mayHaveRun(kind ResultKind) bool {
	return x.connected.Load() && kind != ResultBusy && kind != ResultRejected
}

// mayStillRun returns whether the target may still be at work.
func (x *exchange) mayStillRun(kind ResultKind) bool {
	return kind != ResultOK && kind != ResultBadStatus && x.mayHaveRun(kind)
}

// silenceOr returns the reason for err: the watchdog's, where it fired.
func (x *exchange) silenceOr(err error) error {
	var silent *SilenceTimeoutError
	if errors.As(context.Cause(x.ctx), &silent) {
		return silent
	}
	return err
}

// classify names the result that err stands for.
func (x *exchange) classify(err error) ResultKind {
	if err == nil {
		return ResultOK
	}
	var gone *CallerGoneError
	var silent *SilenceTimeoutError
	switch {
	case errors.As(err, &gone):
		return ResultCallerGone
	case errors.Is(x.callerCtx.Err(), context.DeadlineExceeded):
		return ResultDeadlineExceeded
	case x.callerCtx.Err() != nil:
		return ResultCallerGone
	case !x.connected.Load():
		return ResultDialFailed
	case errors.As(err, &silent):
		return x.classifySilence()
	default:
		return x.classifyResponseError(err)
	}
}

// classifySilence blames the endpoint only when a new connection was silent
// from its beginning.
func (x *exchange) classifySilence() ResultKind {
	if x.newConn || (!x.reusedConn.Load() && !x.gotResponse) {
		return ResultEndpointSilent
	}
	return ResultConnSilent
}

func (x *exchange) classifyResponseError(err error) ResultKind {
	var crossed *ResponseMismatchError
	var missing *MissingChunkError
	var malformed *MalformedError
	var status *StatusError
	switch {
	case errors.As(err, &crossed):
		return ResultMismatched
	case errors.As(err, &missing):
		return ResultMissingChunk
	case errors.As(err, &malformed):
		return ResultMalformed
	case errors.As(err, &status):
		return x.classifyStatusError(status)
	case !x.gotResponse && x.reusedConn.Load():
		return ResultConnLost
	default:
		return ResultTruncated
	}
}

// classifyStatusError takes another gateway's word for whether the work was run:
// if not, it may go elsewhere, unless the request itself is at fault.
func (x *exchange) classifyStatusError(e *StatusError) ResultKind {
	if x.attempt.Target.Peer == nil {
		return classifyStatus(e.Status)
	}
	switch {
	case e.Outcome != failure.NotRun:
		return ResultBadStatus
	case e.Code == failure.CodeBadRequest || e.Code == failure.CodeBodyTooLarge:
		return ResultRejected
	default:
		return ResultBusy
	}
}

func classifyStatus(status int) ResultKind {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return ResultBusy
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return ResultRejected
	default:
		return ResultBadStatus
	}
}

// nonRewindableBody returns body as a reader that net/http can't rewind, so that it
// never sends a request again by itself.
func nonRewindableBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// chatHeader returns the header of a chat.
func chatHeader(priority int) http.Header {
	return http.Header{
		"Content-Type": {"application/json"},
		"Accept":       {"text/event-stream"},
		HeaderPriority: {strconv.Itoa(priority)},
	}
}
