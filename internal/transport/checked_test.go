package transport

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// respondBeforeUpload responds once a request's header has been read, and sends the body of the
// response, of many lines, once the upload has been read too.
func respondBeforeUpload(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	w.Header().Set("Connection", "keep-alive")
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, strings.Repeat("line\n", 2*MaxResponseHeaderLines))
}

// TestLinesAfterAnEarlyHeaderAreNoHeaderLines guards against responses that are lost because
// the rest of an upload is taken for the next request, and the body of the response for a header.
func TestLinesAfterAnEarlyHeaderAreNoHeaderLines(t *testing.T) {
	plain := httptest.NewServer(http.HandlerFunc(respondBeforeUpload))
	defer plain.Close()
	secured := httptest.NewTLSServer(http.HandlerFunc(respondBeforeUpload))
	defer secured.Close()
	for _, url := range []string{plain.URL, secured.URL} {
		client := &http.Client{Transport: NewCheckedTransport(&http.Transport{
			DialContext: NewDialFunc(), TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
		})}
		for range 3 {
			body, upload := io.Pipe()
			resp, err := client.Post(url, "text/plain", body)
			require.NoError(t, err)
			_, err = io.WriteString(upload, "the rest")
			require.NoError(t, err)
			require.NoError(t, upload.Close())
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err, url)
			require.Len(t, got, 2*MaxResponseHeaderLines*len("line\n"))
			require.NoError(t, resp.Body.Close())
		}
		client.CloseIdleConnections()
	}
}

// TestResetDuringAnUploadIsNoEnd guards against a part of a response that looks whole since the
// reset was reported to the write of the upload, at many requests at once.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	const sideBySide = 48
	address := startServerThatEnds(t, "HTTP/1.1 200 OK\r\n\r\npart", func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	for range 4 {
		var wg sync.WaitGroup
		var whole atomic.Int64
		for range sideBySide {
			wg.Go(func() {
				client := &http.Client{Transport: NewCheckedTransport(&http.Transport{DisableKeepAlives: true})}
				resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 4<<20)))
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if _, err := io.ReadAll(resp.Body); err == nil {
					whole.Add(1)
				}
			})
		}
		wg.Wait()
		require.Zero(t, whole.Load(), "of %d", sideBySide)
	}
}

// countingConn counts its reads.
type countingConn struct {
	net.Conn
	reads atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	c.reads.Add(1)
	return c.Conn.Read(p)
}

// TestNothingIsReadAfterAnInvalidHeader guards against a server that goes on to send, and is read
// from, though its response has failed already.
func TestNothingIsReadAfterAnInvalidHeader(t *testing.T) {
	for name, wrap := range map[string]func(conn net.Conn) net.Conn{
		"checked": func(conn net.Conn) net.Conn { return newCheckedConn(conn) },
		"pooled":  func(conn net.Conn) net.Conn { return newPooledConn(conn) },
	} {
		for _, header := range []string{"HTTP/1.1 000 x\r\n", "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", MaxResponseHeaderLines)} {
			server, client := net.Pipe()
			go func() { _, _ = io.WriteString(server, header+strings.Repeat("a:\r\n", 1000)) }()
			counted := &countingConn{Conn: client}
			conn := wrap(counted)
			var first error
			for first == nil {
				_, first = conn.Read(make([]byte, 512))
			}
			reads := counted.reads.Load()
			for range 3 {
				n, err := conn.Read(make([]byte, 512))
				require.Zero(t, n)
				require.Equal(t, first.Error(), err.Error(), name)
			}
			require.Equal(t, reads, counted.reads.Load(), name)
			require.NoError(t, client.Close())
			require.NoError(t, server.Close())
		}
	}
}
