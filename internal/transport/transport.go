// Package transport sends single HTTP/1.1 requests to endpoints and to peers,
// which are other gateways. It pools connections, never resends a request on its
// own, and reports whether a failed request may have reached its destination.
package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Timeouts and limits of connections.
const (
	// LocalDialTimeout limits the time to connect to an address in the same
	// region, as endpoints are. TCP retransmits a lost SYN only after 1 s.
	LocalDialTimeout = 400 * time.Millisecond
	// RemoteDialTimeout limits the time to connect to another region.
	RemoteDialTimeout = 1000 * time.Millisecond
	// TCPUserTimeout is how long sent data may stay unacknowledged, or
	// keep-alive probes unanswered, before the connection is closed.
	TCPUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the idle time after which a connection is probed.
	keepAliveIdle = time.Second
	// idleTimeout is the time after which an unused connection is closed. It is
	// shorter than the usual idle timeouts of endpoints, so that they rarely
	// close a connection that is about to be reused.
	idleTimeout = 3 * time.Second
	// maxIdleConnsPerAddress is the maximum number of idle connections to one
	// address.
	maxIdleConnsPerAddress = 32
	// bufferBytes is the size of a connection's read buffer and of its write
	// buffer.
	bufferBytes = 4 << 10
)

// MaxResponseHeaderBytes is the size of the largest header of a response, informational
// ones included, that the gateway reads from any server. The default of net/http, 10 MB
// for each connection, would let a few broken servers use up a small machine's memory.
const MaxResponseHeaderBytes = 64 << 10

// NotSentError reports that no byte of a request was sent.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ResponseLostError reports that a request may have been sent, at least in part,
// but no response header arrived.
type ResponseLostError struct {
	// ConnectionReused reports whether the connection had carried earlier
	// requests.
	ConnectionReused bool
	Cause            error
}

// Error implements error.
func (e *ResponseLostError) Error() string { return fmt.Sprintf("response lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ResponseLostError) Unwrap() error { return e.Cause }

// Request is an HTTP request to send.
type Request struct {
	// Address is the host:port to connect to.
	Address string
	Method  string
	// Target is the request target, sent unchanged in the request line.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header is sent unchanged; it must not be nil. If it has no User-Agent, Do
	// sets an empty one, which is not sent.
	Header http.Header
	Body   []byte
	// BodyTail are the parts of the body that follow Body, which has the first one.
	BodyTail [][]byte
	// DedicatedConnection sends the request on a new connection, which is
	// closed after the response.
	DedicatedConnection bool
}

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// shardCount is the number of shards that the pools are spread over to reduce
// lock contention.
const shardCount = 16

// Transport holds a connection pool for each address. It is safe for concurrent
// use.
type Transport struct {
	dial        DialFunc
	dialTimeout time.Duration
	shards      [shardCount]shard
	// onConnect, if not nil, is called for each new connection.
	onConnect func(address string, took time.Duration)
}

type shard struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one address: keepAlive reuses them, dedicated
// uses each for one request.
type pool struct{ keepAlive, dedicated *http.Transport }

// New returns a Transport that opens connections with dial, each within timeout.
func New(dial DialFunc, timeout time.Duration) *Transport {
	t := &Transport{dial: dial, dialTimeout: timeout}
	for i := range t.shards {
		t.shards[i].pools = make(map[string]*pool)
	}
	return t
}

// OnConnect sets a function that is called for each new connection, with the
// time that dialing took. It must be called before the first request; fn may be
// called concurrently.
func (t *Transport) OnConnect(fn func(address string, took time.Duration)) { t.onConnect = fn }

func (t *Transport) shard(address string) *shard {
	return &t.shards[xxhash.Sum64String(address)%shardCount]
}

func (t *Transport) pool(address string) *pool {
	sh := t.shard(address)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p, ok := sh.pools[address]
	if !ok {
		p = &pool{keepAlive: t.newHTTPTransport(), dedicated: t.newHTTPTransport()}
		p.dedicated.DisableKeepAlives = true
		sh.pools[address] = p
	}
	return p
}

func (t *Transport) newHTTPTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, t.dialTimeout)
			defer cancel()
			start := time.Now()
			conn, err := t.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if t.onConnect != nil {
				t.onConnect(address, time.Since(start))
			}
			return newPooledConn(conn), nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
		Protocols:           &protocols,

		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
}

