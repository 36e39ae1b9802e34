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

	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// Times of calls between gateways.
const (
	dialTimeout     = 1 * time.Second
	exchangeTimeout = 2 * time.Second
	snapshotTimeout = 5 * time.Second
	handoverTimeout = 3 * time.Second
	idleTimeout     = 30 * time.Second
	idlePerPeer     = 4
)

// NotSentError says that nothing of a call reached the peer.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to peer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ResponseLostError says that a call may have reached the peer and its answer is lost.
type ResponseLostError struct{ Cause error }

// Error implements error.
func (e *ResponseLostError) Error() string { return fmt.Sprintf("answer of peer lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ResponseLostError) Unwrap() error { return e.Cause }

// StatusError says that a peer refused a call.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("peer answered with status %d", e.Status) }

// Client calls other gateways.
type Client struct {
	signer *Signer
	pooled *http.Client
	// single opens a connection for each call: for calls that must not be
	// sent twice by the transport.
	single *http.Client
}

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that signs with signer and connects by dial; nil
// dials TCP.
func NewClient(signer *Signer, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	pooled := &http.Transport{
		DialContext:         bounded,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
	}
	single := &http.Transport{
		DialContext:       bounded,
		DisableKeepAlives: true,
	}
	return &Client{
		signer: signer,
		pooled: &http.Client{Transport: pooled},
		single: &http.Client{Transport: single},
	}
}

// CloseIdleConnections closes the pooled connections that are idle.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// Exchange sends msg to the peer at address and returns its answer. A call
// that times out closes the idle connections, as they may be silent as well.
func (c *Client) Exchange(ctx context.Context, address string, msg Exchange) (Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply Exchange
	err := c.postJSON(ctx, address, PathExchange, msg, &reply, MaxExchangeBytes)
	if ctx.Err() != nil {
		c.CloseIdleConnections()
	}
	return reply, err
}

// FetchSnapshot returns the configuration that the peer holds, if its revision
// is at least minRevision.
func (c *Client) FetchSnapshot(ctx context.Context, address string, minRevision uint64) ([]byte, error) {
	return c.FetchDelta(ctx, address, minRevision, nil)
}

// FetchDelta is FetchSnapshot, but the answer may leave out the contents whose
// digests are in have.
func (c *Client) FetchDelta(ctx context.Context, address string, minRevision uint64, have []string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	body, err := json.Marshal(SnapshotRequest{MinRevision: minRevision, Have: have})
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req, err := c.request(ctx, http.MethodPost, address, PathSnapshot, nil, body)
	if err != nil {
		return nil, err
	}
	snapshot, err := c.roundTrip(c.pooled, req, MaxSnapshotBytes)
	if ctx.Err() != nil {
		c.CloseIdleConnections()
	}
	return snapshot, err
}

// AnnouncePrefills tells the peer at address of large prefills.
func (c *Client) AnnouncePrefills(ctx context.Context, address string, list []datastore.PrefillAnnouncement) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return c.postJSON(ctx, address, PathAnnounce, list, nil, MaxExchangeBytes)
}

// FetchEndpoints returns the endpoints of the region as the peer knows them.
func (c *Client) FetchEndpoints(ctx context.Context, address string) ([]Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var out []Endpoint
	err := c.postJSON(ctx, address, PathEndpoints, struct{}{}, &out, MaxEndpointsBytes)
	return out, err
}

// Forward sends a caller's request on to the peer at address and returns the
// answer as it comes. The call goes out on a connection of its own, so that
// the transport never sends it twice.
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
	req, err := c.request(ctx, method, address, PathForward+path, h, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	return c.send(c.single, req)
}

// SignForward returns a function that marks a request as forwarded and signs it.
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
	body, err := json.Marshal(in)
	if err != nil {
		return &NotSentError{Cause: err}
	}
	req, err := c.request(ctx, http.MethodPost, address, path, nil, body)
	if err != nil {
		return err
	}
	answer, err := c.roundTrip(c.pooled, req, limit)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &ResponseLostError{Cause: err}
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Request, error) {
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

// send performs req and tells a failed dial from a lost answer.
func (c *Client) send(client *http.Client, req *http.Request) (*http.Response, error) {
	sent := &sentTrace{}
	resp, err := client.Do(req.WithContext(sent.with(req.Context())))
	if err == nil {
		return resp, nil
	}
	if !sent.connected() {
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

// TooLargeError says that a body is larger than its limit, in bytes.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("body larger than %d bytes", e.Limit) }
