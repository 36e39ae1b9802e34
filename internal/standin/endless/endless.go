// Package endless is a stand-in for a faulty server whose responses don't end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Response is a response that begins with First and goes on with More, again and again. If More
// is empty, nothing follows and the connection stays open.
type Response struct{ First, More string }

const ok = "HTTP/1.1 200 OK\r\n"

// Responses returns a response for each part that may not end, by name.
func Responses() map[string]Response {
	return map[string]Response{
		"body":                    {ok + "\r\n", strings.Repeat(" ", 16<<10)},
		"header value":            {ok + "X-Long: ", strings.Repeat("x", 16<<10)},
		"many headers":            {ok, strings.Repeat("a:\r\n", 1000)},
		"informational responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"trailer":                 {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n", "X-Trailer: 1\r\n"},
		"refusal":                 {"HTTP/1.1 404 Not Found\r\n\r\n", strings.Repeat(" ", 16<<10)},
	}
}

// Server accepts connections and answers each request with the same response until the other
// side closes.
type Server struct {
	// Address is its host:port.
	Address string
	written atomic.Int64
	// ended gets a value when the other side has closed a connection.
	ended chan struct{}
}

// Start starts a server that ends with the test.
func Start(t testing.TB, r Response) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String(), ended: make(chan struct{}, 1)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.answer(conn, r)
		}
	}()
	return s
}

func (s *Server) answer(conn net.Conn, r Response) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if r.More == "" {
		_, _ = io.WriteString(conn, r.First)
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	for text := r.First; ; text = r.More {
		n, err := conn.Write([]byte(text))
		if s.written.Add(int64(n)); err != nil {
			select {
			case s.ended <- struct{}{}:
			default:
			}
			return
		}
	}
}

// RequireClosed requires that the other side closes a connection, and that it has taken fewer
// than most bytes by then.
func (s *Server) RequireClosed(t testing.TB, most int64) {
	select {
	case <-s.ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stays open")
	}
	require.Less(t, s.written.Load(), most)
}
