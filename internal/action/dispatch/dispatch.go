// Package dispatch sends an action to one endpoint at most once, over HTTP/1.1.
//
// net/http's Transport re-sends a request by itself when the pooled connection
// it chose turns out to be closed: Transport.roundTrip asks
// persistConn.shouldRetryRequest (transport.go), which says yes on a reused
// connection if nothing was written and the body can be rewound, or if
// Request.isReplayable (request.go), that is for GET, HEAD, OPTIONS and TRACE
// and for any request with an Idempotency-Key or X-Idempotency-Key header,
// whose body is empty or can be rewound (Request.GetBody). The first copy may
// have been executed by then.
//
// This package therefore makes a connection for each dispatch
// (http.Transport.NewClientConn), which has no pool and no retry, sends one
// request on it without such a header and without GetBody, follows no redirect,
// and closes it.
package dispatch

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
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// The headers between the gateway and endpoints.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderActionID is the same for every delivery of one action.
	HeaderActionID = "X-Action-Id"
	// HeaderFencingToken is the fencing number, for endpoints that check one.
	HeaderFencingToken = "X-Fencing-Number"
)

// Endpoint is where a call goes.
type Endpoint struct {
	ID string
	// Address is host:port.
	Address string
	Method  string
	Path    string
	// ChecksFencing says that the endpoint checks fencing numbers.
	ChecksFencing bool
}

// Picker chooses endpoints.
type Picker interface {
	// Pick returns an endpoint for the order that is not in tried, which holds
	// the ids of endpoints that took no connection. The error is what the
	// caller is shown when nothing was sent, best a *failure.Refusal.
	Pick(ctx context.Context, o action.DispatchRequest, tried []string) (Endpoint, error)
}

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Limits bound one dispatch. A zero field takes its value from DefaultLimits.
type Limits struct {
	// Dial bounds the making of one connection.
	Dial time.Duration
	// Gap bounds the silence between two pieces of an answer's body. The
	// answer's first byte is bounded by the order's timeout.
	Gap time.Duration
	// MaxBody is the longest answer body, in bytes.
	MaxBody int64
	// MaxDials is the most endpoints that are tried.
	MaxDials int
}

// DefaultLimits are the limits of a gateway.
func DefaultLimits() Limits {
	return Limits{
		Dial:     500 * time.Millisecond,
		Gap:      2 * time.Second,
		MaxBody:  4 << 20,
		MaxDials: 4,
	}
}

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

// Sender is an action.Dispatcher for endpoints that speak HTTP/1.1.
type Sender struct {
	picker    Picker
	limits    Limits
	transport *http.Transport
}

// New returns a sender. dial is a net.Dialer's if nil.
func New(picker Picker, limits Limits, dial DialFunc) *Sender {
	def := DefaultLimits()
	if limits.Dial == 0 {
		limits.Dial = def.Dial
	}
	if limits.Gap == 0 {
		limits.Gap = def.Gap
	}
	if limits.MaxBody == 0 {
		limits.MaxBody = def.MaxBody
	}
	if limits.MaxDials == 0 {
		limits.MaxDials = def.MaxDials
	}
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:            dial,
		Protocols:              &protocols,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Sender{picker: picker, limits: limits, transport: transport}
}

// Dispatch sends o to the first endpoint that takes a connection. Once a
// connection is made no other endpoint is tried, whatever happens.
func (s *Sender) Dispatch(ctx context.Context, o action.DispatchRequest) (action.EndpointResponse, error) {
	var tried []string
	var dialErr error
	for range s.limits.MaxDials {
		ep, err := s.picker.Pick(ctx, o, tried)
		if err != nil {
			return action.EndpointResponse{}, &action.NotSentError{Cause: errors.CombineErrors(err, dialErr)}
		}
		conn, err := s.dial(ctx, ep)
		if err != nil {
			dialErr = err
			tried = append(tried, ep.ID)
			continue
		}
		return s.sendOn(ctx, conn, ep, o)
	}
	return action.EndpointResponse{}, &action.NotSentError{Cause: dialErr}
}

// dial makes the connection for one dispatch.
func (s *Sender) dial(ctx context.Context, ep Endpoint) (*http.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Dial)
	defer cancel()
	return s.transport.NewClientConn(ctx, "http", ep.Address)
}

// sendOn commits o and sends it on conn, which it closes.
func (s *Sender) sendOn(ctx context.Context, conn *http.ClientConn, ep Endpoint, o action.DispatchRequest) (action.EndpointResponse, error) {
	defer conn.Close()
	if err := o.Commit(); err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	ctx, span := telemetry.Tracer().Start(ctx, telemetry.SpanAction, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", ep.ID), attribute.String("attempt_id", o.AttemptID)))
	defer span.End()
	reply, err := s.exchange(ctx, conn, ep, o)
	if err != nil {
		span.SetStatus(codes.Error, "no whole answer")
		return action.EndpointResponse{}, &action.MaybeSentError{Cause: err}
	}
	return reply, nil
}

// exchange sends the request and reads the whole answer.
func (s *Sender) exchange(ctx context.Context, conn *http.ClientConn, ep Endpoint, o action.DispatchRequest) (action.EndpointResponse, error) {
	req, err := newRequest(ctx, ep, o)
	if err != nil {
		return action.EndpointResponse{}, err
	}
	resp, err := conn.RoundTrip(req)
	if err != nil {
		return action.EndpointResponse{}, err
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderAttemptID); got != o.AttemptID {
		return action.EndpointResponse{}, &ResponseMismatchError{Endpoint: ep.ID, Want: o.AttemptID, Got: got}
	}
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

// newRequest makes the one request. Its body can't be rewound.
func newRequest(ctx context.Context, ep Endpoint, o action.DispatchRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, ep.Method, "http://"+ep.Address+ep.Path, newBody(o.Body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(o.Body))
	req.Close = true
	if o.ContentType != "" {
		req.Header.Set("Content-Type", o.ContentType)
	}
	req.Header.Set(HeaderRequestID, o.RequestID)
	req.Header.Set(HeaderAttemptID, o.AttemptID)
	req.Header.Set(HeaderActionID, o.ActionID)
	if ep.ChecksFencing {
		req.Header.Set(HeaderFencingToken, fmt.Sprint(o.FencingToken))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// readBody reads the answer's body within the limits on size and silence.
func (s *Sender) readBody(conn *http.ClientConn, resp *http.Response, ep Endpoint) ([]byte, error) {
	silence := time.AfterFunc(s.limits.Gap, func() { _ = conn.Close() })
	defer silence.Stop()
	in := &watchedReader{r: resp.Body, timer: silence, gap: s.limits.Gap}
	body, err := io.ReadAll(io.LimitReader(in, s.limits.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > s.limits.MaxBody {
		return nil, &ResponseTooLongError{Endpoint: ep.ID, Limit: s.limits.MaxBody}
	}
	return body, nil
}
