package edge

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/route"
)

// callScripted sends a request to a new endpoint in dataCentre that answers with head, which has
// a status line and may have further lines, and a body of one event. It checks that the endpoint
// has received the request once.
func callScripted(t *testing.T, dataCentre string, kind route.RequestKind, head string) response {
	t.Helper()
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/q/", Kind: kind, MaxAttempts: 1})
	var received atomic.Int64
	c.startScriptedEndpoint("e1", dataCentre, func(_ int, r *http.Request) (string, bool) {
		received.Add(1)
		const event = "id: 1\ndata: x\n\n"
		return fmt.Sprintf("%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", head, headerID, r.Header.Get(headerID), len(event), event), false
	})
	got := c.regions["north"].call(http.MethodPost, "/q/", "", nil)
	require.EqualValues(t, 1, received.Load(), "%q", head)
	return got
}

// forEachPath calls test with each head, for each kind of request, at an endpoint of the caller's
// region and at one of another region.
func forEachPath(t *testing.T, heads []string, test func(t *testing.T, head string, got response)) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		for _, kind := range []route.RequestKind{route.NonIdempotent, route.Idempotent, route.Streaming} {
			for _, head := range heads {
				t.Run(fmt.Sprintf("%s/%v/%q", dataCentre, kind, head), func(t *testing.T) {
					test(t, head, callScripted(t, dataCentre, kind, head))
				})
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
		require.Equal(t, "id: 1\ndata: x\n\n", got.body)
	})
}
