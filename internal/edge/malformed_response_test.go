package edge

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/route"
)

// oneEvent is the body of the responses of callScripted.
const oneEvent = "id: 1\ndata: x\n\n"

// callScripted sends a request to a new endpoint in dataCentre that answers with head, which has
// a status line and may have further lines, the field framing and oneEvent. It checks that the
// endpoint has received the request once.
func callScripted(t *testing.T, dataCentre string, kind route.RequestKind, head, framing string) response {
	t.Helper()
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/q/", Kind: kind, MaxAttempts: 1})
	var received atomic.Int64
	c.startScriptedEndpoint("e1", dataCentre, func(_ int, r *http.Request) (string, bool) {
		received.Add(1)
		return fmt.Sprintf("%s%s: %s\r\n%s\r\n\r\n%s", head, headerID, r.Header.Get(headerID), framing, oneEvent), false
	})
	got := c.regions["north"].call(http.MethodPost, "/q/", "", nil)
	require.EqualValues(t, 1, received.Load(), "%q", head)
	return got
}

// forEachPath calls test with each head, for each kind of request, at an endpoint of the caller's
// region and at one of another region, with a length of the body and without.
func forEachPath(t *testing.T, heads []string, test func(t *testing.T, head string, got response)) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		for _, kind := range []route.RequestKind{route.NonIdempotent, route.Idempotent, route.Streaming} {
			for _, framing := range []string{fmt.Sprintf("Content-Length: %d", len(oneEvent)), "Connection: close"} {
				for _, head := range heads {
					t.Run(fmt.Sprintf("%s/%v/%s/%q", dataCentre, kind, framing, head), func(t *testing.T) {
						test(t, head, callScripted(t, dataCentre, kind, head, framing))
					})
				}
			}
		}
	}
}

// requireFailure checks that a caller was told of a failure, and got nothing of the response.
func requireFailure(t *testing.T, _ string, got response) {
	t.Helper()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.NotContains(t, got.body, "data: x")
}

// TestResponseWithoutAValidStatusFails guards against answers whose status no server may send, and
// which callers take for whatever they make of it.
func TestResponseWithoutAValidStatusFails(t *testing.T) {
	forEachPath(t, []string{
		"HTTP/1.1 000 Broken\r\n", "HTTP/1.1 042 Broken\r\n", "HTTP/1.1 099 Broken\r\n", "HTTP/1.1 600 Broken\r\n", "HTTP/1.1 999 Broken\r\n",
		"HTTP/1.1 +20 OK\r\n", "HTTP/1.1 -20 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 2OO OK\r\n", "HTTP/1.1  200 OK\r\n",
		"HTTP/1.1\t200 OK\r\n", "HTTP/1.1 200\tOK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "http/1.1 200 OK\r\n", " HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 200 OK\rX: 1\r\n", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: h2c\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Broken\r\n", "HTTP/1.1 099 Broken\r\n\r\nHTTP/1.1 200 OK\r\n",
	}, requireFailure)
}

// TestUnusualStatusesAreRelayed guards against sound answers that are taken for broken ones.
func TestUnusualStatusesAreRelayed(t *testing.T) {
	statuses := map[string]int{
		"HTTP/1.1 200\r\n": 200, "HTTP/1.1 200 \r\n": 200, "HTTP/1.1 200 OK\n": 200, "HTTP/1.0 200 OK\r\n": 200,
		"HTTP/1.1 299 G\xc3\xbct, ja\tja\r\n": 299, "HTTP/1.1 418 I'm a teapot\r\n": 418, "HTTP/1.1 599 Odd\r\n": 599,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n": 200,
	}
	forEachPath(t, slices.Collect(maps.Keys(statuses)), func(t *testing.T, head string, got response) {
		require.NoError(t, got.err)
		require.Equal(t, statuses[head], got.status)
		require.Equal(t, oneEvent, got.body)
	})
}

// TestResponseWithAMalformedFieldNameFails guards against answers whose endpoint meant another
// framing, or other fields, than what was read.
func TestResponseWithAMalformedFieldNameFails(t *testing.T) {
	var heads []string
	for _, field := range []string{
		"Content-Length : 1", "Content-Length\t: 1", "Transfer-Encoding : chunked", "Content-Type : text/event-stream", "X Y: 1", "X\tY: 1",
		"X\x00Y: 1", "X\x7fY: 1", "X\rY: 1", "X\xe9: 1", "X(: 1", "X@Y: 1", ": 1", " : 1", " X: 1", "\tX: 1", " Content-Length: 1", "X", "X\r: 1", "\r", "\rX: 1",
		"X: 1\r\n Content-Length: 1", "X: 1\r\n\tY", "X: 1\r\nY : 1", "X: 1\rY: 1", "X: \x00",
	} {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+field+"\r\n", "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\nHTTP/1.1 200 OK\r\n")
	}
	forEachPath(t, heads, requireFailure)
}

// TestUnusualFieldsAreRelayed guards against sound answers that are taken for broken ones.
func TestUnusualFieldsAreRelayed(t *testing.T) {
	fields := map[string]string{"x!#$%&'*+-.^_`|~9: 1": "1", "X:1": "1", "X: \t1 \t": "1", "X:": "", "X: a:b \xe9": "a:b \xe9", "X: 1\nY: 2": "1"}
	heads := make(map[string]string)
	for field, value := range fields {
		heads["HTTP/1.1 200 OK\r\n"+field+"\r\n"] = value
	}
	forEachPath(t, slices.Collect(maps.Keys(heads)), func(t *testing.T, head string, got response) {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, oneEvent, got.body)
		name := "X"
		if strings.Contains(head, "~9") {
			name = "x!#$%&'*+-.^_`|~9"
		}
		require.Equal(t, heads[head], got.header.Get(name))
	})
}

// TestTrailersAreNotRelayed guards against fields after a body that get into the answer. The chunks
// show that the body is whole.
func TestTrailersAreNotRelayed(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		for _, kind := range []route.RequestKind{route.NonIdempotent, route.Idempotent, route.Streaming} {
			for _, trailer := range []string{"X: 1\r\n", "X Y: 1\r\n", "Content-Length : 1\r\n", "X: 1\r\n Y: 2\r\n"} {
				c := newCluster(t, "north", "south")
				c.addRoute(route.Route{Prefix: "/q/", Kind: kind, MaxAttempts: 1})
				c.startScriptedEndpoint("e1", dataCentre, func(_ int, r *http.Request) (string, bool) {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n",
						headerID, r.Header.Get(headerID), len(oneEvent), oneEvent, trailer), false
				})
				got := c.regions["north"].call(http.MethodPost, "/q/", "", nil)
				require.NoError(t, got.err)
				require.Equal(t, oneEvent, got.body)
				for _, name := range []string{"X", "X Y", "Trailer", "Content-Length "} {
					require.NotContains(t, got.header, name, "%q", trailer)
				}
			}
		}
	}
}

// TestChunksOfHTTP10Fail guards against the framing of chunks that callers get as the body.
func TestChunksOfHTTP10Fail(t *testing.T) {
	forEachPath(t, []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK\r\nX: 1\r\nTRANSFER-ENCODING:chunked\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\ntransfer-encoding: identity\r\n",
	}, requireFailure)
}
