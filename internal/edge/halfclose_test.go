package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/route"
)

// sendHalfClosed sends a request whose caller closes its sending direction once the
// endpoint has received it, and returns all that the gateway sends.
func (r *region) sendHalfClosed(e *fakeEndpoint, extra string) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.callerServer.URL, "http://"))
	require.NoError(r.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /q/ HTTP/1.1\r\nHost: a.example\r\n"+headerID+": id-1\r\n"+extra+"\r\n")
	require.NoError(r.t, err)
	require.Eventually(r.t, func() bool { return requestCount(e) == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(r.t, conn.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(conn)
	require.NoError(r.t, err)
	return string(got)
}

// TestCallerThatClosesItsSendingDirectionGetsNoEmptySuccess guards against the empty 200 that
// net/http sends for a handler that writes nothing.
func TestCallerThatClosesItsSendingDirectionGetsNoEmptySuccess(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		for _, kind := range []route.RequestKind{route.Idempotent, route.NonIdempotent, route.Streaming} {
			c := newCluster(t, "north", "south")
			c.addRoute(route.Route{Prefix: "/q/", Kind: kind, MaxAttempts: 2})
			e := c.startEndpoint("e1", dataCentre)
			e.setHandler(waitForCancel)
			got := c.regions["north"].sendHalfClosed(e, "")
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
			require.NoError(t, err, "%q", got)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "the endpoint may have run it")
			require.Empty(t, resp.Header.Get(headerOutcome))
		}
	}
}

// TestBrokenStreamOfHalfClosedCallerLooksBroken guards against a part of a stream that ends
// like a whole one.
func TestBrokenStreamOfHalfClosedCallerLooksBroken(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Streaming})
	e := c.startEndpoint("e1", "north-a")
	e.setHandler(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	got := c.regions["north"].sendHalfClosed(e, "")
	if strings.Contains(got, "200 OK") {
		require.NotContains(t, got, "\r\n0\r\n", "the chunk that ends a whole response")
	}
}
