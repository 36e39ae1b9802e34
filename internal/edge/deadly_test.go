package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/route"
)

const deadlyBody = "deadly"

// crashOnDeadlyRequest returns a handler that crashes the endpoint as it begins to run a
// request with deadlyBody.
func crashOnDeadlyRequest(e *fakeEndpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		received := e.requests()
		if received[len(received)-1].body == deadlyBody {
			e.crash()
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: whole\n\n")
	}
}

// bodiesReceived returns the number of requests with the given body that the endpoints have
// received.
func bodiesReceived(endpoints []*fakeEndpoint, body string) int {
	n := 0
	for _, e := range endpoints {
		for _, r := range e.requests() {
			if r.body == body {
				n++
			}
		}
	}
	return n
}

// TestRequestsDontCrashEndpointsOneAfterAnother sends one request again and again that crashes
// each endpoint, beside sound ones that differ from it in one thing.
func TestRequestsDontCrashEndpointsOneAfterAnother(t *testing.T) {
	for _, tc := range []struct {
		name       string
		kind       route.RequestKind
		dataCentre string
		header     map[string]string
	}{
		{"idempotent", route.Idempotent, "north-a", nil},
		{"action", route.NonIdempotent, "north-a", nil},
		{"stream", route.Streaming, "north-a", map[string]string{headerSegments: "system caller own"}},
		{"forwarded", route.Idempotent, "south-a", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, "north", "south")
			c.addRoute(route.Route{Prefix: "/q/", Kind: tc.kind, MaxAttempts: 2})
			var endpoints []*fakeEndpoint
			for i := range 20 {
				e := c.startEndpoint(fmt.Sprint("e", i), tc.dataCentre)
				e.setHandler(crashOnDeadlyRequest(e))
				endpoints = append(endpoints, e)
			}
			call := func(id, path, body string) response {
				header := map[string]string{headerID: id}
				for k, v := range tc.header {
					header[k] = v
				}
				return c.regions["north"].call(http.MethodPost, path, body, header)
			}
			for i := range 12 {
				call(fmt.Sprint("deadly-", i), "/q/x", deadlyBody)
				for n, sound := range []struct{ path, body string }{{"/q/x", "sound"}, {"/q/x", fmt.Sprint("sound ", i)}, {"/q/", strings.Repeat("d", 100)}} {
					require.Equal(t, http.StatusOK, call(fmt.Sprint("sound-", i, n), sound.path, sound.body).status, "sound request %d of round %d", n, i)
				}
			}
			require.LessOrEqual(t, bodiesReceived(endpoints, deadlyBody), 4)
			got := call("last", "/q/x", deadlyBody)
			require.Equal(t, http.StatusServiceUnavailable, got.status, "refused as not run")
			require.NotEmpty(t, got.header.Get("Retry-After"))
		})
	}
}

// TestAnsweredRequestIsNotHeld guards against refusing a request that endpoints answer, with
// whatever status, since two of them crashed under it before and another one does later.
func TestAnsweredRequestIsNotHeld(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		c := newCluster(t, "north")
		c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1})
		e := c.startEndpoint("e1", "north-a")
		e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "answer")
		})
		q := c.regions["north"].edge.RequestQuarantine
		key := []quarantine.Key{quarantine.HashRequest(quarantine.Request{Service: "s", Method: http.MethodGet, Target: "/q/x"})}
		crash := func(endpoint uint64) {
			now := time.Now()
			q.RecordCrash(key, endpoint, now, now.Add(time.Millisecond))
			time.Sleep(2 * time.Millisecond)
		}
		crash(1)
		crash(2)
		require.Equal(t, status, c.regions["north"].call(http.MethodGet, "/q/x", "", nil).status)
		crash(3)
		require.Zero(t, q.HeldCount(), "status %d", status)
		crash(4)
		crash(5)
		require.Equal(t, 1, q.HeldCount(), "status %d: held without a response in between", status)
	}
}
