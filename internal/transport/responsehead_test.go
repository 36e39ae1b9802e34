package transport

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeaderLinesAreCounted feeds headers in pieces of each size.
func TestHeaderLinesAreCounted(t *testing.T) {
	const ok, early = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"
	line := "A: 1\r\n"
	for name, tc := range map[string]struct {
		head string
		fits bool
	}{
		"most lines":                   {ok + strings.Repeat(line, MaxResponseHeaderLines-2) + "\r\n", true},
		"body of many lines":           {ok + "\r\n" + strings.Repeat("\n", 10*MaxResponseHeaderLines), true},
		"body of one line":             {ok + "\r\n" + "no field", true},
		"body without carriage return": {"HTTP/1.1 200 OK\n\n" + strings.Repeat("\n", 10*MaxResponseHeaderLines), true},
		"after informational":          {early + line + "\r\n" + ok + line + "\r\n" + strings.Repeat("\n", 10*MaxResponseHeaderLines), true},
		"too many lines":               {ok + strings.Repeat(line, MaxResponseHeaderLines+1), false},
		"empty lines before":           {strings.Repeat("\r\n", MaxResponseHeaderLines+1), false},
		"informational without end":    {strings.Repeat(early+"\r\n", MaxResponseHeaderLines), false},
	} {
		for size := 1; size <= 9; size++ {
			var h responseHead
			h.begin()
			fits := true
			for rest := []byte(tc.head); len(rest) > 0 && fits; rest = rest[min(size, len(rest)):] {
				fits = h.add(rest[:min(size, len(rest))]) == nil
			}
			require.Equal(t, tc.fits, fits, "%s, %d bytes at a time", name, size)
			require.Equal(t, !tc.fits, h.isReading, name)
		}
	}
}

// TestResponseWithTooManyHeaderLinesIsLost sends requests on a kept connection, the last of
// which gets such a response.
func TestResponseWithTooManyHeaderLinesIsLost(t *testing.T) {
	address, _, conns := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		lines := MaxResponseHeaderLines - 10
		if r.URL.Path == "/many" {
			lines = MaxResponseHeaderLines
		}
		for range lines {
			w.Header().Add("X-Many", "1")
		}
		_, _ = w.Write([]byte(strings.Repeat("\n", 2*MaxResponseHeaderLines)))
	})
	tr := newTransport()
	for range 3 {
		_, err := send(t, tr, newRequest(address, http.MethodPost, "x"))
		require.NoError(t, err)
	}
	require.Equal(t, int64(1), conns.Load())
	r := newRequest(address, http.MethodPost, "x")
	r.Target = "/many"
	_, err := send(t, tr, r)
	var lost *ResponseLostError
	var lines *HeaderLinesError
	require.ErrorAs(t, err, &lost)
	require.ErrorAs(t, err, &lines)
}

// TestLimitedConnectionsCountEachHeader sends requests on a kept connection of net/http, the
// last of which gets too many lines.
func TestLimitedConnectionsCountEachHeader(t *testing.T) {
	address, _, conns := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		lines := MaxResponseHeaderLines - 10
		if r.URL.Path == "/many" {
			lines = MaxResponseHeaderLines
		}
		for range lines {
			w.Header().Add("X-Many", "1")
		}
		_, _ = w.Write([]byte(strings.Repeat("\n", 2*MaxResponseHeaderLines)))
	})
	client := &http.Client{Transport: NewCheckedTransport(&http.Transport{DialContext: NewDialFunc()})}
	defer client.CloseIdleConnections()
	get := func(path string) error {
		resp, err := client.Get("http://" + address + path)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	for range 3 {
		require.NoError(t, get("/few"))
	}
	require.Equal(t, int64(1), conns.Load())
	var lines *HeaderLinesError
	require.ErrorAs(t, get("/many"), &lines)
}

// TestMalformedHeadersAreFound feeds headers in pieces of each size, each followed by bytes of a
// body that would be malformed in a header.
func TestMalformedHeadersAreFound(t *testing.T) {
	for head, isMalformed := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: 1\r\nB:2\r\n\r\n":                 false,
		"HTTP/1.1 200\n\n":                                       false,
		"HTTP/1.0 599 \r\nA: \x00\r\n\r\n":                       false, // net/http checks values.
		"HTTP/1.1 103 x\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":  false,
		"HTTP/1.1 000 OK\r\n\r\n":                                true,
		"HTTP/1.1 2000\r\n\r\n":                                  true,
		"HTTP/1.1 20\r\n\r\n":                                    true,
		"HTTP/1.1 200\r\rOK\r\n\r\n":                             true,
		"HTTP/1.1 200 OK\r\nA : 1\r\n\r\n":                       true,
		"HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n":               true,
		"HTTP/1.1 200 OK\r\nA\r: 1\r\n\r\n":                      true,
		"HTTP/1.1 200 OK\r\n\rA: 1\r\n\r\n":                      true,
		"HTTP/1.1 200 OK\r\n\r\r\n":                              true,
		"HTTP/1.1 200 OK\r\nA\r\n\r\n":                           true,
		"HTTP/1.1 200 OK\r\n: 1\r\n\r\n":                         true,
		"HTTP/1.1 103 x\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA B: ": true,
		"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 600 OK\r\n":              true,
	} {
		for size := 1; size <= 9; size++ {
			var h responseHead
			h.begin()
			var err error
			for rest := []byte(head + "a body: \x00\r\r\n"); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				err = h.add(rest[:min(size, len(rest))])
			}
			var malformed *MalformedHeaderError
			require.Equal(t, isMalformed, errors.As(err, &malformed), "%q, %d bytes at a time: %v", head, size, err)
			require.Equal(t, isMalformed, h.isReading, "%q", head)
		}
	}
}
