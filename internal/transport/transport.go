// Package transport sends single HTTP requests to endpoints and to other
// gateways. It keeps connections for reuse, never sends a request twice by
// itself, and tells whether a failed request can have arrived.
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
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Limits on connections.
const (
	// LocalDialTimeout bounds the making of a connection. Endpoints stand in the
	// same region; a lost opening packet is sent again after a second.
	LocalDialTimeout = 400 * time.Millisecond
	// RemoteDialTimeout bounds the making of a connection to another region.
	RemoteDialTimeout = 1000 * time.Millisecond
	// TCPUserTimeout ends a connection whose peer does not acknowledge what
	// was sent or does not answer keep-alive probes.
	TCPUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the silence after which a connection is probed.
	keepAliveIdle = time.Second
	// idleTimeout closes a connection that was not used for so long. It is
	// below the idle timeouts that endpoints commonly have.
	idleTimeout = 3 * time.Second
	// idlePerAddress is the number of idle connections kept to one address.
	idlePerAddress = 32
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
)

// NotSentError says that nothing of a request has left this process.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ResponseLostError says that a request was sent, at least in part, and brought no
// answer.
type ResponseLostError struct {
	// ConnectionReused says that the connection had carried requests before.
	ConnectionReused bool
	Cause            error
}

// Error implements error.
func (e *ResponseLostError) Error() string { return fmt.Sprintf("no answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ResponseLostError) Unwrap() error { return e.Cause }

// Request is one request to send.
type Request struct {
	// Address is host:port.
	Address string
	Method  string
	// Target is the request target as it goes on the request line.
	Target string
	Host   string
	// Header is sent as it is.
	Header http.Header
	Body   []byte
	// DedicatedConnection asks for a connection of the request's own, which is closed after.
	DedicatedConnection bool
}

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// shards is the number of shards of the pools.
const shards = 16

// Transport holds the connections to all addresses. It is safe for concurrent
// use.
type Transport struct {
	dial    DialFunc
	timeout time.Duration
	shards  [shards]shard
	// connected, if set, hears of each connection made.
	connected func(address string, took time.Duration)
}

type shard struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one address.
type pool struct{ kept, fresh *http.Transport }

// New returns a transport whose connections are made by dial, within timeout.
func New(dial DialFunc, timeout time.Duration) *Transport {
	t := &Transport{dial: dial, timeout: timeout}
	for i := range t.shards {
		t.shards[i].pools = make(map[string]*pool)
	}
	return t
}

// OnConnect makes fn hear of each connection made, and how long that took. Call
// it before the first request.
func (t *Transport) OnConnect(fn func(address string, took time.Duration)) { t.connected = fn }

func (t *Transport) shard(address string) *shard {
	return &t.shards[xxhash.Sum64String(address)%shards]
}

func (t *Transport) pool(address string) *pool {
	sh := t.shard(address)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p, ok := sh.pools[address]
	if !ok {
		p = &pool{kept: t.newHTTP(), fresh: t.newHTTP()}
		p.fresh.DisableKeepAlives = true
		sh.pools[address] = p
	}
	return p
}

func (t *Transport) newHTTP() *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, t.timeout)
			defer cancel()
			began := time.Now()
			conn, err := t.dial(ctx, network, address)
			if err == nil && t.connected != nil {
				t.connected(address, time.Since(began))
			}
			return conn, err
		},
		MaxIdleConnsPerHost: idlePerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
		Protocols:           &protocols,
	}
}

// Forget closes the idle connections to an address and drops its pool.
func (t *Transport) Forget(address string) {
	sh := t.shard(address)
	sh.mu.Lock()
	p, ok := sh.pools[address]
	delete(sh.pools, address)
	sh.mu.Unlock()
	if ok {
		p.kept.CloseIdleConnections()
	}
}

// CloseIdleConnections closes the idle connections to an address.
func (t *Transport) CloseIdleConnections(address string) { t.pool(address).kept.CloseIdleConnections() }

// Do sends a request and returns the answer once its header has come. The
// error is a *NotSentError or a *LostError. The caller closes the body; ending
// ctx breaks the connection off.
func (t *Transport) Do(ctx context.Context, c Request) (*http.Response, error) {
	p := t.pool(c.Address)
	h := p.kept
	if c.DedicatedConnection {
		h = p.fresh
	}
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
	}})
	resp, err := h.RoundTrip(c.request(ctx))
	switch {
	case err == nil:
		return resp, nil
	case !connected.Load():
		return nil, errors.WithStack(&NotSentError{Cause: err})
	default:
		return nil, errors.WithStack(&ResponseLostError{ConnectionReused: reused.Load(), Cause: err})
	}
}

func (c *Request) request(ctx context.Context) *http.Request {
	req := &http.Request{
		Method:        c.Method,
		URL:           &url.URL{Scheme: "http", Host: c.Address, Opaque: c.Target},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        c.Header,
		Host:          c.Host,
		Body:          c.body(),
		ContentLength: int64(len(c.Body)),
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header["User-Agent"] = []string{""}
	}
	return req.WithContext(ctx)
}

// body returns the body in a form that net/http can't rewind, so that it never
// sends a request again by itself. It would do so for safe methods and for
// requests with an idempotency key.
func (c *Request) body() io.ReadCloser {
	if len(c.Body) == 0 && !c.replayable() {
		return http.NoBody
	}
	return io.NopCloser(once{bytes.NewReader(c.Body)})
}

func (c *Request) replayable() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return c.Header.Get("Idempotency-Key") != "" || c.Header.Get("X-Idempotency-Key") != ""
}

// once hides the methods of its reader but Read.
type once struct{ io.Reader }
