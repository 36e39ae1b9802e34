package relay

import (
	"context"
	"io"
	"math"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/bodyread"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/quarantine"
)

// ServiceRequest is one idempotent call of an HTTP service that is not a model.
type ServiceRequest struct {
	RequestID string
	Customer  string
	Method    string
	// Path is the path with the query, beginning with "/".
	Path   string
	Header http.Header
	Body   []byte
	// Hold is charged for the response; nil if nothing is to be charged.
	Hold *memory.Holder
	// RepeatKey is as that of a ChatRequest.
	RepeatKey quarantine.Key
}

// ServiceResponse is the complete response of a service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one idempotent call to the endpoints that pick chooses. It returns
// a complete response or a *failure.Refusal. A status from 400 to 499 other
// than 429 is the service's own and returned as a response.
func (r *Relay) Call(ctx context.Context, req ServiceRequest, pick Picker) (*ServiceResponse, Summary, error) {
	c := &serviceCall{requestState: newRequestState(r, ChatRequest{RequestID: req.RequestID, Customer: req.Customer, RepeatKey: req.RepeatKey}, pick, nopSink{}), req: req}
	for {
		target, newConn, err := c.nextTarget(ctx)
		if err != nil {
			return nil, c.summary, c.fail(ctx, err)
		}
		var resp *ServiceResponse
		resp, c.lastResult = c.runCallAttempt(ctx, target, newConn)
		if resp != nil {
			return resp, c.summary, nil
		}
		if !c.prepareRetry(ctx, target, newConn) {
			return nil, c.summary, c.fail(ctx, c.lastResult.Err)
		}
	}
}

// serviceCall is a service request over all its attempts.
type serviceCall struct {
	*requestState
	req ServiceRequest
}

func (c *serviceCall) runCallAttempt(ctx context.Context, target Target, newConn bool) (*ServiceResponse, Result) {
	c.summary.Attempts++
	c.summary.Target = target
	attempt := Attempt{
		ID: c.relay.settings.NewAttemptID(), RequestID: c.req.RequestID, Customer: c.req.Customer,
		Target: target, Number: c.summary.Attempts, StartedAt: now(), RepeatKey: c.req.RepeatKey,
	}
	x := c.relay.newExchange(ctx, attempt, newConn)
	resp, err := c.exchangeCall(x)
	res := x.finish(x.silenceOr(err))
	if x.mayHaveRun(res.Kind) {
		c.mayHaveRun = true
	}
	return resp, res
}

func (c *serviceCall) exchangeCall(x *exchange) (*ServiceResponse, error) {
	resp, err := x.send(c.req.Method, c.req.Path, c.req.Header, c.req.Body)
	if resp != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	if kind := classifyStatus(resp.StatusCode); resp.StatusCode >= http.StatusBadRequest && kind != ResultRejected {
		return nil, x.readStatusError(resp)
	}
	x.watchdog.arm(PhaseBody, c.relay.settings.ServiceBodyTimeout)
	limit := c.relay.settings.MaxServiceBodyBytes
	body, err := c.readResponse(resp, limit+1)
	if err != nil {
		return nil, &TruncatedError{Cause: err}
	}
	if int64(len(body)) > limit {
		return nil, errors.WithStack(&MalformedError{Reason: "response body too large"})
	}
	return &ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// readResponse reads at most limit bytes of a response's body. An attempt for whose response
// there is no memory fails, since the caller can't be sent a part of it.
func (c *serviceCall) readResponse(resp *http.Response, limit int64) ([]byte, error) {
	r := io.LimitReader(resp.Body, limit)
	if c.req.Hold == nil {
		return io.ReadAll(r)
	}
	c.req.Hold.Release(math.MaxInt64) // What an earlier attempt has left.
	length := min(resp.ContentLength, limit)
	if resp.Body == http.NoBody {
		length = 0 // A response to HEAD states a length and has no body.
	}
	body, err := bodyread.Read(c.req.Hold, r, length)
	if msg, keyvals, ok := bodyread.LogFields(err); ok {
		c.relay.settings.Logger.Info(msg, append([]any{"request", c.req.RequestID}, keyvals...)...)
	}
	return body, err
}

// nopSink is the sink of service calls, whose responses are returned to the
// caller of Call rather than streamed.
type nopSink struct{}

func (nopSink) Start() error                { return nil }
func (nopSink) Chunk(*Chunk, bool) error    { return nil }
func (nopSink) Complete(Summary) error      { return nil }
func (nopSink) Fail(*failure.Refusal) error { return nil }
func (nopSink) Started() bool               { return false }
