package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// Timeouts and connection limits of calls to other gateways.
const (
	dialTimeout         = 1 * time.Second
	exchangeTimeout     = 2 * time.Second
	snapshotTimeout     = 5 * time.Second
	handoverTimeout     = 3 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerPeer = 4
)

// NotSentError reports that no part of a request was sent to the peer.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent to peer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ResponseLostError reports that a request may have reached the peer and that no
// complete, valid response came back.
type ResponseLostError struct{ Cause error }

// Error implements error.
func (e *ResponseLostError) Error() string { return fmt.Sprintf("response of peer lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ResponseLostError) Unwrap() error { return e.Cause }

// StatusError reports a response whose status is not 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d from peer", e.Status) }

// Client sends requests to other gateways. It is safe for concurrent use.
type Client struct {
	signer *Signer
	pooled *http.Client
	// unpooled opens a connection for each request, as the transport may resend
	// a request on a pooled connection. It is used where that must not happen.
	unpooled *http.Client
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that signs requests with signer and connects with
// dial. A nil dial uses a plain net.Dialer.
func NewClient(signer *Signer, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	pooled := transport.NewCheckedTransport(&http.Transport{
		DialContext:         dialWithTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
	})
	unpooled := transport.NewCheckedTransport(&http.Transport{
		DialContext:       dialWithTimeout,
		DisableKeepAlives: true,

		MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
	})
	return &Client{
		signer:   signer,
		pooled:   &http.Client{Transport: pooled},
		unpooled: &http.Client{Transport: unpooled},
	}
}

// CloseIdleConnections closes the idle pooled connections.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// Exchange sends msg to the peer at address and returns the peer's exchange. A
// call that times out or is cancelled closes the idle connections, as they may
// be unresponsive as well.
func (c *Client) Exchange(ctx context.Context, address string, msg Exchange) (Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	body, err := c.post(ctx, address, PathExchange, msg, MaxExchangeBytes)
	if ctx.Err() != nil {
		c.CloseIdleConnections()
	}
	if err != nil {
		return Exchange{}, err
	}
	return decodeExchange(body), nil
}

// FetchSnapshot returns the peer's configuration if its revision is at least
// minRevision. If it is lower, the error is a *StatusError with status 404.
func (c *Client) FetchSnapshot(ctx context.Context, address string, minRevision uint64) ([]byte, error) {
	return c.FetchDelta(ctx, address, minRevision, nil)
}

// FetchDelta is like FetchSnapshot, but the response may leave out the contents
// whose digests are in have.
func (c *Client) FetchDelta(ctx context.Context, address string, minRevision uint64, have []string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	body, err := json.Marshal(SnapshotRequest{MinRevision: minRevision, Have: have})
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req, err := c.newRequest(ctx, http.MethodPost, address, PathSnapshot, nil, body)
	if err != nil {
		return nil, err
	}
	snapshot, err := c.roundTrip(c.pooled, req, MaxSnapshotBytes)
	if ctx.Err() != nil {
		c.CloseIdleConnections()
	}
	return snapshot, err
}

// AnnouncePrefills sends announcements of large prefills to the peer at address.
func (c *Client) AnnouncePrefills(ctx context.Context, address string, list []datastore.PrefillAnnouncement) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, err := c.post(ctx, address, PathAnnounce, list, MaxExchangeBytes)
	return err
}

// FetchEndpoints returns the endpoints of the peer's region that the peer knows.
func (c *Client) FetchEndpoints(ctx context.Context, address string) ([]Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	body, err := c.post(ctx, address, PathEndpoints, struct{}{}, MaxEndpointsBytes)
	if err != nil {
		return nil, err
	}
	var out []Endpoint
	if problems := lenient.DecodeList(body, &out); len(problems) > 0 && len(out) == 0 {
		return nil, &ResponseLostError{Cause: problems[0].Err}
	}
	return out, nil
}

// Forward forwards a caller's request to the peer at address and returns the
// response, of any status, with a body that is still to be read and closed. The
// request goes out on a connection of its own, so that the transport never sends
// it twice. Its errors are *NotSentError and *ResponseLostError.
func (c *Client) Forward(ctx context.Context, address, method, path string, header http.Header, fwd Forward, body []byte) (*http.Response, error) {
	encoded, err := json.Marshal(fwd)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	h := header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(HeaderForward, string(encoded))
	req, err := c.newRequest(ctx, method, address, PathForward+path, h, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	return c.send(c.unpooled, req)
}

// SignForward returns a function that sets the forward header of a request and
// signs it. If fwd cannot be encoded, the function leaves the request unsigned.
func (c *Client) SignForward(fwd Forward) func(req *http.Request, body []byte) {
	return func(req *http.Request, body []byte) {
		encoded, err := json.Marshal(fwd)
		if err != nil {
			return
		}
		req.Header.Set(HeaderForward, string(encoded))
		c.signer.Sign(req, body)
	}
}

func (c *Client) postJSON(ctx context.Context, address, path string, in, out any, limit int64) error {
	response, err := c.post(ctx, address, path, in, limit)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(response, out); err != nil {
		return &ResponseLostError{Cause: err}
	}
	return nil
}

// post sends a message in JSON and returns the body of the response.
func (c *Client) post(ctx context.Context, address, path string, in any, limit int64) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req, err := c.newRequest(ctx, http.MethodPost, address, path, nil, body)
	if err != nil {
		return nil, err
	}
	return c.roundTrip(c.pooled, req, limit)
}

func (c *Client) newRequest(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Request, error) {
	target, err := url.Parse("http://" + address + path)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	for k, v := range header {
		req.Header[k] = v
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	c.signer.Sign(req, body)
	return req, nil
}

// send performs req. Its error is a *NotSentError if no connection was obtained,
// and else a *ResponseLostError.
func (c *Client) send(client *http.Client, req *http.Request) (*http.Response, error) {
	trace := &connTrace{}
	resp, err := client.Do(req.WithContext(trace.with(req.Context())))
	if err == nil {
		return resp, nil
	}
	if !trace.connected() {
		return nil, &NotSentError{Cause: err}
	}
	return nil, &ResponseLostError{Cause: err}
}

func (c *Client) roundTrip(client *http.Client, req *http.Request, limit int64) ([]byte, error) {
	resp, err := c.send(client, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, &ResponseLostError{Cause: err}
	}
	if int64(len(body)) > limit {
		return nil, &ResponseLostError{Cause: &TooLargeError{Limit: limit}}
	}
	return body, nil
}

// TooLargeError reports that a response body exceeds the limit in bytes.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("response body larger than %d bytes", e.Limit)
}
