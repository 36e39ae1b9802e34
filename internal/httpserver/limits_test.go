package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener is a listener for net.Pipe connections, whose deadlines follow the clock of
// synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// TestTimeoutsFollowTheLimits guards against timeouts that stay as they were at the start:
// each connection follows changed limits from its next request on. The body of a request is
// under none of them.
func TestTimeoutsFollowTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limits atomic.Pointer[Limits]
		limits.Store(&Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "ok")
		}), Config{Limits: func() Limits { return *limits.Load() }})
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close() }()
		// open returns a connection and a channel that is closed when the server closes it.
		open := func() (net.Conn, chan struct{}) {
			client, server := net.Pipe()
			l.conns <- server
			closed := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, client)
				close(closed)
			}()
			return client, closed
		}
		lifetime := func(closed chan struct{}) time.Duration {
			start := time.Now()
			<-closed
			return time.Since(start)
		}
		_, closed := open()
		require.Equal(t, 3*time.Second, lifetime(closed), "no byte")
		c, closed := open()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(c, "Host: a\r\n")
		require.Equal(t, time.Second, lifetime(closed), "an unfinished head")
		c, closed = open()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.Equal(t, 15*time.Second, lifetime(closed), "no other request")

		c, closed = open()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		limits.Store(&Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 7 * time.Second})
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")
		time.Sleep(time.Minute)
		_, _ = io.WriteString(c, "body")
		require.Equal(t, 7*time.Second, lifetime(closed))
		c, closed = open()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGE")
		require.Equal(t, 5*time.Second, lifetime(closed), "a head that came with a request")
	})
}

// TestShutdownAwaitsAHeadThatHasBegun guards against a request that a shutdown cuts off because
// its first byte was read while the one before was still being answered.
func TestShutdownAwaitsAHeadThatHasBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		answer := make(chan struct{})
		s := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-answer
			_, _ = io.WriteString(w, "ok")
		}), Config{Limits: func() Limits { return Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second} }})
		go func() { _ = s.Serve(l) }()
		conn, server := net.Pipe()
		l.conns <- server
		c := &caller{conn: conn, reader: bufio.NewReader(conn)}
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		_, err = io.WriteString(conn, "G")
		require.NoError(t, err)
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(t.Context()) }()
		synctest.Wait()
		close(answer)
		_, err = c.receive()
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = io.WriteString(conn, "ET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		closes, err := c.receive()
		require.NoError(t, err)
		require.True(t, closes)
		require.NoError(t, <-done)
	})
}

// TestHeadScan guards against heads whose end is missed or seen too early, however the bytes
// are split, and against costs that depend on the split.
func TestHeadScan(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\n",
		"\r\n\r\nGET / HTTP/1.1\r\nA:\r\n\r\n",
	} {
		raw := head + "body\r\n\r\n"
		var want headScan
		require.Equal(t, len(head), want.add([]byte(raw)))
		require.EqualValues(t, 2, want.lines)
		for split := 1; split < len(head); split++ {
			var s headScan
			require.Equal(t, split, s.add([]byte(raw[:split])))
			require.False(t, s.ended)
			require.Equal(t, len(head)-split, s.add([]byte(raw[split:])), "split at %d", split)
			require.Equal(t, want, s)
		}
	}
	require.EqualValues(t, 3, afterLastHead([]byte("x\r\n\r\nGET")))
	require.EqualValues(t, 3, afterLastHead([]byte("\n\nGET")))
	require.EqualValues(t, 3, afterLastHead([]byte("GET")))
	require.Zero(t, afterLastHead([]byte(strings.Repeat("x", 9)+"\r\n\r\n")))
	require.Zero(t, afterLastHead([]byte("\r\n")), "the end of an empty line")
}
