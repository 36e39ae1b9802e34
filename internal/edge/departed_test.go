package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/httpserver"
	"github.com/hickorystage/hickorystage/internal/route"
)

// TestCallersThatLeftBeforeTheirRequestsWereReadReachNoEndpoint guards against work for callers
// that gave up while the gateway stood still: their requests and the ends of their connections
// are read at the same time.
func TestCallersThatLeftBeforeTheirRequestsWereReadReachNoEndpoint(t *testing.T) {
	const callers = 200
	for _, dataCentre := range []string{"north-a", "south-a"} {
		for _, body := range []string{"", "body"} {
			t.Run(fmt.Sprintf("%s, %d bytes", dataCentre, len(body)), func(t *testing.T) {
				c := newCluster(t, "north", "south")
				c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1})
				e := c.startEndpoint("e1", dataCentre)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				for i := range callers {
					conn, err := net.Dial("tcp", l.Addr().String())
					require.NoError(t, err)
					_, err = fmt.Fprintf(conn, "POST /q/ HTTP/1.1\r\nHost: a.example\r\n%s: id-%d\r\nContent-Length: %d\r\n\r\n%s", headerID, i, len(body), body)
					require.NoError(t, err)
					require.NoError(t, conn.Close())
				}
				var handled atomic.Int32
				handler := c.regions["north"].edge.CallerHandler()
				s := httpserver.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					defer handled.Add(1)
					handler.ServeHTTP(w, r)
				}), httpserver.Config{Limits: func() httpserver.Limits { return httpserver.Limits{HeaderTimeout: 10 * time.Second} }})
				done := make(chan error, 1)
				go func() { done <- s.Serve(l) }()
				require.Eventually(t, func() bool { return handled.Load() == callers }, 10*time.Second, time.Millisecond)
				require.NoError(t, s.Close())
				require.NoError(t, <-done)
				require.Zero(t, requestCount(e), "requests of %d", callers)
			})
		}
	}
}

// TestCallersThatLeaveBeforeTheirRequestsAreSentReachNoEndpoint guards against work for callers
// that give up while the gateway is short of processor time: the ends of their connections wait
// behind everything else that it has to do.
func TestCallersThatLeaveBeforeTheirRequestsAreSentReachNoEndpoint(t *testing.T) {
	const callers = 50
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, dataCentre := range []string{"north-a", "south-a"} {
		t.Run(dataCentre, func(t *testing.T) {
			c := newCluster(t, "north", "south")
			c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1})
			e := c.startEndpoint("e1", dataCentre)
			require.Equal(t, http.StatusOK, c.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
			before := requestCount(e)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var conns sync.Map
			var handled atomic.Int32
			handler := c.regions["north"].edge.CallerHandler()
			s := httpserver.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer handled.Add(1)
				if conn, ok := conns.Load(r.RemoteAddr); ok {
					_ = conn.(net.Conn).Close()
				}
				handler.ServeHTTP(w, r)
			}), httpserver.Config{Limits: func() httpserver.Limits { return httpserver.Limits{HeaderTimeout: 10 * time.Second} }})
			done := make(chan error, 1)
			go func() { done <- s.Serve(l) }()
			for i := range callers {
				conn, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				conns.Store(conn.LocalAddr().String(), conn)
				_, err = fmt.Fprintf(conn, "GET /q/ HTTP/1.1\r\nHost: a.example\r\n%s: id-%d\r\n\r\n", headerID, i)
				require.NoError(t, err)
				require.Eventually(t, func() bool { return handled.Load() == int32(i+1) }, 10*time.Second, time.Millisecond)
			}
			require.NoError(t, s.Close())
			require.NoError(t, <-done)
			require.Equal(t, before, requestCount(e), "requests of %d", callers)
		})
	}
}

// TestLeavingEndsWorkBehindFurtherBytes guards against endpoints that work on for callers that
// have left behind a part of their next request, in both directions of a forward.
func TestLeavingEndsWorkBehindFurtherBytes(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		for _, kind := range []route.RequestKind{route.Idempotent, route.Streaming} {
			t.Run(fmt.Sprintf("%s, %v", dataCentre, kind), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, "north", "south")
				c.addRoute(route.Route{Prefix: "/q/", Kind: kind, MaxAttempts: 2, Timeout: time.Minute})
				e := c.startEndpoint("e1", dataCentre)
				e.setHandler(waitForCancel)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				s := httpserver.New(c.regions["north"].edge.CallerHandler(), httpserver.Config{Limits: func() httpserver.Limits { return httpserver.Limits{HeaderTimeout: 10 * time.Second} }})
				done := make(chan error, 1)
				go func() { done <- s.Serve(l) }()
				conn, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				_, err = fmt.Fprintf(conn, "GET /q/ HTTP/1.1\r\nHost: a.example\r\n%s: id-1\r\n\r\n", headerID)
				require.NoError(t, err)
				require.Eventually(t, func() bool { return requestCount(e) == 1 }, 5*time.Second, time.Millisecond)
				_, err = io.WriteString(conn, "GET /q/ HTTP/1.1\r\n")
				require.NoError(t, err)
				require.NoError(t, conn.Close())
				require.Eventually(t, func() bool { return e.cancelledCount() == 1 }, 5*time.Second, time.Millisecond)
				require.NoError(t, s.Close())
				require.NoError(t, <-done)
			})
		}
	}
}
