package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

func TestRequestsAndAnswersPassUnchanged(t *testing.T) {
	w := newWorld(t, "north")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	e := w.endpoint("e1", "north-a")
	e.answerWith(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Seal", "3e1b.07")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header()["Content-Type"] = nil
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "\x00bytes\xff")
	})
	a := w.regions["north"].call(http.MethodPost, "/q/a%2Fb//c?x=1&y=%20", "the body", map[string]string{
		"X-Own": "kept", "Te": "trailers", headerExpect: "forged", headerPatience: "3000",
	})
	require.NoError(t, a.err)
	require.Equal(t, http.StatusTeapot, a.status)
	require.Equal(t, "\x00bytes\xff", a.body)
	require.Equal(t, "3e1b.07", a.header.Get("X-Seal"))
	require.Empty(t, a.header.Get("X-Hop"))
	require.NotContains(t, a.header, "Content-Type", "none was given")
	require.Len(t, e.requests(), 1)
	got := e.requests()[0]
	require.Equal(t, "/q/a%2Fb//c?x=1&y=%20", got.target)
	require.Equal(t, "a.example", got.host)
	require.Equal(t, "the body", got.body)
	require.Equal(t, "kept", got.header.Get("X-Own"))
	require.Equal(t, "e1", got.header.Get(headerExpect))
	require.Empty(t, got.header.Get("Te"))
	require.NotEqual(t, "3000", got.header.Get(headerLeft), "time has passed")
}

func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	w := newWorld(t, "north")
	north := w.regions["north"]
	a := north.call(http.MethodGet, "/q/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	require.Equal(t, http.StatusNotFound, north.call(http.MethodGet, "/other", "", nil).status)
	require.Equal(t, http.StatusServiceUnavailable, north.call(http.MethodGet, "/q/", "", nil).status, "no endpoint")
	require.Equal(t, http.StatusRequestEntityTooLarge, north.call(http.MethodPost, "/q/", strings.Repeat("x", 1001), nil).status)
	require.Equal(t, http.StatusBadRequest, north.call(http.MethodGet, "/q/", "", map[string]string{headerID: ""}).status)
}

// TestAtMostOnce checks for each way in which an attempt can fail how often
// each kind of request is run, and what the caller is told.
func TestAtMostOnce(t *testing.T) {
	ways := []struct {
		name    string
		handler http.HandlerFunc
		// ran says that the request may have run.
		ran bool
	}{
		{"reset", reset, true},
		{"truncated", truncated, true},
		{"failed", status(http.StatusInternalServerError), true},
		{"crossed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerID, "another")
			_, _ = io.WriteString(w, "another's answer")
		}, true},
		{"encoded", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "not what the endpoint made")
		}, true},
		{"shed", shed, false},
		{"another endpoint", status(http.StatusMisdirectedRequest), false},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			w := newWorld(t, "north")
			w.route(route.Route{Prefix: "/once/", Kind: route.NonIdempotent, MaxAttempts: 2})
			w.route(route.Route{Prefix: "/often/", Kind: route.Idempotent, MaxAttempts: 2})
			e1, e2 := w.endpoint("e1", "north-a"), w.endpoint("e2", "north-a")
			first := func(rw http.ResponseWriter, r *http.Request) {
				if arrivals(e1, e2)%2 == 1 {
					way.handler(rw, r)
					return
				}
				_, _ = io.WriteString(rw, "second try")
			}
			e1.answerWith(first)
			e2.answerWith(first)
			north := w.regions["north"]
			a := north.call(http.MethodGet, "/often/", "", nil)
			require.NoError(t, a.err)
			require.Equal(t, "second try", a.body)
			require.Equal(t, 2, arrivals(e1, e2))
			for _, e := range []*endpoint{e1, e2} {
				// A new entry lifts the mark of an endpoint whose address was taken.
				w.entry(fleet.Endpoint{ID: e.id, Sequence: 9, Service: "s", DataCentre: "north-a", Address: strings.TrimPrefix(e.server.URL, "http://")})
			}
			a = north.call(http.MethodPost, "/once/", "x", nil)
			require.NoError(t, a.err)
			if !way.ran {
				require.Equal(t, "second try", a.body, "it did not run before")
				return
			}
			require.Equal(t, 3, arrivals(e1, e2), "never sent again")
			require.NotContains(t, []int{http.StatusOK, 408, 421, 429, 503}, a.status)
		})
	}
}

// TestEveryAttemptCounts checks that no more endpoints are asked than the route
// allows, also when each of them says that it did not run the request.
func TestEveryAttemptCounts(t *testing.T) {
	w := newWorld(t, "north")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 2})
	w.route(route.Route{Prefix: "/one/", Kind: route.NonIdempotent, MaxAttempts: 1})
	var all []*endpoint
	for _, id := range []string{"e1", "e2", "e3"} {
		e := w.endpoint(id, "north-a")
		e.answerWith(shed)
		all = append(all, e)
	}
	a := w.regions["north"].call(http.MethodGet, "/q/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Equal(t, 2, arrivals(all...))
	require.Equal(t, http.StatusServiceUnavailable, w.regions["north"].call(http.MethodPost, "/one/", "", nil).status)
	require.Equal(t, 3, arrivals(all...))
	for _, e := range all {
		e.answerWith(reset)
	}
	a = w.regions["north"].call(http.MethodGet, "/q/", "", nil)
	require.Equal(t, http.StatusBadGateway, a.status, "it may have run")
}

