package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

// rawEndpoint answers each request by writing first and then more, again and again,
// until the gateway closes the connection.
type rawEndpoint struct {
	first, more string
	// pause is the time between two writes of more.
	pause time.Duration
	// written counts the bytes of more; closed receives a value for each connection
	// that the gateway has closed.
	written atomic.Int64
	closed  chan struct{}
}

func (c *cluster) startRawEndpoint(e *rawEndpoint) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = l.Close() })
	e.closed = make(chan struct{}, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	c.setEntry(fleet.Endpoint{ID: "raw", Service: "s", DataCentre: "north-a", Slots: 8, Address: l.Addr().String()})
}

func (e *rawEndpoint) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.closed <- struct{}{}
	}()
	_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := fmt.Fprint(conn, strings.ReplaceAll(e.first, "ID", req.Header.Get(headerID))); err != nil {
		return
	}
	for {
		n, err := conn.Write([]byte(e.more))
		e.written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

// TestEndlessBytes lets an endpoint send bytes that are no answer, without end. Each
// request ends in bounded time and memory, the caller never gets something that looks
// complete, and the connection is closed.
func TestEndlessBytes(t *testing.T) {
	const (
		timeout = 2 * time.Second
		// maxHead is what may be read of a head: the limit, and what the buffers of both
		// sockets hold.
		maxHead = 6 << 20
		ok      = "HTTP/1.1 200 OK\r\n" + headerID + ": ID\r\n"
	)
	block := strings.Repeat("x", 16<<10)
	for _, tc := range []struct {
		name        string
		first, more string
		pause       time.Duration
		kind        route.RequestKind
		maxWritten  int64
		// started says that the caller gets a part of the answer, which is cut.
		started bool
	}{
		{name: "status line", first: "HTTP/1.1 200 ", more: block, maxWritten: maxHead},
		{name: "header value", first: ok + "X-Long: ", more: block, maxWritten: maxHead},
		{name: "many headers", first: ok, more: strings.Repeat("X-Many: 1\r\n", 1000), maxWritten: maxHead},
		{name: "informational responses", more: "HTTP/1.1 102 Processing\r\n\r\n", pause: time.Millisecond, maxWritten: maxHead},
		{name: "no HTTP", more: "\x00\xff\x00\xff", pause: time.Millisecond, maxWritten: maxHead},
		{name: "dripping header", first: ok + "X-Slow: ", more: "x", pause: 20 * time.Millisecond, maxWritten: maxHead},
		{name: "chunk extension", first: ok + "Transfer-Encoding: chunked\r\n\r\n5;", more: block, maxWritten: maxHead},
		{name: "trailer", first: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", more: "X-Trailer: 1\r\n", maxWritten: maxHead},
		{name: "body", first: ok + "\r\n", more: block, pause: 2 * time.Millisecond, maxWritten: 64 << 20, started: true},
		{name: "dripping body", first: ok + "Content-Length: 1000\r\n\r\n", more: "x", pause: 20 * time.Millisecond, maxWritten: maxHead},
		{name: "event without end", first: ok + "Content-Type: text/event-stream\r\n\r\ndata: ", more: block, kind: route.Streaming, maxWritten: maxHead},
		{name: "dripping event", first: ok + "Content-Type: text/event-stream\r\n\r\ndata: ", more: "x", pause: 20 * time.Millisecond, kind: route.Streaming, maxWritten: maxHead},
		{name: "comments between events", first: ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", more: ": x\n", pause: time.Millisecond, kind: route.Streaming, maxWritten: maxHead, started: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, "north")
			c.addRoute(route.Route{Prefix: "/q/", Kind: tc.kind, Timeout: timeout})
			e := &rawEndpoint{first: tc.first, more: tc.more, pause: tc.pause}
			c.startRawEndpoint(e)
			start := time.Now()
			got := c.regions["north"].call(http.MethodPost, "/q/", "x", nil)
			require.Less(t, time.Since(start), timeout+time.Second)
			if tc.started {
				require.Error(t, got.err, "a part of an answer must not look complete")
			} else {
				require.NoError(t, got.err)
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status, "the request may have run")
			}
			select {
			case <-e.closed:
			case <-time.After(time.Second):
				t.Fatal("the gateway keeps the connection")
			}
			require.Less(t, e.written.Load(), tc.maxWritten, "bytes taken from the endpoint")
		})
	}
}

// TestSlowSoundStreamIsNotCut plays a stream whose events come in pieces, with pauses,
// over most of the route's timeout.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Streaming, Timeout: 5 * time.Second})
	e := c.startEndpoint("slow", "north-a")
	var want strings.Builder
	for n := 1; n <= 6; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: part\n\n", n)
	}
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 6; n++ {
			for _, piece := range []string{fmt.Sprintf("id: %d\nda", n), "ta: part\n\n"} {
				_, _ = fmt.Fprint(w, piece)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(300 * time.Millisecond)
			}
		}
	})
	got := c.regions["north"].call(http.MethodPost, "/q/", "x", nil)
	require.NoError(t, got.err)
	require.Equal(t, want.String(), got.body)
}
