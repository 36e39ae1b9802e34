package transport

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// startHasty starts a server that reads no more than the header of a request, sends response
// and closes the connection, which resets it while a long body is being sent.
func startHasty(t *testing.T, response string) (address string) {
	return startServerThatEnds(t, response, func(*net.TCPConn) {})
}

// startServerThatEnds is startHasty with a function that is called before a connection is closed.
func startServerThatEnds(t *testing.T, response string, beforeClose func(conn *net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReaderSize(conn, 512)
				for {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					if strings.TrimSpace(line) == "" {
						break
					}
				}
				_, _ = io.WriteString(conn, response)
				beforeClose(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// TestRefusalBeforeTheBodyIsRead guards against refusals that get lost because the server
// closes the connection while the body is being sent: 3 to 6 of 40 did.
func TestRefusalBeforeTheBodyIsRead(t *testing.T) {
	address := startHasty(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	tr := newTransport()
	for _, size := range []int{10, 200_000, 2_000_000} {
		for _, dedicated := range []bool{true, false} {
			for range 50 {
				req := newRequest(address, http.MethodPost, "")
				req.Body, req.DedicatedConnection = bytes.Repeat([]byte("x"), size), dedicated
				resp, err := tr.Do(t.Context(), req)
				require.NoError(t, err, "%d bytes", size)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.NoError(t, resp.Body.Close())
			}
		}
	}
}

// TestResetWithoutResponseIsLost checks that a request of which a part was sent may have run
// if the server resets the connection without a response.
func TestResetWithoutResponseIsLost(t *testing.T) {
	address := startHasty(t, "")
	tr := newTransport()
	for range 20 {
		req := newRequest(address, http.MethodPost, "")
		req.Body = bytes.Repeat([]byte("x"), 2_000_000)
		_, err := tr.Do(t.Context(), req)
		var lost *ResponseLostError
		require.ErrorAs(t, err, &lost)
	}
}
