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
)

// maxErrorBytes bounds how much of a refusal's body is read.
const maxErrorBytes = 4 << 10

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

var (
	silentConnections = telemetry.NewCounter("platform_silent_connections", "connections", "connections to the platform closed because no answer came in time")
	failedCalls       = telemetry.NewCounter("platform_failed_calls", "calls", "calls to the platform without a usable answer")
	overloadedCalls   = telemetry.NewCounter("platform_overloaded_calls", "calls", "calls that the platform refused as too many")
)

// SilenceTimeoutError says that no whole answer came within the limit.
type SilenceTimeoutError struct{ Limit time.Duration }

// Error implements error.
func (e *SilenceTimeoutError) Error() string { return fmt.Sprintf("no answer within %s", e.Limit) }

// StatusError says that a service answered with a status that means failure.
type StatusError struct {
	Status int
	// Message is the start of the answer's body.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// KeyMismatchError says that an answer is about another key than the call.
type KeyMismatchError struct{ Want, Got string }

// Error implements error.
func (e *KeyMismatchError) Error() string {
	return fmt.Sprintf("answer for key %q, not %q", e.Got, e.Want)
}

// ResponseTooLargeError says that an answer exceeds the limit.
type ResponseTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}

// caller makes the calls on one service of the platform.
type caller struct {
	base      string
	opts      Options
	transport *http.Transport
}

func newCaller(baseURL string, o Options) *caller {
	o = o.withDefaults()
	return &caller{
		base: strings.TrimSuffix(baseURL, "/"),
		opts: o,
		transport: &http.Transport{
			DialContext:            o.dial,
			MaxIdleConnsPerHost:    o.MaxIdleConns,
			IdleConnTimeout:        o.IdleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// Close closes the idle connections. Calls under way go on.
func (c *caller) Close() { c.transport.CloseIdleConnections() }

func (o Options) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	return o.Dial(ctx, network, address)
}

// call describes one call.
type call struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	// write says that the call changes something, so that it must not be sent
	// twice.
	write bool
	// etag is that of the answer at hand; a service whose answer is still the
	// same says so in place of repeating it.
	etag string
	// limit bounds the whole call on one connection.
	limit    time.Duration
	maxBytes int64
}

// answer is what a service answered.
type answer struct {
	status int
	etag   string
	body   []byte
}

// do makes the call and decodes a 200 answer into out, unless that is nil.
// A read whose connection failed or went silent is tried once more on a new
// connection. A write is sent once.
func (c *caller) do(ctx context.Context, k call, out any) error {
	a, err := c.answer(ctx, k)
	if err != nil {
		return err
	}
	return k.decode(a, out)
}

func (c *caller) answer(ctx context.Context, k call) (answer, error) {
	a, sent, err := c.attempt(ctx, k)
	if err != nil && !k.write && sent && ctx.Err() == nil {
		a, sent, err = c.attempt(ctx, k)
	}
	if err != nil {
		return answer{}, unavailable(k, sent, err)
	}
	return a, nil
}

func unavailable(k call, sent bool, err error) error {
	failedCalls.Inc()
	return &UnavailableError{Op: k.op, MaybeApplied: k.write && sent, Cause: err}
}

// attempt sends the call once. sent is false only when no byte can have left.
//
// The transport sends a request again by itself when a pooled connection turns
// out to be closed: always if no byte was written, and else only if the request
// is a GET or carries an Idempotency-Key. Writes here are neither.
func (c *caller) attempt(ctx context.Context, k call) (a answer, sent bool, err error) {
	silence := &SilenceTimeoutError{Limit: k.limit}
	ctx, cancel := context.WithTimeoutCause(ctx, k.limit, silence)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	a, err = c.exchange(ctx, k)
	if err != nil && errors.Is(context.Cause(ctx), silence) {
		silentConnections.Inc()
		c.transport.CloseIdleConnections()
		err = silence
	}
	return a, connected.Load(), err
}

func (c *caller) exchange(ctx context.Context, k call) (answer, error) {
	target := c.base + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	var body io.Reader
	if k.body != nil {
		body = bytes.NewReader(k.body)
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, body)
	if err != nil {
		return answer{}, err
	}
	if k.etag != "" {
		req.Header.Set("If-None-Match", k.etag)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	return readAnswer(resp, k.maxBytes)
}

func readAnswer(resp *http.Response, limit int64) (answer, error) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		limit = maxErrorBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, err
	}
	if int64(len(body)) > limit {
		return answer{}, &ResponseTooLargeError{Limit: limit}
	}
	return answer{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, nil
}

// conflictBody is the body of a 409.
type conflictBody struct {
	Actual uint64 `json:"actual"`
}

func (k call) decode(a answer, out any) error {
	switch a.status {
	case http.StatusOK, http.StatusNoContent:
		return k.decodeBody(a.body, out)
	case http.StatusNotFound:
		return &NotFoundError{Key: k.missing()}
	case http.StatusConflict:
		var c conflictBody
		if err := json.Unmarshal(a.body, &c); err != nil {
			return unavailable(k, false, err)
		}
		return &ConflictError{Key: k.subject(), ActualVersion: c.Actual}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		overloadedCalls.Inc()
		return unavailable(k, false, statusError(a))
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return unavailable(k, false, statusError(a))
	default:
		return unavailable(k, true, statusError(a))
	}
}

func (k call) decodeBody(body []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return unavailable(k, true, err)
	}
	if e, ok := out.(*Entry); ok && e.Key != k.subject() {
		return unavailable(k, true, &KeyMismatchError{Want: k.subject(), Got: e.Key})
	}
	return nil
}

func statusError(a answer) error {
	return &StatusError{Status: a.status, Message: strings.TrimSpace(string(a.body))}
}

// missing is what a 404 is about: a write of a key misses only its lease.
func (k call) missing() string {
	if lease := k.query.Get("lease"); lease != "" {
		return lease
	}
	return k.subject()
}

// subject is the key or lease that the call is about.
func (k call) subject() string {
	for _, prefix := range []string{kvPath, watchPath, leasePath} {
		if rest, ok := strings.CutPrefix(k.path, prefix); ok {
			if plain, err := url.PathUnescape(rest); err == nil {
				return plain
			}
			return rest
		}
	}
	return k.path
}
