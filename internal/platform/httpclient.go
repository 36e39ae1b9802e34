package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// maxErrorBodyBytes bounds the body of an error response.
const maxErrorBodyBytes = 4 << 10

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

var (
	silentConnections = telemetry.NewCounter("platform_silent_connections", "connections", "connections to the platform closed because no response arrived in time")
	failedCalls       = telemetry.NewCounter("platform_failed_calls", "calls", "calls to the platform without a usable response")
	overloadedCalls   = telemetry.NewCounter("platform_overloaded_calls", "calls", "calls that the platform rejected with status 429 or 503")
)

// SilenceTimeoutError says that no complete response arrived within the limit.
type SilenceTimeoutError struct{ Limit time.Duration }

// Error implements error.
func (e *SilenceTimeoutError) Error() string {
	return fmt.Sprintf("no complete response within %s", e.Limit)
}

// StatusError says that a service responded with an error status.
type StatusError struct {
	Status int
	// Message is the body of the response.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// KeyMismatchError says that a response is for another key than the call.
type KeyMismatchError struct{ Want, Got string }

// Error implements error.
func (e *KeyMismatchError) Error() string {
	return fmt.Sprintf("response is for key %q, not %q", e.Got, e.Want)
}

// ResponseTooLargeError says that the body of a response exceeds the limit.
type ResponseTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response exceeds %d bytes", e.Limit)
}

// client calls one service of the platform over HTTP. It is safe for concurrent
// use.
type client struct {
	baseURL   string
	opts      Options
	transport transport.CheckedTransport
	// eras holds the eras that the service's responses name.
	eras eraTracker
}

func newClient(baseURL string, o Options) *client {
	o = o.withDefaults()
	return &client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		opts:    o,
		transport: transport.NewCheckedTransport(&http.Transport{
			DialContext:            o.dial,
			MaxIdleConnsPerHost:    o.MaxIdleConns,
			IdleConnTimeout:        o.IdleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		}),
	}
}

// Close closes the idle connections. Calls in progress continue.
func (c *client) Close() { c.transport.CloseIdleConnections() }

func (o Options) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	return o.Dial(ctx, network, address)
}

// call describes one call to a service.
type call struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	// isWrite says that the call changes state on the service, so that it must
	// not be sent twice.
	isWrite bool
	// era is the era in which a write may take effect, 0 for any.
	era uint64
	// etag is the entity tag of the cached response, sent as If-None-Match. The
	// service responds 304 without a body if its response would be the same.
	etag string
	// timeout bounds each attempt at the call, to the end of its response.
	timeout  time.Duration
	maxBytes int64
}

// response holds the parts of an HTTP response that decode needs.
type response struct {
	status int
	etag   string
	body   []byte
	// restored is set if the response is from an era that is over.
	restored *RestoredError
}

// do makes the call and decodes the body of a 200 response into out, unless out
// is nil.
func (c *client) do(ctx context.Context, k call, out any) error {
	r, err := c.send(ctx, k)
	if err != nil {
		return err
	}
	return k.decode(r, out)
}

// send makes the call. A read whose connection failed or went silent is retried
// once, on another connection. A write is sent once. An error is an
// *UnavailableError.
func (c *client) send(ctx context.Context, k call) (response, error) {
	r, sent, err := c.attempt(ctx, k)
	if err != nil && !k.isWrite && sent && ctx.Err() == nil {
		r, sent, err = c.attempt(ctx, k)
	}
	if err != nil {
		return response{}, newUnavailableError(k, sent, err)
	}
	return r, nil
}

// newUnavailableError counts a failed call and returns its error.
// maybeProcessed says that the service may have processed the call.
func newUnavailableError(k call, maybeProcessed bool, err error) error {
	failedCalls.Inc()
	return &UnavailableError{Op: k.op, MaybeApplied: k.isWrite && maybeProcessed, Cause: err}
}

