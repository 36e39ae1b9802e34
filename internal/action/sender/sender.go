// Package sender sends an action to one endpoint at most once, over HTTP/1.1.
//
// net/http's Transport retries a request by itself if the pooled connection
// that it has chosen turns out to be closed. Transport.roundTrip calls
// persistConn.shouldRetryRequest (transport.go), which allows a retry on a
// reused connection if nothing was written and the body can be rewound, or if
// Request.isReplayable (request.go), that is for GET, HEAD, OPTIONS and TRACE
// and for any request with an Idempotency-Key or X-Idempotency-Key header,
// whose body is empty or can be rewound (Request.GetBody). The endpoint may
// have executed the first copy by then.
//
// This package therefore opens a new connection for each dispatch with
// http.Transport.NewClientConn, which has no pool and doesn't retry. It sends
// one request on it, without such a header and without GetBody, follows no
// redirect, and closes the connection.
package sender

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// The headers between the gateway and endpoints.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderActionID is the same for every delivery of one action.
	HeaderActionID = "X-Action-Id"
	// HeaderFencingToken is for endpoints that check fencing tokens.
	HeaderFencingToken = "X-Fencing-Number"
)

// Endpoint is the endpoint to which a request is sent, with the method and path
// of the call.
type Endpoint struct {
	ID          string
	Incarnation string
	// Address is host:port.
	Address string
	Method  string
	Path    string
	// ChecksFencing reports whether the endpoint checks fencing tokens.
	ChecksFencing bool
}

// Picker chooses endpoints.
type Picker interface {
	// Pick returns an endpoint for the request that is not in tried, which
	// holds the ids of endpoints to which no connection could be established.
	// An error ends the dispatch. If it is a *failure.Refusal, the caller gets
	// it.
	Pick(ctx context.Context, r action.DispatchRequest, tried []string) (Endpoint, error)
}

// DialFunc establishes a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Limits bound one dispatch. A zero field takes its value from DefaultLimits.
type Limits struct {
	// DialTimeout bounds the establishment of one connection.
	DialTimeout time.Duration
	// BodyIdleTimeout bounds the time between two reads from a response body.
	// The request's timeout bounds the time to the first byte.
	BodyIdleTimeout time.Duration
	// MaxBodyBytes is the maximum length of a response body.
	MaxBodyBytes int64
	// MaxDialAttempts is the maximum number of endpoints that are tried.
	MaxDialAttempts int
}

// DefaultLimits returns the limits of a gateway.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:     500 * time.Millisecond,
		BodyIdleTimeout: 2 * time.Second,
		MaxBodyBytes:    4 << 20,
		MaxDialAttempts: 4,
	}
}

// Sender is an action.Dispatcher for endpoints that speak HTTP/1.1.
type Sender struct {
	picker    Picker
	limits    Limits
	transport transport.CheckedTransport
	// onSignals, if not nil, is called for responses that say something of their
	// endpoints.
	onSignals SignalsFunc
}

// SignalsFunc receives what an endpoint says of itself in a response. err is set if a
// part of it can't be read.
type SignalsFunc func(ep Endpoint, s httpmeta.Signals, err error)

// OnSignals sets the function that receives what endpoints say of themselves. It must be
// called before the first dispatch.
func (s *Sender) OnSignals(fn SignalsFunc) { s.onSignals = fn }

func (s *Sender) observeSignals(ep Endpoint, resp *http.Response) {
	if s.onSignals == nil {
		return
	}
	signals, err := httpmeta.ReadSignals(resp.StatusCode, resp.Header)
	if err != nil || signals != (httpmeta.Signals{}) {
		s.onSignals(ep, signals, err)
	}
}

// New returns a sender. If dial is nil, a net.Dialer without keep-alive probes
// is used.
func New(picker Picker, limits Limits, dial DialFunc) *Sender {
	def := DefaultLimits()
	if limits.DialTimeout == 0 {
		limits.DialTimeout = def.DialTimeout
	}
	if limits.BodyIdleTimeout == 0 {
		limits.BodyIdleTimeout = def.BodyIdleTimeout
	}
	if limits.MaxBodyBytes == 0 {
		limits.MaxBodyBytes = def.MaxBodyBytes
	}
	if limits.MaxDialAttempts == 0 {
		limits.MaxDialAttempts = def.MaxDialAttempts
	}
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	checked := transport.NewCheckedTransport(&http.Transport{
		DialContext:            dial,
		Protocols:              &protocols,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
	})
	return &Sender{picker: picker, limits: limits, transport: checked}
}