func TestUnreachableEndpointsCostNoAttempt(t *testing.T) {
	w := newWorld(t, "north")
	w.route(route.Route{Prefix: "/q/", Kind: route.NonIdempotent, MaxAttempts: 1})
	for _, id := range []string{"u1", "u2", "u3"} {
		w.unreachable(id, "north-a")
	}
	e := w.endpoint("e1", "north-a")
	for range 5 {
		a := w.regions["north"].call(http.MethodPost, "/q/", "", nil)
		require.Equal(t, "answer of e1", a.body)
	}
	require.Equal(t, 5, arrivals(e))
}

func TestRetriesStopWithTheBudget(t *testing.T) {
	w := newWorld(t, "north")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 2})
	e1, e2 := w.endpoint("e1", "north-a"), w.endpoint("e2", "north-a")
	e1.answerWith(reset)
	e2.answerWith(reset)
	north := w.regions["north"]
	const calls = 150
	for range calls {
		north.call(http.MethodGet, "/q/", "", nil)
	}
	repeats := arrivals(e1, e2) - calls
	require.Positive(t, repeats)
	require.LessOrEqual(t, float64(repeats), 0.2*calls+100)
}

func TestColdEndpointsGetFewRequests(t *testing.T) {
	w := newWorld(t, "north")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	e := w.endpoint("e1", "north-a")
	w.entry(fleet.Endpoint{
		ID: "e1", Sequence: 2, Service: "s", DataCentre: "north-a", Slots: 8,
		Address: strings.TrimPrefix(e.server.URL, "http://"), ColdRemaining: time.Minute,
	})
	for range 20 {
		w.regions["north"].call(http.MethodGet, "/q/", "", nil)
	}
	require.Equal(t, 3, arrivals(e), "1 x 1 + 2 in a second")
}

// TestTimeouts checks that the final answer comes at the route's timeout, and
// what it says.
func TestTimeouts(t *testing.T) {
	w := newWorld(t, "north")
	w.route(route.Route{Prefix: "/q/", Kind: route.NonIdempotent, Timeout: 200 * time.Millisecond})
	e := w.endpoint("e1", "north-a")
	e.answerWith(hang)
	began := time.Now()
	a := w.regions["north"].call(http.MethodPost, "/q/", "", map[string]string{headerPatience: "5000"})
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Less(t, time.Since(began), time.Second)
	require.Eventually(t, func() bool { return e.cancels() == 1 }, time.Second, time.Millisecond)
	began = time.Now()
	a = w.regions["north"].call(http.MethodPost, "/q/", "", map[string]string{headerPatience: "50"})
	require.Equal(t, http.StatusGatewayTimeout, a.status, "the caller's own deadline")
	require.Less(t, time.Since(began), 180*time.Millisecond)
}

// TestWorkEndsWithItsCaller checks that an endpoint is not left at work, here
// and in another region.
func TestWorkEndsWithItsCaller(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		t.Run(dataCentre, func(t *testing.T) {
			w := newWorld(t, "north", "south")
			w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent})
			e := w.endpoint("e1", dataCentre)
			e.answerWith(hang)
			ctx, cancel := context.WithCancel(context.Background())
			go w.regions["north"].callContext(ctx, http.MethodGet, "/q/", "", nil)
			require.Eventually(t, func() bool { return arrivals(e) == 1 }, time.Second, time.Millisecond)
			cancel()
			require.Eventually(t, func() bool { return e.cancels() == 1 }, 400*time.Millisecond, time.Millisecond)
			_, n := w.regions["north"].edge.Idle()
			require.Eventually(t, func() bool { _, n = w.regions["north"].edge.Idle(); return n == 0 }, time.Second, time.Millisecond)
			require.Equal(t, 1, arrivals(e), "nor is it sent again")
		})
	}
}

func TestDirectory(t *testing.T) {
	w := newWorld(t, "north", "south")
	north := w.regions["north"].edge
	addresses, ttl := north.Addresses("a.example", "south")
	require.Equal(t, []string{"caller-south"}, addresses)
	require.Positive(t, ttl)
	addresses, _ = north.Addresses("a.example", "north")
	require.Equal(t, []string{"caller-north"}, addresses)
	addresses, _ = north.Addresses("a.example", "nowhere")
	require.Equal(t, []string{"caller-north"}, addresses, "any is better than none")
	w.route(route.Route{Prefix: "/q/", Kind: route.Idempotent, HomeRegions: []string{"south"}})
	addresses, _ = north.Addresses("a.example", "nowhere")
	require.Equal(t, []string{"caller-south"}, addresses, "this region may not process the host's requests")
}
