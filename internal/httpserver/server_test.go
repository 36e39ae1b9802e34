package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start serves h on a loopback address and returns the server with the address.
func start(t *testing.T, h http.HandlerFunc) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(h, Config{Limits: func() Limits { return Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute} }})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		require.NoError(t, <-done)
	})
	return s, l.Addr().String()
}

// caller is a keep-alive connection to the server.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(id int) error {
	_, err := fmt.Fprintf(c.conn, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", id)
	return err
}

// receive reads one response and returns whether it ends the connection.
func (c *caller) receive() (bool, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, err
	}
	if _, err = io.ReadAll(resp.Body); err != nil {
		return false, err
	}
	return resp.Close, resp.Body.Close()
}

// handled records the requests whose handler has begun.
type handled struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (h *handled) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	h.mu.Lock()
	h.ids[r.URL.Path] = true
	h.mu.Unlock()
	_, _ = io.WriteString(w, "ok")
}

func (h *handled) has(id int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ids[fmt.Sprintf("/%d", id)]
}

// TestShutdownAnswersRequestsThatCrossIt guards against a shutdown that closes a
// kept connection while the next request on it is being read: 3,000 requests are
// sent within 60 microseconds of the shutdown.
func TestShutdownAnswersRequestsThatCrossIt(t *testing.T) {
	const rounds, callers, spread = 30, 100, 60 * time.Microsecond
	random := rand.New(rand.NewPCG(1, 2))
	var answered, unread, cut int
	for range rounds {
		h := &handled{ids: map[string]bool{}}
		s, address := start(t, h.ServeHTTP)
		kept := make([]*caller, callers)
		for i := range kept {
			kept[i] = dial(t, address)
			require.NoError(t, kept[i].send(-1))
			_, err := kept[i].receive()
			require.NoError(t, err)
		}
		strike := time.Now().Add(3 * time.Millisecond)
		results := make([]error, callers)
		var wg sync.WaitGroup
		for i, c := range kept {
			at := strike.Add(time.Duration(random.Int64N(int64(2*spread))) - spread)
			wg.Go(func() {
				waitUntil(at)
				if results[i] = c.send(i); results[i] == nil {
					_, results[i] = c.receive()
				}
			})
		}
		waitUntil(strike)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		require.NoError(t, s.Shutdown(ctx))
		cancel()
		wg.Wait()
		for i, err := range results {
			switch {
			case err == nil:
				answered++
			case h.has(i):
				cut++
			default:
				unread++
			}
		}
	}
	t.Logf("answered %d, never read %d, cut %d", answered, unread, cut)
	require.Zero(t, cut, "requests cut off after their handler had begun")
}

// waitUntil returns at the given moment, without the granularity of a timer.
func waitUntil(at time.Time) {
	for time.Now().Before(at) {
	}
}

// TestShutdownWaitsForRequestsInFlight checks that requests in flight, and a request
// whose body is still being sent, are answered in full, while idle connections end at
// once.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	begun, release := make(chan struct{}, 2), make(chan struct{})
	s, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			begun <- struct{}{}
			<-release
		}
		_, _ = io.Copy(w, r.Body)
	})
	idle, busy, slow := dial(t, address), dial(t, address), dial(t, address)
	require.NoError(t, idle.send(0))
	_, err := idle.receive()
	require.NoError(t, err)
	require.NoError(t, busy.send(1))
	<-begun
	_, err = io.WriteString(slow.conn, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	finished := make(chan error, 1)
	go func() { finished <- s.Shutdown(context.Background()) }()
	_, err = idle.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	_, err = net.Dial("tcp", address)
	require.Error(t, err, "no connection is accepted any more")
	_, err = io.WriteString(slow.conn, "dy")
	require.NoError(t, err)
	_, err = slow.receive()
	require.NoError(t, err)
	select {
	case err := <-finished:
		t.Fatalf("the shutdown ended before the request in flight: %v", err)
	default:
	}
	close(release)
	_, err = busy.receive()
	require.NoError(t, err)
	require.NoError(t, <-finished)
}

// TestKeepAlivesEndWithTheNextResponse checks that disabling keep-alives leaves idle
// connections open and lets their next response announce the end.
func TestKeepAlivesEndWithTheNextResponse(t *testing.T) {
	h := &handled{ids: map[string]bool{}}
	s, address := start(t, h.ServeHTTP)
	c := dial(t, address)
	require.NoError(t, c.send(0))
	last, err := c.receive()
	require.NoError(t, err)
	require.False(t, last)
	s.DisableKeepAlives()
	require.NoError(t, c.send(1))
	last, err = c.receive()
	require.NoError(t, err)
	require.True(t, last)
}

// TestConnectionWithoutARequestGetsTimeForOne checks that a shutdown serves the first
// request of a connection that was opened just before.
func TestConnectionWithoutARequestGetsTimeForOne(t *testing.T) {
	h := &handled{ids: map[string]bool{}}
	s, address := start(t, h.ServeHTTP)
	first := dial(t, address)
	require.NoError(t, first.send(0))
	_, err := first.receive()
	require.NoError(t, err)
	fresh := dial(t, address)
	accepted := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 2
	}
	require.Eventually(t, accepted, 5*time.Second, time.Millisecond)
	finished := make(chan error, 1)
	go func() { finished <- s.Shutdown(context.Background()) }()
	require.Eventually(t, s.isDraining, 5*time.Second, time.Millisecond)
	require.NoError(t, fresh.send(1))
	last, err := fresh.receive()
	require.NoError(t, err)
	require.True(t, last)
	require.NoError(t, <-finished)
}

// TestShutdownReportsTheEndOfItsContext checks that a request that outlasts the
// shutdown is left to Close, which cuts it off.
func TestShutdownReportsTheEndOfItsContext(t *testing.T) {
	begun := make(chan struct{})
	s, address := start(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})
	c := dial(t, address)
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-begun
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, s.Shutdown(ctx), context.Canceled)
	require.NoError(t, s.Close())
	_, err = c.receive()
	require.Error(t, err)
}

// lingeringListener is a listener whose Accept returns an error only once released is
// closed.
type lingeringListener struct {
	net.Listener
	released chan struct{}
}

func (l *lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.released
	}
	return c, err
}

// TestCloseRightAfterShutdown checks that Close doesn't fail because Shutdown has closed
// the listener, though Serve hasn't noticed yet.
func TestCloseRightAfterShutdown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lingering := &lingeringListener{Listener: l, released: make(chan struct{})}
	s := New(http.NotFoundHandler(), Config{Limits: func() Limits { return Limits{} }})
	served := make(chan error, 1)
	go func() { served <- s.Serve(lingering) }()
	// An answer shows that Serve has registered the listener.
	resp, err := http.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Shutdown(ctx); err != nil {
		require.ErrorIs(t, err, context.Canceled)
	}
	// Close closes the listener, then waits for Serve.
	time.AfterFunc(100*time.Millisecond, func() { close(lingering.released) })
	require.NoError(t, s.Close())
	require.NoError(t, <-served)
}

// TestRefusedBodyIsAnsweredReadably checks that a caller that is still sending a body
// over the limit can read the response, for which the server has to end only its own
// direction first.
func TestRefusedBodyIsAnsweredReadably(t *testing.T) {
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10)); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	c := dial(t, address)
	const size = 1 << 20
	_, err := fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	require.NoError(t, err)
	go func() { _, _ = io.WriteString(c.conn, strings.Repeat("x", size)) }()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}