// Dispatch sends r to the first endpoint that accepts a connection. Once a
// connection is established, no other endpoint is tried, whatever happens.
func (s *Sender) Dispatch(ctx context.Context, r action.DispatchRequest) (action.EndpointResponse, error) {
	var tried []string
	var dialErr error
	for range s.limits.MaxDialAttempts {
		ep, err := s.picker.Pick(ctx, r, tried)
		if err != nil {
			return action.EndpointResponse{}, &action.NotSentError{Cause: errors.CombineErrors(err, dialErr)}
		}
		conn, err := s.dial(ctx, ep)
		if err != nil {
			dialErr = err
			tried = append(tried, ep.ID)
			continue
		}
		return s.commitAndSend(ctx, conn, ep, r)
	}
	return action.EndpointResponse{}, &action.NotSentError{Cause: dialErr}
}

// dial establishes the connection for one dispatch.
func (s *Sender) dial(ctx context.Context, ep Endpoint) (*http.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.DialTimeout)
	defer cancel()
	return s.transport.NewClientConn(ctx, "http", ep.Address)
}

// commitAndSend commits r and sends it on conn, which it closes.
func (s *Sender) commitAndSend(ctx context.Context, conn *http.ClientConn, ep Endpoint, r action.DispatchRequest) (action.EndpointResponse, error) {
	defer conn.Close()
	if err := r.Commit(); err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	ctx, span := telemetry.Tracer().Start(ctx, telemetry.SpanAction, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", ep.ID), attribute.String("attempt_id", r.AttemptID)))
	defer span.End()
	resp, err := s.roundTrip(ctx, conn, ep, r)
	if err != nil {
		span.SetStatus(codes.Error, "no complete response")
		return action.EndpointResponse{}, &action.MaybeSentError{Cause: err}
	}
	return resp, nil
}

// roundTrip sends the request and reads the complete response.
func (s *Sender) roundTrip(ctx context.Context, conn *http.ClientConn, ep Endpoint, r action.DispatchRequest) (action.EndpointResponse, error) {
	req, err := newRequest(ctx, ep, r)
	if err != nil {
		return action.EndpointResponse{}, err
	}
	resp, err := conn.RoundTrip(req)
	if err != nil {
		return action.EndpointResponse{}, err
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderAttemptID); got != r.AttemptID {
		return action.EndpointResponse{}, &ResponseMismatchError{EndpointID: ep.ID, Want: r.AttemptID, Got: got}
	}
	s.observeSignals(ep, resp)
	body, err := s.readBody(conn, resp, ep)
	if err != nil {
		return action.EndpointResponse{}, err
	}
	return action.EndpointResponse{
		EndpointID:  ep.ID,
		Status:      resp.StatusCode,
		Body:        body,
		ContentType: resp.Header.Get("Content-Type"),
	}, nil
}

// newRequest returns the HTTP request for r. Its body can't be rewound.
func newRequest(ctx context.Context, ep Endpoint, r action.DispatchRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, ep.Method, "http://"+ep.Address+ep.Path, newRequestBody(r.Body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	req.Close = true
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	req.Header.Set(HeaderRequestID, r.RequestID)
	req.Header.Set(HeaderAttemptID, r.AttemptID)
	req.Header.Set(HeaderActionID, r.ActionID)
	if ep.ChecksFencing {
		req.Header.Set(HeaderFencingToken, fmt.Sprint(r.FencingToken))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// readBody reads the response body within MaxBodyBytes and BodyIdleTimeout.
func (s *Sender) readBody(conn *http.ClientConn, resp *http.Response, ep Endpoint) ([]byte, error) {
	idleTimer := time.AfterFunc(s.limits.BodyIdleTimeout, func() { _ = conn.Close() })
	defer idleTimer.Stop()
	reader := &idleTimeoutReader{r: resp.Body, timer: idleTimer, timeout: s.limits.BodyIdleTimeout}
	body, err := io.ReadAll(io.LimitReader(reader, s.limits.MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > s.limits.MaxBodyBytes {
		return nil, &ResponseTooLongError{EndpointID: ep.ID, Limit: s.limits.MaxBodyBytes}
	}
	return body, nil
}
