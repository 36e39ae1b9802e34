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
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/httpserver"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// maxErrorBodyBytes limits how much of an error response is read.
const maxErrorBodyBytes = 2 << 10

// exchange is one HTTP request to one target and its response, the part that
// attempts of chats and of service calls have in common.
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
	// connected is set once the transport has a connection. Before, nothing
	// can have been sent.
	connected   atomic.Bool
	reusedConn  atomic.Bool
	gotResponse bool
	status      int
	tokens      uint64
}

func (r *Relay) newExchange(ctx context.Context, attempt Attempt, newConn bool) *exchange {
	x := &exchange{relay: r, attempt: attempt, newConn: newConn, callerCtx: ctx, pool: r.pools.get(attempt.Target.Address)}
	ctx, x.span = r.settings.Tracer.Start(ctx, telemetry.SpanAttempt,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("request.id", attempt.RequestID),
			attribute.String("attempt.id", attempt.ID),
			attribute.Int("attempt.number", attempt.Number),
			attribute.Int64("attempt.next_seq", int64(attempt.NextSeq)),
			attribute.String("endpoint.id", attempt.Target.ID),
			attribute.String("endpoint.region", attempt.Target.Region),
		))
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	attemptsStarted.Inc()
	r.settings.Observer.AttemptStarted(attempt)
	return x
}

// send sends the request and returns the response once its header has arrived.
// If the header does not carry the attempt's id, send returns an error along
// with the response, whose body must be closed.
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
	if peer := x.attempt.Target.Peer; peer != nil {
		peer.Prepare(req, body)
	}
	httpserver.CancelIfLeft(x.callerCtx)
	resp, err := x.pool.transport(x.newConn).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	x.watchdog.disarm()
	x.gotResponse = true
	x.status = resp.StatusCode
	if err := x.checkHeader(resp); err != nil {
		return resp, err
	}
	x.observeSignals(resp)
	return resp, nil
}

// observeSignals reports what an endpoint says of itself in its response.
func (x *exchange) observeSignals(resp *http.Response) {
	if x.attempt.Target.Peer != nil {
		return
	}
	signals, err := httpmeta.ReadSignals(resp.StatusCode, resp.Header)
	if err != nil || signals != (httpmeta.Signals{}) {
		x.relay.settings.Observer.SignalsReceived(x.attempt, signals, err)
	}
}

func (x *exchange) url(path string) string {
	prefix := ""
	if peer := x.attempt.Target.Peer; peer != nil {
		prefix = peer.PathPrefix
	}
	return "http://" + x.attempt.Target.Address + prefix + path
}

func (x *exchange) headerTimeout() time.Duration {
	if peer := x.attempt.Target.Peer; peer != nil && peer.HeaderTimeout > 0 {
		return peer.HeaderTimeout
	}
	return x.relay.settings.HeaderTimeout
}

// checkHeader returns an error if the response does not carry the attempt's id.
// An error status without any id is no mismatch, since it may come from a proxy
// in front of the endpoint.
func (x *exchange) checkHeader(resp *http.Response) error {
	got := resp.Header.Get(HeaderAttemptID)
	if got == x.attempt.ID {
		return nil
	}
	if got == "" && x.attempt.Target.Peer != nil && resp.Header.Get(headerOutcome) == string(failure.NotRun) {
		return &StatusError{Status: resp.StatusCode, Message: "refused before it was read", Code: failure.CodeOverloaded, Outcome: failure.NotRun}
	}
	if got == "" && resp.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: http.StatusBadGateway, Message: "response " + resp.Status + " without an attempt id"}
	}
	return &ResponseMismatchError{Want: x.attempt.ID, Got: got}
}

// readStatusError returns the target's error status with the beginning of the
// response body as its message.
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

// parsePeerError sets the code, outcome and message from the error response of
// another gateway. It leaves e unchanged if body is not valid JSON.
func (e *StatusError) parsePeerError(body []byte) {
	var parsed errorBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return
	}
	e.Code = parsed.Error.Code
	e.Outcome = parsed.Error.Outcome
	e.Message = parsed.Error.Message
}