// Forget closes the idle connections to an address and removes its pool.
// Requests in flight are not affected.
func (t *Transport) Forget(address string) {
	sh := t.shard(address)
	sh.mu.Lock()
	p, ok := sh.pools[address]
	delete(sh.pools, address)
	sh.mu.Unlock()
	if ok {
		p.keepAlive.CloseIdleConnections()
	}
}

// CloseIdleConnections closes the idle connections to an address.
func (t *Transport) CloseIdleConnections(address string) {
	t.pool(address).keepAlive.CloseIdleConnections()
}

// IsRefused reports whether the server at an address refuses connections at once, as one
// that has ended does. It opens a connection to find out.
func (t *Transport) IsRefused(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, t.dialTimeout)
	defer cancel()
	conn, err := t.dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return IsRefusal(err)
}

// IsRefusal reports whether err says that the server refused a connection.
func IsRefusal(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Do sends a request once and returns the response as soon as its header has
// arrived. Errors are *NotSentError or *ResponseLostError. The caller must close
// the response body. Cancelling ctx before that closes the connection.
func (t *Transport) Do(ctx context.Context, r Request) (*http.Response, error) {
	p := t.pool(r.Address)
	if r.DedicatedConnection {
		resp, _, err := r.send(ctx, p.dedicated)
		return resp, err
	}
	resp, unusable, err := r.send(ctx, p.keepAlive)
	if unusable {
		resp, _, err = r.send(ctx, p.dedicated)
	}
	return resp, err
}

// send sends the request by ht. unusable reports that nothing was sent because the
// connection taken from the pool could not be reused.
func (r *Request) send(ctx context.Context, ht *http.Transport) (resp *http.Response, unusable bool, err error) {
	var gotConn, reused atomic.Bool
	var claimed atomic.Pointer[pooledConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		gotConn.Store(true)
		reused.Store(info.Reused)
		claimed.Store(nil)
		if conn, ok := info.Conn.(*pooledConn); ok && info.Reused {
			conn.claim()
			claimed.Store(conn)
		}
	}})
	resp, err = ht.RoundTrip(r.httpRequest(ctx))
	if conn := claimed.Load(); conn != nil && conn.wasRefused() {
		if err == nil {
			_ = resp.Body.Close()
			err = &UnsolicitedBytesError{Address: r.Address}
		}
		return nil, ctx.Err() == nil, errors.WithStack(&NotSentError{Cause: err})
	}
	switch {
	case err == nil:
		return resp, false, nil
	case !gotConn.Load():
		return nil, false, errors.WithStack(&NotSentError{Cause: err})
	default:
		return nil, false, errors.WithStack(&ResponseLostError{ConnectionReused: reused.Load(), Cause: err})
	}
}

func (r *Request) httpRequest(ctx context.Context) *http.Request {
	req := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: r.Address, Opaque: r.Target},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        r.Header,
		Host:          r.Host,
		Body:          r.body(),
		ContentLength: r.contentLength(),
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// Without an empty value net/http sends its default User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	return req.WithContext(ctx)
}

// body returns the body as a reader that net/http can't rewind, which keeps
// net/http from resending the request when a reused connection breaks. It would
// do so for safe methods and for requests with an idempotency key.
func (r *Request) body() io.ReadCloser {
	if len(r.Body) == 0 && !r.isReplayable() {
		return http.NoBody
	}
	if len(r.BodyTail) == 0 {
		return io.NopCloser(readerOnly{bytes.NewReader(r.Body)})
	}
	parts := []io.Reader{bytes.NewReader(r.Body)}
	for _, part := range r.BodyTail {
		parts = append(parts, bytes.NewReader(part))
	}
	return io.NopCloser(readerOnly{io.MultiReader(parts...)})
}

func (r *Request) contentLength() int64 {
	n := len(r.Body)
	for _, part := range r.BodyTail {
		n += len(part)
	}
	return int64(n)
}

// isReplayable reports whether net/http would resend the request if it had no
// body.
func (r *Request) isReplayable() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// readerOnly hides all methods of a reader except Read.
type readerOnly struct{ io.Reader }
