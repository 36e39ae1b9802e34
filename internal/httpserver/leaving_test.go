package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestForms are complete requests with and without a body.
var requestForms = map[string]string{
	"no body":        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"body":           "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
	"chunked body":   "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"last on a conn": "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
}

// TestLeavingIsNoticedBehindFurtherBytes guards against requests that run on for callers that
// have left: net/http stops watching a connection at the first byte behind the request.
func TestLeavingIsNoticedBehindFurtherBytes(t *testing.T) {
	for name, request := range requestForms {
		for _, behind := range []string{"\r\n", "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(behind)), func(t *testing.T) {
				t.Parallel()
				begun, left := make(chan struct{}, 1), make(chan bool, 2)
				_, address := start(t, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadAll(r.Body)
					begun <- struct{}{}
					select {
					case <-r.Context().Done():
						left <- true
					case <-time.After(10 * time.Second):
						left <- false
					}
				})
				c := dial(t, address)
				_, err := io.WriteString(c.conn, request)
				require.NoError(t, err)
				<-begun
				_, err = io.WriteString(c.conn, behind)
				require.NoError(t, err)
				require.NoError(t, c.conn.Close())
				require.True(t, <-left, "the handler is told that its caller has left")
			})
		}
	}
}

// TestRequestIsNotCancelledByFurtherBytes guards against a watch that takes the next request of
// a caller that is still there for its leaving.
func TestRequestIsNotCancelledByFurtherBytes(t *testing.T) {
	for name, request := range requestForms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{}, 2)
			var cancelled atomic.Int32
			_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				begun <- struct{}{}
				select {
				case <-r.Context().Done():
					cancelled.Add(1)
				case <-time.After(time.Second):
				}
				_, _ = io.WriteString(w, "ok")
			})
			c := dial(t, address)
			require.NoError(t, c.send(1))
			<-begun
			_, err := io.WriteString(c.conn, request)
			require.NoError(t, err)
			for range 2 {
				_, err := c.receive()
				require.NoError(t, err)
			}
			require.Zero(t, cancelled.Load())
		})
	}
}

// TestRequestOfACallerThatHasLeftBeginsCancelled guards against work for callers that gave up
// before their requests were read, as they do when a gateway stands still for a while.
func TestRequestOfACallerThatHasLeftBeginsCancelled(t *testing.T) {
	const callers = 200
	for name, request := range requestForms {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			for range callers {
				conn, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				_, err = io.WriteString(conn, request)
				require.NoError(t, err)
				require.NoError(t, conn.Close())
			}
			var begun, uncancelled atomic.Int32
			s := New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				begun.Add(1)
				if r.Context().Err() == nil {
					uncancelled.Add(1)
				}
			}), Config{Limits: func() Limits { return Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute} }})
			done := make(chan error, 1)
			go func() { done <- s.Serve(l) }()
			require.Eventually(t, func() bool { return begun.Load() == callers }, 10*time.Second, time.Millisecond)
			require.NoError(t, s.Close())
			require.NoError(t, <-done)
			require.Zero(t, uncancelled.Load(), "requests of %d", callers)
		})
	}
}
