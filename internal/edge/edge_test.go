package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

func TestRequestsAndResponsesPassUnchanged(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	e := c.startEndpoint("e1", "north-a")
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Seal", "3e1b.07")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header()["Content-Type"] = nil
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "\x00bytes\xff")
	})
	a := c.regions["north"].call(http.MethodPost, "/q/a%2Fb//c?x=1&y=%20", "the body", map[string]string{
		"X-Own": "kept", "Te": "trailers", headerExpect: "forged", headerTimeout: "3000",
	})
	require.NoError(t, a.err)
	require.Equal(t, http.StatusTeapot, a.status)
	require.Equal(t, "\x00bytes\xff", a.body)
	require.Equal(t, "3e1b.07", a.header.Get("X-Seal"))
	require.Empty(t, a.header.Get("X-Hop"))
	require.NotContains(t, a.header, "Content-Type", "the endpoint sent none")
	require.Len(t, e.requests(), 1)
	got := e.requests()[0]
	require.Equal(t, "/q/a%2Fb//c?x=1&y=%20", got.target)
	require.Equal(t, "a.example", got.host)
	require.Equal(t, "the body", got.body)
	require.Equal(t, "kept", got.header.Get("X-Own"))
	require.Equal(t, "e1", got.header.Get(headerExpect))
	require.Empty(t, got.header.Get("Te"))
	require.NotEqual(t, "3000", got.header.Get(headerRemaining), "the remaining time is shorter than the caller's timeout")
}

// TestRefusalStatuses checks the statuses of refusals. A gateway without
// configuration has to answer 503: it can't know that a route doesn't exist.
// TestTargetsThatBeginWithTwoSlashesPassUnchanged guards against a target of which net/http
// takes the beginning for a host.
func TestTargetsThatBeginWithTwoSlashesPassUnchanged(t *testing.T) {
	c := newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/", Kind: route.Idempotent})
	for _, dataCentre := range []string{"north-a", "south-a"} {
		e := c.startEndpoint("e-"+dataCentre, dataCentre)
		for _, target := range []string{"//x/y?z=1", "//", "//?", "//a%2Fb//c?q=%20&r=//", "///", "//a:80/@b;c,d=e!*'()[]?"} {
			before := requestCount(e)
			require.Contains(t, c.regions["north"].sendTarget(target), "200 OK", target)
			require.Equal(t, before+1, requestCount(e))
			require.Equal(t, target, e.requests()[before].target)
		}
		before := requestCount(e)
		require.Contains(t, c.regions["north"].sendTarget(`//a"b`), "400 Bad Request", "it can't be sent unchanged")
		require.Equal(t, before, requestCount(e))
		c.setEntry(fleet.Endpoint{ID: e.id, Service: "s", DataCentre: dataCentre, Slots: 8, State: fleet.Draining, Sequence: 1, Address: e.server.Listener.Addr().String()})
	}
}

// sendTarget sends a request with the target as it is and returns the response.
func (r *region) sendTarget(target string) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.callerServer.URL, "http://"))
	require.NoError(r.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET "+target+" HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"+headerID+": id-1\r\n\r\n")
	require.NoError(r.t, err)
	got, err := io.ReadAll(conn)
	require.NoError(r.t, err)
	return string(got)
}

// TestResponsesOfAStoppingServerCloseTheirConnection guards against relayed responses that
// take the place of the server's Connection header.
func TestResponsesOfAStoppingServerCloseTheirConnection(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/s/", Kind: route.Streaming})
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	e := c.startEndpoint("e1", "north-a")
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "keep-alive")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	})
	for _, path := range []string{"/s/", "/q/"} {
		for _, closing := range []bool{true, false} {
			recorder := httptest.NewRecorder()
			req := httptest.NewRequest(http.MethodGet, path, nil)
			req.Host = "a.example"
			req.Header.Set(headerID, "id-1")
			if closing {
				recorder.Header().Set("Connection", "close")
			}
			c.regions["north"].edge.CallerHandler().ServeHTTP(recorder, req)
			require.Equal(t, http.StatusOK, recorder.Code)
			require.Equal(t, closing, recorder.Header().Get("Connection") == "close")
		}
	}
}