// attempt sends the call once. sent is false only if no byte can have been
// written to a connection.
//
// On a timeout it also closes the idle connections, which may have gone silent
// with this one.
//
// http.Transport resends a request by itself if a pooled connection turns out to
// be closed: always if no byte was written, otherwise only if the request is a
// GET or carries an Idempotency-Key. The writes of this package are neither.
func (c *client) attempt(ctx context.Context, k call) (r response, sent bool, err error) {
	silenceErr := &SilenceTimeoutError{Limit: k.timeout}
	ctx, cancel := context.WithTimeoutCause(ctx, k.timeout, silenceErr)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err = c.roundTrip(ctx, k)
	if err != nil && errors.Is(context.Cause(ctx), silenceErr) {
		silentConnections.Inc()
		c.transport.CloseIdleConnections()
		err = silenceErr
	}
	return r, connected.Load(), err
}

func (c *client) roundTrip(ctx context.Context, k call) (response, error) {
	rawURL := c.baseURL + k.path
	if len(k.query) > 0 {
		rawURL += "?" + k.query.Encode()
	}
	var body io.Reader
	if k.body != nil {
		body = bytes.NewReader(k.body)
	}
	req, err := http.NewRequestWithContext(ctx, k.method, rawURL, body)
	if err != nil {
		return response{}, err
	}
	if k.etag != "" {
		req.Header.Set("If-None-Match", k.etag)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	era, newest := c.eras.observe(resp.Header, time.Now())
	r, err := readResponse(resp, k.maxBytes)
	if era != 0 && era < newest {
		r.restored = &RestoredError{Want: newest, Got: era}
	}
	return r, err
}

// readResponse reads a body of at most limit bytes, or of maxErrorBodyBytes for a
// status of 300 or above.
func readResponse(resp *http.Response, limit int64) (response, error) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		limit = maxErrorBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, err
	}
	if int64(len(body)) > limit {
		return response{}, &ResponseTooLargeError{Limit: limit}
	}
	return response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, nil
}

// conflictBody is the body of a 409 response.
type conflictBody struct {
	Actual uint64 `json:"actual"`
}

// eraBody is the body of a 412 response.
type eraBody struct {
	Era uint64 `json:"era"`
}

// decode decodes the body of a successful response into out, unless out is nil,
// and returns the typed error of any other response.
func (k call) decode(r response, out any) error {
	if r.restored != nil {
		return newUnavailableError(k, true, r.restored)
	}
	switch r.status {
	case http.StatusOK, http.StatusNoContent:
		return k.decodeBody(r.body, out)
	case http.StatusNotFound:
		return &NotFoundError{Key: k.notFoundKey()}
	case http.StatusConflict:
		var c conflictBody
		if err := json.Unmarshal(r.body, &c); err != nil {
			return newUnavailableError(k, false, err)
		}
		return &ConflictError{Key: k.target(), ActualVersion: c.Actual}
	case http.StatusPreconditionFailed:
		var e eraBody
		if err := json.Unmarshal(r.body, &e); err != nil {
			return newUnavailableError(k, false, err)
		}
		return &RestoredError{Want: k.era, Got: e.Era}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		overloadedCalls.Inc()
		return newUnavailableError(k, false, newStatusError(r))
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return newUnavailableError(k, false, newStatusError(r))
	default:
		return newUnavailableError(k, true, newStatusError(r))
	}
}

// decodeBody decodes a body and checks that an Entry is for the key of the call.
func (k call) decodeBody(body []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return newUnavailableError(k, true, err)
	}
	if e, ok := out.(*Entry); ok && e.Key != k.target() {
		return newUnavailableError(k, true, &KeyMismatchError{Want: k.target(), Got: e.Key})
	}
	return nil
}

func newStatusError(r response) error {
	return &StatusError{Status: r.status, Message: strings.TrimSpace(string(r.body))}
}

// notFoundKey returns the key or lease that a 404 response is about. For a call
// with a lease that is the lease, because a write can't fail for a missing key.
func (k call) notFoundKey() string {
	if lease := k.query.Get("lease"); lease != "" {
		return lease
	}
	return k.target()
}

// target returns the key or lease that the call is about, or the path if it is
// about neither.
func (k call) target() string {
	for _, prefix := range []string{kvPath, watchPath, leasePath} {
		if rest, ok := strings.CutPrefix(k.path, prefix); ok {
			if unescaped, err := url.PathUnescape(rest); err == nil {
				return unescaped
			}
			return rest
		}
	}
	return k.path
}
