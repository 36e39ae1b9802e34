package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// ServiceRequest is one repeatable call of a plain service.
type ServiceRequest struct {
	RequestID string
	Customer  string
	Method    string
	// Path is the call's path with its query, beginning with "/".
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the whole answer of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call carries one repeatable call to the endpoints that pick chooses. The
// answer is whole or the error is a *failure.Refusal. A status from 400 to 499
// other than 429 is the service's own answer.
func (r *Relay) Call(ctx context.Context, req ServiceRequest, pick Picker) (*ServiceResponse, Summary, error) {
	c := &call{session: newSession(r, ChatRequest{RequestID: req.RequestID, Customer: req.Customer}, pick, noSink{}), req: req}
	for {
		target, fresh, err := c.choose(ctx)
		if err != nil {
			return nil, c.sum, c.end(ctx, err)
		}
		var resp *ServiceResponse
		resp, c.last = c.try(ctx, target, fresh)
		if resp != nil {
			return resp, c.sum, nil
		}
		if !c.mayTryAgain(ctx, target, fresh) {
			return nil, c.sum, c.end(ctx, c.last.Err)
		}
	}
}

type call struct {
	*session
	req ServiceRequest
}

func (c *call) try(ctx context.Context, target Target, fresh bool) (*ServiceResponse, Result) {
	c.sum.Attempts++
	c.sum.Target = target
	info := Attempt{
		ID: c.r.settings.NewID(), RequestID: c.req.RequestID, Customer: c.req.Customer,
		Target: target, Number: c.sum.Attempts, StartedAt: now(),
	}
	x := c.r.newExchange(ctx, info, fresh)
	resp, err := c.exchange(x)
	res := x.finish(x.cause(err))
	if x.mayHaveRun(res.Kind) {
		c.mayHaveRun = true
	}
	return resp, res
}

func (c *call) exchange(x *exchange) (*ServiceResponse, error) {
	resp, err := x.send(c.req.Method, c.req.Path, c.req.Header, c.req.Body)
	if resp != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	if kind := classifyStatus(resp.StatusCode); resp.StatusCode >= http.StatusBadRequest && kind != ResultRejected {
		return nil, x.statusError(resp)
	}
	x.dog.arm(PhaseBody, c.r.settings.CallTimeout)
	limit := c.r.settings.MaxCallBytes
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, &TruncatedError{Cause: err}
	}
	if int64(len(body)) > limit {
		return nil, errors.WithStack(&MalformedError{Reason: "answer too large"})
	}
	return &ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// noSink stands for a caller that gets the answer as a whole.
type noSink struct{}

func (noSink) Start() error                { return nil }
func (noSink) Chunk(*Chunk, bool) error    { return nil }
func (noSink) Complete(Summary) error      { return nil }
func (noSink) Fail(*failure.Refusal) error { return nil }
func (noSink) Started() bool               { return false }