func TestRefusalStatuses(t *testing.T) {
	c := newCluster(t, "north")
	north := c.regions["north"]
	a := north.call(http.MethodGet, "/q/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	require.Equal(t, http.StatusNotFound, north.call(http.MethodGet, "/other", "", nil).status)
	require.Equal(t, http.StatusServiceUnavailable, north.call(http.MethodGet, "/q/", "", nil).status, "no endpoint")
	require.Equal(t, http.StatusRequestEntityTooLarge, north.call(http.MethodPost, "/q/", strings.Repeat("x", 1001), nil).status)
	require.Equal(t, http.StatusBadRequest, north.call(http.MethodGet, "/q/", "", map[string]string{headerID: ""}).status)
}

// TestNonIdempotentRequestsRunAtMostOnce checks for each failure of an attempt how
// often idempotent and non-idempotent requests are sent, and that the status of a
// request that may have run doesn't invite the caller to repeat it.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	failureModes := []struct {
		name    string
		handler http.HandlerFunc
		// mayHaveRun is set if the endpoint may have run the request.
		mayHaveRun bool
	}{
		{"reset", resetConnection, true},
		{"truncated", truncateResponse, true},
		{"failed", respondStatus(http.StatusInternalServerError), true},
		{"id of another attempt", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerID, "another")
			_, _ = io.WriteString(w, "another's answer")
		}, true},
		{"encoded", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "not what the endpoint made")
		}, true},
		{"shed", respondNotRun, false},
		{"another endpoint", respondStatus(http.StatusMisdirectedRequest), false},
	}
	for _, mode := range failureModes {
		t.Run(mode.name, func(t *testing.T) {
			c := newCluster(t, "north")
			c.addRoute(route.Route{Prefix: "/once/", Kind: route.NonIdempotent, MaxAttempts: 2})
			c.addRoute(route.Route{Prefix: "/often/", Kind: route.Idempotent, MaxAttempts: 2})
			e1, e2 := c.startEndpoint("e1", "north-a"), c.startEndpoint("e2", "north-a")
			first := func(rw http.ResponseWriter, r *http.Request) {
				if requestCount(e1, e2)%2 == 1 {
					mode.handler(rw, r)
					return
				}
				_, _ = io.WriteString(rw, "second try")
			}
			e1.setHandler(first)
			e2.setHandler(first)
			north := c.regions["north"]
			a := north.call(http.MethodGet, "/often/", "", nil)
			require.NoError(t, a.err)
			require.Equal(t, "second try", a.body)
			require.Equal(t, 2, requestCount(e1, e2))
			for _, e := range []*fakeEndpoint{e1, e2} {
				// A new entry clears the mark of an endpoint whose address was taken over.
				c.setEntry(fleet.Endpoint{ID: e.id, Sequence: 9, Service: "s", DataCentre: "north-a", Address: strings.TrimPrefix(e.server.URL, "http://")})
			}
			a = north.call(http.MethodPost, "/once/", "x", nil)
			require.NoError(t, a.err)
			if !mode.mayHaveRun {
				require.Equal(t, "second try", a.body, "the first attempt did not run")
				return
			}
			require.Equal(t, 3, requestCount(e1, e2), "a request that may have run is not sent again")
			require.NotContains(t, []int{http.StatusOK, 408, 421, 429, 503}, a.status)
		})
	}
}

// TestAttemptsAreBoundedByRoute checks that a request is sent to no more endpoints
// than the route allows, even if each of them states that it did not run it.
func TestAttemptsAreBoundedByRoute(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 2})
	c.addRoute(route.Route{Prefix: "/one/", Kind: route.NonIdempotent, MaxAttempts: 1})
	var all []*fakeEndpoint
	for _, id := range []string{"e1", "e2", "e3"} {
		e := c.startEndpoint(id, "north-a")
		e.setHandler(respondNotRun)
		all = append(all, e)
	}
	a := c.regions["north"].call(http.MethodGet, "/q/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Equal(t, 2, requestCount(all...))
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodPost, "/one/", "", nil).status)
	require.Equal(t, 3, requestCount(all...))
	for _, e := range all {
		e.setHandler(resetConnection)
	}
	a = c.regions["north"].call(http.MethodGet, "/q/", "", nil)
	require.Equal(t, http.StatusBadGateway, a.status, "the request may have run")
}

func TestUnreachableEndpointsDoNotCountAsAttempts(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.NonIdempotent, MaxAttempts: 1})
	for _, id := range []string{"u1", "u2", "u3"} {
		c.addUnreachableEndpoint(id, "north-a")
	}
	e := c.startEndpoint("e1", "north-a")
	for range 5 {
		a := c.regions["north"].call(http.MethodPost, "/q/", "", nil)
		require.Equal(t, "answer of e1", a.body)
	}
	require.Equal(t, 5, requestCount(e))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 2})
	e1, e2 := c.startEndpoint("e1", "north-a"), c.startEndpoint("e2", "north-a")
	e1.setHandler(resetConnection)
	e2.setHandler(resetConnection)
	north := c.regions["north"]
	const calls = 150
	for range calls {
		north.call(http.MethodGet, "/q/", "", nil)
	}
	repeats := requestCount(e1, e2) - calls
	require.Positive(t, repeats)
	require.LessOrEqual(t, float64(repeats), 0.2*calls+100)
}

