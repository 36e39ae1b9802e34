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

// maxErrorBody bounds what is read of an endpoint's failure message, in bytes.
const maxErrorBody = 2 << 10

// exchange is one HTTP request to one target: what all kinds of attempts
// have in common.
type exchange struct {
	r      *Relay
	info   Attempt
	fresh  bool
	pool   *pool
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	dog    *watchdog
	span   trace.Span
	// connected is set once a connection was at hand; until then, nothing
	// can have been sent.
	connected atomic.Bool
	reused    atomic.Bool
	answered  bool
	status    int
	tokens    uint64
}

func (r *Relay) newExchange(ctx context.Context, info Attempt, fresh bool) *exchange {
	x := &exchange{r: r, info: info, fresh: fresh, parent: ctx, pool: r.pools.get(info.Target.Address)}
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
	attemptsSent.Inc()
	r.settings.Observer.AttemptStarted(info)
	return x
}

// send sends the request and returns the answer once its header has come and
// carries the attempt's id.
func (x *exchange) send(method, path string, header http.Header, body []byte) (*http.Response, error) {
	s := &x.r.settings
	headerTimeout := x.headerTimeout()
	x.dog = newWatchdog(x.cancel, PhaseDial, s.DialTimeout+headerTimeout)
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		x.connected.Store(true)
		x.reused.Store(info.Reused)
		x.dog.arm(PhaseHeader, headerTimeout)
	}}
	ctx := httptrace.WithClientTrace(x.ctx, hooks)
	req, err := http.NewRequestWithContext(ctx, method, x.url(path), onceReader(body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	addHeader(req.Header, header)
	addHeader(req.Header, x.info.Target.Header)
	req.Header.Set(HeaderRequestID, x.info.RequestID)
	req.Header.Set(HeaderAttemptID, x.info.ID)
	propagation.TraceContext{}.Inject(x.ctx, propagation.HeaderCarrier(req.Header))
	if route := x.info.Target.Peer; route != nil {
		route.Prepare(req, body)
	}
	resp, err := x.pool.transport(x.fresh).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	x.dog.disarm()
	x.answered = true
	x.status = resp.StatusCode
	return resp, x.checkHeader(resp)
}

func (x *exchange) url(path string) string {
	prefix := ""
	if route := x.info.Target.Peer; route != nil {
		prefix = route.PathPrefix
	}
	return "http://" + x.info.Target.Address + prefix + path
}

func (x *exchange) headerTimeout() time.Duration {
	if route := x.info.Target.Peer; route != nil && route.HeaderTimeout > 0 {
		return route.HeaderTimeout
	}
	return x.r.settings.HeaderTimeout
}

// checkHeader returns an error if the answer belongs to another attempt. A
// failure that names no attempt may come from in front of the endpoint.
func (x *exchange) checkHeader(resp *http.Response) error {
	got := resp.Header.Get(HeaderAttemptID)
	if got == x.info.ID {
		return nil
	}
	if got == "" && resp.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: http.StatusBadGateway, Message: "answer " + resp.Status + " without an attempt id"}
	}
	return &ResponseMismatchError{Want: x.info.ID, Got: got}
}

// statusError returns the endpoint's refusal with the beginning of its text.
func (x *exchange) statusError(resp *http.Response) error {
	x.dog.arm(PhaseBody, x.r.settings.HeaderTimeout)
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	x.dog.disarm()
	e := &StatusError{Status: resp.StatusCode, Message: string(message)}
	if x.info.Target.Peer != nil {
		e.readRefusal(message)
	}
	return e
}

// readRefusal takes what another gateway says of the work it refused.
func (e *StatusError) readRefusal(body []byte) {
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
	if x.dog != nil {
		x.dog.disarm()
	}
	x.cancel(nil)
	if kind.suspect() {
		x.pool.closeIdle()
	}
	if x.pool.note(kind) {
		x.r.settings.Logger.Warn("silence of connections changed", "endpoint", x.info.Target.ID, "result", string(kind))
	}
	if x.workLeft(kind) && x.info.Target.Peer == nil {
		x.r.cancels.cancel(x.info.Target, x.info.ID)
	}
	res := Result{Kind: kind, Status: x.status, Tokens: x.tokens, Duration: now().Sub(x.info.StartedAt), Err: err}
	resultCounters[kind].Inc()
	x.endSpan(res)
	x.r.settings.Observer.AttemptEnded(x.info, res)
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

// workLeft returns whether the target may still be at work.
func (x *exchange) workLeft(kind ResultKind) bool {
	return kind != ResultOK && kind != ResultBadStatus && x.mayHaveRun(kind)
}

// cause returns the reason for err: the watchdog's, where it fired.
func (x *exchange) cause(err error) error {
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
	case errors.Is(x.parent.Err(), context.DeadlineExceeded):
		return ResultDeadlineExceeded
	case x.parent.Err() != nil:
		return ResultCallerGone
	case !x.connected.Load():
		return ResultDialFailed
	case errors.As(err, &silent):
		return x.classifySilence()
	default:
		return x.classifyAnswer(err)
	}
}

// classifySilence blames the endpoint only when a new connection was silent
// from its beginning.
func (x *exchange) classifySilence() ResultKind {
	if x.fresh || (!x.reused.Load() && !x.answered) {
		return ResultEndpointSilent
	}
	return ResultConnSilent
}

func (x *exchange) classifyAnswer(err error) ResultKind {
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
		return x.classifyRefusal(status)
	case !x.answered && x.reused.Load():
		return ResultConnLost
	default:
		return ResultTruncated
	}
}

// classifyRefusal takes another gateway's word for whether the work was run:
// if not, it may go elsewhere, unless the request itself is at fault.
func (x *exchange) classifyRefusal(e *StatusError) ResultKind {
	if x.info.Target.Peer == nil {
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

// onceReader returns body as a reader that net/http can't rewind, so that it
// never sends a request again by itself.
func onceReader(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// priorityHeader returns the header of a chat.
func priorityHeader(priority int) http.Header {
	return http.Header{
		"Content-Type": {"application/json"},
		"Accept":       {"text/event-stream"},
		HeaderPriority: {strconv.Itoa(priority)},
	}
}
