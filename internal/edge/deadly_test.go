package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

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