func TestColdEndpointsAreRateLimited(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
	e := c.startEndpoint("e1", "north-a")
	c.setEntry(fleet.Endpoint{
		ID: "e1", Sequence: 2, Service: "s", DataCentre: "north-a", Slots: 8,
		Address: strings.TrimPrefix(e.server.URL, "http://"), ColdRemaining: time.Minute,
	})
	for range 20 {
		c.regions["north"].call(http.MethodGet, "/q/", "", nil)
	}
	require.Equal(t, 3, requestCount(e), "1 x 1 + 2 in a second")
}

// TestTimeouts checks that a request is answered with 504 at the route's timeout or
// the caller's, whichever is shorter, and that it is cancelled at the endpoint.
func TestTimeouts(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.NonIdempotent, Timeout: 200 * time.Millisecond})
	e := c.startEndpoint("e1", "north-a")
	e.setHandler(waitForCancel)
	began := time.Now()
	a := c.regions["north"].call(http.MethodPost, "/q/", "", map[string]string{headerTimeout: "5000"})
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Less(t, time.Since(began), time.Second)
	require.Eventually(t, func() bool { return e.cancelledCount() == 1 }, time.Second, time.Millisecond)
	began = time.Now()
	a = c.regions["north"].call(http.MethodPost, "/q/", "", map[string]string{headerTimeout: "50"})
	require.Equal(t, http.StatusGatewayTimeout, a.status, "the caller's timeout is shorter")
	require.Less(t, time.Since(began), 180*time.Millisecond)
}

// TestCallerCancellationReachesEndpoint checks that a request is cancelled at its
// endpoint when the caller disconnects, in the same region and across regions.
func TestCallerCancellationReachesEndpoint(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		t.Run(dataCentre, func(t *testing.T) {
			c := newCluster(t, "north", "south")
			c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent})
			e := c.startEndpoint("e1", dataCentre)
			e.setHandler(waitForCancel)
			ctx, cancel := context.WithCancel(context.Background())
			go c.regions["north"].callContext(ctx, http.MethodGet, "/q/", "", nil)
			require.Eventually(t, func() bool { return requestCount(e) == 1 }, time.Second, time.Millisecond)
			cancel()
			require.Eventually(t, func() bool { return e.cancelledCount() == 1 }, 400*time.Millisecond, time.Millisecond)
			_, n := c.regions["north"].edge.Idle()
			require.Eventually(t, func() bool { _, n = c.regions["north"].edge.Idle(); return n == 0 }, time.Second, time.Millisecond)
			require.Equal(t, 1, requestCount(e), "a cancelled request is not sent again")
		})
	}
}

// TestDirectorySpreadsCallersByProcessorCapacity guards against small gateways that get as many
// callers as large ones, fall behind and notice late that callers have left.
func TestDirectorySpreadsCallersByProcessorCapacity(t *testing.T) {
	north := newCluster(t, "north").regions["north"].edge
	for id, millicores := range map[string]int{"large": 800, "small-1": 200, "small-2": 200} {
		north.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{
			ID: id, Incarnation: "1", Region: "south", CallerAddress: id, Millicores: millicores,
		}, Seq: 1, Ready: true}, time.Now())
	}
	addresses, _ := north.Addresses("a.example", "south")
	require.ElementsMatch(t, []string{"large", "large", "large", "large", "small-1", "small-2"}, addresses)
}

func TestDirectory(t *testing.T) {
	c := newCluster(t, "north", "south")
	north := c.regions["north"].edge
	addresses, ttl := north.Addresses("a.example", "south")
	require.Equal(t, []string{"caller-south"}, addresses)
	require.Positive(t, ttl)
	addresses, _ = north.Addresses("a.example", "north")
	require.Equal(t, []string{"caller-north"}, addresses)
	addresses, _ = north.Addresses("a.example", "nowhere")
	require.Equal(t, []string{"caller-north"}, addresses, "gateways of another region stand in for an unknown region")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, HomeRegions: []string{"south"}})
	addresses, _ = north.Addresses("a.example", "nowhere")
	require.Equal(t, []string{"caller-south"}, addresses, "this region may not process the host's requests")
}
