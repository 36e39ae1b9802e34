package edge

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/route"
)

const deadlySegment = "deadly"

// crashOnDeadlySegment returns a handler that crashes the endpoint as it begins to
// respond to a prompt that holds deadlySegment.
func crashOnDeadlySegment(e *fakeEndpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if slices.Contains(strings.Fields(r.Header.Get(headerSegments)), deadlySegment) {
			_, _ = io.WriteString(w, "id: 1\ndata: ha")
			_ = http.NewResponseController(w).Flush()
			e.crash()
			return
		}
		_, _ = io.WriteString(w, "id: 1\ndata: whole\n\n")
	}
}

// deadlyRequestCount returns the number of requests with deadlySegment that the
// endpoints have received.
func deadlyRequestCount(endpoints []*fakeEndpoint) int {
	n := 0
	for _, e := range endpoints {
		for _, r := range e.requests() {
			if strings.Contains(r.header.Get(headerSegments), deadlySegment) {
				n++
			}
		}
	}
	return n
}

// TestPromptsDontCrashEndpointsOneAfterAnother sends requests that share one segment,
// which crashes each endpoint, beside sound ones that share all their other segments.
func TestPromptsDontCrashEndpointsOneAfterAnother(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/s/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2})
	var endpoints []*fakeEndpoint
	for i := range 20 {
		e := c.startEndpoint(fmt.Sprint("e", i), "north-a")
		e.setHandler(crashOnDeadlySegment(e))
		endpoints = append(endpoints, e)
	}
	call := func(i int, segments string) response {
		return c.regions["north"].call(http.MethodPost, "/s/", "x", map[string]string{headerID: fmt.Sprint("id-", i), headerSegments: segments})
	}
	for i := range 20 {
		sound := fmt.Sprintf("system caller-%d own-%d", i%3, i)
		require.Equal(t, http.StatusOK, call(2*i, sound).status, "sound request %d", i)
		call(2*i+1, fmt.Sprintf("system caller-%d %s own-%d", i%3, deadlySegment, 100+i))
	}
	require.LessOrEqual(t, deadlyRequestCount(endpoints), 5)
}

// TestHeldPromptIsRefusedWithoutRunning checks the refusal of callers' and of forwarded
// requests.
func TestHeldPromptIsRefusedWithoutRunning(t *testing.T) {
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/s/", Kind: route.Streaming, MaxAttempts: 2})
	south := c.startEndpoint("e1", "south-a")
	south.setHandler(crashOnDeadlySegment(south))
	held := []quarantine.Key{quarantine.HashSegment("s", deadlySegment)}
	for i := range 3 {
		c.regions["south"].edge.Quarantine.RecordCrash(held, uint64(i), time.Now(), time.Now())
	}
	header := map[string]string{headerSegments: "system " + deadlySegment + " own"}
	for _, name := range []string{"south", "north"} {
		got := c.regions[name].call(http.MethodPost, "/s/", "x", header)
		require.Equal(t, http.StatusServiceUnavailable, got.status, name)
		require.NotEmpty(t, got.header.Get("Retry-After"), name)
	}
	require.Zero(t, requestCount(south))
	got := c.regions["north"].call(http.MethodPost, "/s/", "x", map[string]string{headerSegments: "system " + deadlySegment})
	require.NotEqual(t, http.StatusServiceUnavailable, got.status, "the last segment is the request's own")
}

// TestBrokenConnectionsAreNoCrashes has endpoints break off responses and live on.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/s/", Kind: route.Streaming, MaxAttempts: 1})
	for i := range 6 {
		c.startEndpoint(fmt.Sprint("e", i), "north-a").setHandler(truncateResponse)
	}
	for i := range 12 {
		got := c.regions["north"].call(http.MethodPost, "/s/", "x", map[string]string{headerID: fmt.Sprint("id-", i), headerSegments: "system own"})
		require.Equal(t, http.StatusBadGateway, got.status)
	}
	require.Zero(t, c.regions["north"].edge.Quarantine.HeldCount())
	require.Nil(t, c.regions["north"].edge.Quarantine.Digest(time.Now()), "nothing is suspect")
}

// TestUnframedResponseClearsNoSegment has a crashed endpoint's response end with its
// connection, between two events, as a complete one may.
func TestUnframedResponseClearsNoSegment(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/s/", Kind: route.Streaming, MaxAttempts: 1})
	e := c.startEndpoint("e1", "north-a")
	e.setHandler(func(w http.ResponseWriter, r *http.Request) {
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n", headerID, r.Header.Get(headerID))
		_ = buf.Flush()
		_ = conn.Close()
	})
	q := c.regions["north"].edge.Quarantine
	held := []quarantine.Key{quarantine.HashSegment("s", "system")}
	q.RecordCrash(held, 1, time.Now(), time.Now())
	q.RecordCrash(held, 2, time.Now(), time.Now())
	require.Equal(t, http.StatusOK, c.regions["north"].call(http.MethodPost, "/s/", "x", map[string]string{headerSegments: "system own"}).status)
	q.RecordCrash(held, 3, time.Now(), time.Now())
	require.Equal(t, 1, q.HeldCount())
}
