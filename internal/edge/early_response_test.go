package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

// hastyEndpoint answers each request once it has read its header, and ends the connection while
// the upload is still being written.
type hastyEndpoint struct {
	// response is what follows the status line and the id of the attempt.
	response string
	// pause is the time between the response and the end of the connection.
	pause time.Duration
	// end ends the connection.
	end      func(conn *net.TCPConn)
	received atomic.Int64
}

// reset resets a connection of which bytes are unread.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// finishAndReset ends the response in an orderly way before it gives up the upload.
func finishAndReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	reset(conn)
}

func (c *cluster) startHasty(dataCentre string, e *hastyEndpoint) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	c.setEntry(fleet.Endpoint{ID: "e1", Service: "s", DataCentre: dataCentre, Slots: 100, Address: l.Addr().String()})
}

func (e *hastyEndpoint) serve(conn *net.TCPConn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, 512))
	if err != nil {
		return
	}
	e.received.Add(1)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", headerID, r.Header.Get(headerID), e.response)
	time.Sleep(e.pause)
	e.end(conn)
}

// uploadSideBySide sends n requests with a body of the given size at once.
func (r *region) uploadSideBySide(n, size int) []response {
	out := make([]response, n)
	body := string(bytes.Repeat([]byte("x"), size))
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			out[i] = r.call(http.MethodPost, "/q/", body, map[string]string{headerID: strconv.Itoa(i)})
		})
	}
	wg.Wait()
	return out
}

// forEachUpload calls test with the answers to uploads of several sizes, at endpoints of the
// caller's region and of another one that end the connection after several pauses.
func forEachUpload(t *testing.T, newEndpoint func() *hastyEndpoint, test func(t *testing.T, got response)) {
	const sideBySide = 24
	for _, dataCentre := range []string{"north-a", "south-a"} {
		for _, kind := range []route.RequestKind{route.NonIdempotent, route.Streaming} {
			for _, size := range []int{256 << 10, 8 << 20} {
				for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/%v/%d kB/%v", dataCentre, kind, size>>10, pause), func(t *testing.T) {
						c := newCluster(t, "north", "south")
						c.limits.MaxBodyBytes = 16 << 20
						c.addRoute(route.Route{Prefix: "/q/", Kind: kind, MaxAttempts: 1})
						e := newEndpoint()
						e.pause = pause
						c.startHasty(dataCentre, e)
						answers := c.regions["north"].uploadSideBySide(sideBySide, size)
						require.EqualValues(t, sideBySide, e.received.Load())
						for _, got := range answers {
							test(t, got)
						}
					})
				}
			}
		}
	}
}

// TestPartOfAResponseThatWasResetIsNoAnswer guards against a part of a body that callers get as a
// whole answer: the kernel reports a reset once, to the write of the upload or to the read.
func TestPartOfAResponseThatWasResetIsNoAnswer(t *testing.T) {
	newEndpoint := func() *hastyEndpoint { return &hastyEndpoint{response: "\r\n" + oneEvent, end: reset} }
	forEachUpload(t, newEndpoint, func(t *testing.T, got response) {
		require.False(t, got.err == nil && got.status == http.StatusOK, "complete answer %q", got.body)
	})
}

// TestWholeResponseBeforeAResetIsRelayed guards against answers that are lost because the endpoint
// resets the connection after them, though their length, their chunks or the orderly end of the
// response show that they are whole.
func TestWholeResponseBeforeAResetIsRelayed(t *testing.T) {
	for name, newEndpoint := range map[string]func() *hastyEndpoint{
		"length": func() *hastyEndpoint {
			return &hastyEndpoint{response: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(oneEvent), oneEvent), end: reset}
		},
		"chunks": func() *hastyEndpoint {
			return &hastyEndpoint{response: fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(oneEvent), oneEvent), end: reset}
		},
		"orderly end": func() *hastyEndpoint { return &hastyEndpoint{response: "\r\n" + oneEvent, end: finishAndReset} },
	} {
		t.Run(name, func(t *testing.T) {
			forEachUpload(t, newEndpoint, func(t *testing.T, got response) {
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, oneEvent, got.body)
			})
		})
	}
}
