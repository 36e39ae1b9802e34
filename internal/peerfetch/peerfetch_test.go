package peerfetch

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/transport"
)

// endlessPeer accepts connections, and answers each with first and then with more, again and
// again, until the other side closes.
type endlessPeer struct {
	address string
	// written counts the bytes that were taken of all answers. ended gets a value when the
	// other side has closed a connection.
	written atomic.Int64
	ended   chan struct{}
}

func startEndlessPeer(t *testing.T, first, more string) *endlessPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &endlessPeer{address: listener.Addr().String(), ended: make(chan struct{}, 1)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.answer(conn, first, more)
		}
	}()
	return p
}

func (p *endlessPeer) answer(conn net.Conn, first, more string) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	for text := first; ; text = more {
		n, err := conn.Write([]byte(text))
		if p.written.Add(int64(n)); err != nil {
			p.ended <- struct{}{}
			return
		}
	}
}

// TestEndlessResponsesOfPeers guards against a peer whose response never ends, and against one
// that is cut off and taken for whole.
func TestEndlessResponsesOfPeers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	// maxTaken is what the limit of a response and the buffers of the sockets hold.
	const maxTaken = maxResponseBytes + 16<<20
	for name, c := range map[string]struct{ first, more string }{
		"body":                    {ok + "\r\n", strings.Repeat(" ", 16<<10)},
		"header value":            {ok + "X-Long: ", strings.Repeat("x", 16<<10)},
		"many headers":            {ok, strings.Repeat("a:\r\n", 1000)},
		"informational responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"trailer":                 {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n", "X-Trailer: 1\r\n"},
		"refusal":                 {"HTTP/1.1 404 Not Found\r\n\r\n", strings.Repeat(" ", 16<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient((&net.Dialer{}).DialContext, nil)
			for path, fetch := range map[string]func(address string) error{
				pathRoutes: func(address string) error {
					_, err := client.FetchRoutes(context.Background(), address)
					return err
				},
				pathEndpoints: func(address string) error {
					_, err := client.FetchEndpoints(context.Background(), address)
					return err
				},
				pathStatus: func(address string) error {
					_, err := client.FetchStoreStatus(context.Background(), address)
					return err
				},
			} {
				p := startEndlessPeer(t, c.first, c.more)
				require.Error(t, fetch(p.address), path)
				select {
				case <-p.ended:
				case <-time.After(10 * time.Second):
					t.Fatalf("%s: the connection stays open", path)
				}
				require.Less(t, p.written.Load(), int64(maxTaken), path)
			}
		})
	}
}

// TestFetchedHeadersOfManyLinesAreRefused guards against responses of a peer whose short lines
// take many times their size in memory.
func TestFetchedHeadersOfManyLinesAreRefused(t *testing.T) {
	p := startEndlessPeer(t, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", 1000)+"Content-Length: 2\r\n\r\n[]", "")
	_, err := NewClient((&net.Dialer{}).DialContext, nil).FetchEndpoints(context.Background(), p.address)
	var tooMany *transport.HeaderLinesError
	require.ErrorAs(t, err, &tooMany)
}

// TestTooLongResponseIsNotTakenForWhole guards against a configuration that is cut off at the
// limit and still parses.
func TestTooLongResponseIsNotTakenForWhole(t *testing.T) {
	p := startEndlessPeer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n{}"+strings.Repeat(" ", 5000000-2), "")
	_, err := NewClient((&net.Dialer{}).DialContext, nil).FetchRoutes(context.Background(), p.address)
	var tooLong *ResponseTooLongError
	require.ErrorAs(t, err, &tooLong)
}

// TestFetchAwaitsWhatThisProcessReadsLate guards against a configuration that is never in force
// at a gateway that is behind its sockets, since each fetch is given up before its response,
// which has arrived, is read.
func TestFetchAwaitsWhatThisProcessReadsLate(t *testing.T) {
	const (
		lag  = 600 * time.Millisecond
		late = fetchTimeout + lag
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(late):
			_, _ = w.Write([]byte("{}"))
		case <-r.Context().Done():
		}
	})}
	defer s.Close()
	go func() { _ = s.Serve(listener) }()
	for behind, wantErr := range map[time.Duration]bool{0: true, lag: false} {
		client := NewClient((&net.Dialer{}).DialContext, func(time.Time) time.Duration { return behind })
		_, err := client.FetchRoutes(t.Context(), listener.Addr().String())
		require.Equal(t, wantErr, err != nil, "behind by %v: %v", behind, err)
	}
}
