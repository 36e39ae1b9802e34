package httpserver

import (
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
