// Package httpserver is an HTTP/1.1 server whose graceful shutdown cuts off no
// request that it has begun to read.
//
// net/http closes connections that it takes for idle at a shutdown, even while the
// next request on them is being read. This server never closes a connection from
// outside: it ends an idle one by letting its pending read report the end of the
// stream, which only happens if no byte of another request has arrived.
package httpserver

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/connlimit"
)

// Limits are the limits of a server on what callers send. Zero means no limit,
// except for MaxHeaderBytes, where it stands for the default of net/http.
type Limits struct {
	// HeaderTimeout limits the reading of a header, IdleTimeout the wait for the next
	// request on a connection.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
}

// WithMargin returns the timeout that applies where clients are told the given one: a
// quarter more, so that no client within it reaches the timeout.
func WithMargin(timeout time.Duration) time.Duration { return timeout + timeout/4 }

// unusedAfter returns the time after which clients don't use an idle connection again,
// where timeout is WithMargin of what they are told: four fifths of that.
func unusedAfter(timeout time.Duration) time.Duration { return timeout * 16 / 25 }

// Config configures a Server.
type Config struct {
	// Limits returns the current limits. They apply to a connection from its next request
	// on.
	Limits func() Limits
	// ReadTimeout limits the reading of a whole request. Zero means no limit.
	ReadTimeout time.Duration
	// Pool bounds the connections, together with those of other servers. It may be nil.
	Pool *Pool
	// Group is the group of the connections in the pool.
	Group connlimit.Group
	// RefusalHeader is added to the refusals that the server makes itself.
	RefusalHeader http.Header
}

// Server serves one listener. All methods are safe for concurrent use.
type Server struct {
	http   *http.Server
	config Config
	// keepAlivesDisabled is set once each response has to end its connection.
	keepAlivesDisabled atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	draining bool
	// empty is closed when the last connection has ended during a shutdown.
	empty chan struct{}
}

// ignoredHeadLimit keeps net/http from applying a limit of its own, which would not
// follow a changed configuration.
const ignoredHeadLimit = 1 << 30

// New returns a server that answers requests by h.
func New(h http.Handler, config Config) *Server {
	s := &Server{config: config, conns: make(map[*conn]struct{}), empty: make(chan struct{})}
	s.http = &http.Server{
		Handler:        s.wrap(h),
		ReadTimeout:    config.ReadTimeout,
		MaxHeaderBytes: ignoredHeadLimit,
		ConnState:      s.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func (s *Server) limits() Limits { return s.config.Limits() }

// Serve accepts connections from l until Shutdown or Close, after which it returns
// nil. It closes l and may be called once.
func (s *Server) Serve(l net.Listener) error {
	tracking := &trackingListener{Listener: l, server: s}
	s.mu.Lock()
	s.listener = tracking
	stopped := s.draining
	s.mu.Unlock()
	if stopped {
		return tracking.Close()
	}
	err := s.http.Serve(tracking)
	if errors.Is(err, http.ErrServerClosed) || s.isDraining() {
		return nil
	}
	return err
}

// DisableKeepAlives lets the response to each request that arrives from now on end
// its connection. Idle connections stay open.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// wrap returns h with the progress of each request noted at its connection, and with
// responses that end their connection while keep-alives are disabled.
func (s *Server) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			r = r.WithContext(ctx)
			hasRoom, isClosed := c.beginRequest(r, cancel)
			if isClosed {
				panic(http.ErrAbortHandler)
			}
			if !hasRoom {
				s.refuseRequest(w)
				return
			}
			if r.Body != nil && r.Body != http.NoBody {
				// net/http keeps its own body in the request that it has made. By that it knows
				// that a caller awaits 100 Continue, or that a body is too long to be read to its
				// end before the response is sent.
				r.Body = &body{ReadCloser: r.Body, conn: c, size: r.ContentLength}
			}
		}
		if s.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// refuseRequest answers a request for which there is no room, before it is handled.
func (s *Server) refuseRequest(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	maps.Copy(w.Header(), s.config.RefusalHeader)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Shutdown stops accepting connections, ends the idle ones, and waits until the
// requests in flight have been answered and all connections have ended. If ctx ends
// first it returns the error of ctx; the remaining connections stay open until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	closeErr := s.beginDrain()
	select {
	case <-s.empty:
		return closeErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends the listener and all connections at once, those with requests in flight
// included.
func (s *Server) Close() error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.http.Close()
}

// beginDrain closes the listener and interrupts the reads of idle connections. The
// error is that of closing the listener.
func (s *Server) beginDrain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil
	}
	s.draining = true
	for c := range s.conns {
		c.endWhenIdle()
	}
	if len(s.conns) == 0 {
		close(s.empty)
	}
	if s.listener == nil {
		return nil
	}
	return errors.Wrap(s.listener.Close(), "close listener")
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// track returns the accepted connection as one that the server can end while it is
// idle, or nil if it has refused it because there is no room.
func (s *Server) track(accepted net.Conn) *conn {
	c := s.newConn(accepted)
	if pool := s.config.Pool; pool != nil && !pool.admit(c, s.config.Group, s.limits().IdleTimeout) {
		refuse(accepted, refusal(s.config.RefusalHeader))
		return nil
	}
	c.begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.draining {
		c.endWhenIdle()
	}
	return c
}

func (s *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.becomeIdle()
	case http.StateClosed, http.StateHijacked:
		s.forget(c)
	case http.StateNew, http.StateActive:
	}
}

func (s *Server) forget(c *conn) {
	if s.config.Pool != nil {
		s.config.Pool.remove(c)
	}
	c.mu.Lock()
	c.closeHead()
	c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	if s.draining && len(s.conns) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

// trackingListener wraps the connections that it accepts. Shutdown and the server of
// net/http both close it.
type trackingListener struct {
	net.Listener
	server   *Server
	once     sync.Once
	closeErr error
}

// Close implements net.Listener. Only the first call closes the listener; all return
// its error.
func (l *trackingListener) Close() error {
	l.once.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.track(accepted); c != nil {
			return c, nil
		}
	}
}