// finish ends the exchange, reports its result to the observer and returns it.
// If the endpoint may still be working, it also queues a cancel request.
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
		x.relay.settings.Logger.Warn("connections to the endpoint fell silent or recovered", "endpoint", x.attempt.Target.ID, "result", string(kind))
	}
	if x.mayStillRun(kind) && x.attempt.Target.Peer == nil {
		x.relay.cancels.enqueue(x.attempt.Target, x.attempt.ID)
	}
	res := Result{Kind: kind, Status: x.status, Tokens: x.tokens, Duration: now().Sub(x.attempt.StartedAt), Err: err}
	res.EndpointEnded = x.hasEndpointEnded(kind)
	resultCounters[kind].Inc()
	x.endSpan(res)
	x.relay.settings.Observer.AttemptEnded(x.attempt, res)
	return res
}

// endedCheckTimeout limits the check of whether an endpoint refuses connections. It holds up
// the next attempt.
const endedCheckTimeout = 250 * time.Millisecond

// hasEndpointEnded reports whether a response broke off since its endpoint has ended, which
// then refuses connections, rather than the connection alone.
func (x *exchange) hasEndpointEnded(kind ResultKind) bool {
	if x.attempt.Target.Peer != nil || kind != ResultTruncated && kind != ResultConnLost {
		return false
	}
	ctx, cancel := context.WithTimeout(x.callerCtx, endedCheckTimeout)
	defer cancel()
	conn, err := x.relay.settings.Dial(ctx, "tcp", x.attempt.Target.Address)
	if err == nil {
		_ = conn.Close()
	}
	return transport.IsRefusal(err)
}

func (x *exchange) endSpan(res Result) {
	x.span.SetAttributes(attribute.String("attempt.result", string(res.Kind)), attribute.Int64("attempt.tokens", int64(res.Tokens)))
	if res.Err != nil {
		x.span.SetStatus(codes.Error, res.Err.Error())
	}
	x.span.End()
}

// mayHaveRun returns whether the target may have started the work.
func (x *exchange) mayHaveRun(kind ResultKind) bool {
	return x.connected.Load() && kind != ResultBusy && kind != ResultRejected
}

// mayStillRun returns whether the target may still be working on the request.
func (x *exchange) mayStillRun(kind ResultKind) bool {
	return kind != ResultOK && kind != ResultBadStatus && x.mayHaveRun(kind)
}

// silenceOr returns the watchdog's *SilenceTimeoutError if it expired, which is
// then the reason for err, and err otherwise.
func (x *exchange) silenceOr(err error) error {
	var silent *SilenceTimeoutError
	if errors.As(context.Cause(x.ctx), &silent) {
		return silent
	}
	return err
}

// classify returns the result kind for err.
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

// classifySilence attributes the timeout to the endpoint if the connection was
// opened to replace a failed one, or was new and carried no response header.
// Otherwise the connection alone may have failed.
func (x *exchange) classifySilence() ResultKind {
	if x.newConn || (!x.reusedConn.Load() && !x.gotResponse) {
		return ResultEndpointSilent
	}
	return ResultConnSilent
}

func (x *exchange) classifyResponseError(err error) ResultKind {
	var mismatch *ResponseMismatchError
	var missing *MissingChunkError
	var malformed *MalformedError
	var status *StatusError
	switch {
	case errors.As(err, &mismatch):
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

// classifyStatusError classifies an error status. For another gateway, the
// outcome in its response decides: work that was not run may be retried
// elsewhere, unless the request itself is invalid.
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

// nonRewindableBody returns body as a reader that net/http can't rewind. With a
// body that it can rewind, net/http may send a request a second time by itself.
func nonRewindableBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// chatHeader returns the headers of a chat request.
func chatHeader(priority int) http.Header {
	return http.Header{
		"Content-Type": {"application/json"},
		"Accept":       {"text/event-stream"},
		HeaderPriority: {strconv.Itoa(priority)},
	}
}
