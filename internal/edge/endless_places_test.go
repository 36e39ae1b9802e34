package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

// maxTaken bounds the bytes that may be taken from an endpoint for nobody: a response that is
// held back, and what the buffers of the sockets hold.
const maxTaken = 16 << 20

// requireClosed requires that the gateway closes the connection in time and has taken little.
func (e *rawEndpoint) requireClosed(t *testing.T, limit time.Duration) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(limit):
		t.Fatal("the gateway keeps the connection")
	}
	require.Less(t, e.written.Load(), int64(maxTaken))
}

// TestEndlessAnswersOfOtherGateways lets a gateway of another region answer forwarded requests
// without end.
func TestEndlessAnswersOfOtherGateways(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n"
	block := strings.Repeat("x", 16<<10)
	for _, tc := range []struct{ name, first, more string }{
		{"header value", ok + "X-Long: ", block},
		{"many headers", ok, strings.Repeat("a:\r\n", 1000)},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-Trailer: 1\r\n"},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\n" + headerOutcome + ": not_run\r\n\r\n", block},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, "north")
			c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1, Timeout: 2 * time.Second})
			e := &rawEndpoint{first: tc.first, more: tc.more, pause: time.Millisecond}
			c.startRawEndpoint(e)
			raw := *c.entries[len(c.entries)-1].Endpoint
			peer := fleet.GatewayStatus{Gateway: fleet.Gateway{ID: "gw-south", Incarnation: "1", Region: "south", PeerAddress: raw.Address}, Ready: true, Seq: 1}
			c.regions["north"].edge.Gateways.ApplyStatus(peer, time.Now())
			raw.DataCentre = "south-a"
			c.setEntry(raw)
			got := c.regions["north"].call(http.MethodPost, "/q/", "x", nil)
			require.NoError(t, got.err)
			require.GreaterOrEqual(t, got.status, http.StatusInternalServerError)
			e.requireClosed(t, 4*time.Second)
		})
	}
}

// TestEndlessBodyForACallerThatDoesNotRead holds a request open whose caller takes nothing.
func TestEndlessBodyForACallerThatDoesNotRead(t *testing.T) {
	for _, tc := range []struct {
		name, first, more string
		kind              route.RequestKind
	}{
		{"body", "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n\r\n", strings.Repeat("x", 16<<10), route.Idempotent},
		{"stream", "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\nContent-Type: text/event-stream\r\n\r\n", "data: " + strings.Repeat("x", 16<<10) + "\n\n", route.Streaming},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, "north")
			c.addRoute(route.Route{Prefix: "/q/", Kind: tc.kind, MaxAttempts: 1, Timeout: 2 * time.Second})
			e := &rawEndpoint{first: tc.first, more: tc.more}
			c.startRawEndpoint(e)
			conn, err := net.Dial("tcp", strings.TrimPrefix(c.regions["north"].callerServer.URL, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET /q/ HTTP/1.1\r\nHost: a.example\r\n%s: id-1\r\n\r\n", headerID)
			require.NoError(t, err)
			e.requireClosed(t, 6*time.Second)
		})
	}
}

// TestEndlessBytesOnAnIdleConnection lets an endpoint send on after a complete answer.
func TestEndlessBytesOnAnIdleConnection(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1})
	e := &rawEndpoint{first: "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\nContent-Length: 2\r\n\r\nok", more: strings.Repeat("x", 16<<10)}
	c.startRawEndpoint(e)
	got := c.regions["north"].call(http.MethodGet, "/q/", "", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "ok", got.body)
	e.requireClosed(t, 4*time.Second)
}

// TestEndlessHealthResponse lets an endpoint answer a health check without end.
func TestEndlessHealthResponse(t *testing.T) {
	var once sync.Once
	ended := make(chan int, 1)
	f := newHealthFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerInstance, "e1")
		taken := 0
		for block := make([]byte, 16<<10); ; taken += len(block) {
			if _, err := w.Write(block); err != nil {
				once.Do(func() { ended <- taken })
				return
			}
		}
	})
	f.callMany(1)
	select {
	case taken := <-ended:
		require.Less(t, taken, maxTaken)
	case <-time.After(10 * time.Second):
		t.Fatal("the gateway keeps the connection")
	}
}
