package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/route"
)

const (
	bodyTestMax   = 1 << 20
	bodyTestLimit = 4 << 20
)

// newMemoryCluster returns a cluster of gateways with a memory limit and a route of each
// kind.
func newMemoryCluster(t *testing.T, regions ...string) *cluster {
	c := newCluster(t, regions...)
	c.limits = route.Limits{MaxBodyBytes: bodyTestMax}
	c.addRoute(route.Route{Prefix: "/once/", Kind: route.NonIdempotent, MaxAttempts: 2})
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 2})
	c.addRoute(route.Route{Prefix: "/last/", Kind: route.Idempotent, MaxAttempts: 1})
	c.addRoute(route.Route{Prefix: "/s/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2})
	for _, r := range c.regions {
		r.edge.Memory.SetLimit(bodyTestLimit)
	}
	return c
}

func (r *region) usage() memory.Usage { return r.edge.Memory.Usage() }

// waitForUsage waits until the account satisfies the condition. The timeout is for a broken
// product only.
func (r *region) waitForUsage(satisfied func(memory.Usage) bool) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return satisfied(r.usage()) }, 10*time.Second, time.Millisecond)
}

func (r *region) waitForNothingHeld() {
	r.t.Helper()
	r.waitForUsage(func(u memory.Usage) bool { return u.InUse == 0 })
}

// stalledRequest sends the head of a request with a body and a part of that, and returns the
// connection.
func (r *region) stalledRequest(path string, length, sent int) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.callerServer.URL, "http://"))
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n%s: id-stalled\r\nContent-Length: %d\r\n\r\n%s",
		path, headerID, length, strings.Repeat("x", sent))
	require.NoError(r.t, err)
	return conn
}

// TestLargeBodiesAreRefusedWhileSmallOnesPass guards against a process that reads bodies
// without a bound, and against a crowd of large bodies that shuts out ordinary requests.
func TestLargeBodiesAreRefusedWhileSmallOnesPass(t *testing.T) {
	c := newMemoryCluster(t, "north")
	north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
	for range 3 {
		north.stalledRequest("/q/", bodyTestMax, 10)
	}
	north.waitForUsage(func(u memory.Usage) bool { return u.Body == 3*bodyTestMax })
	large := strings.Repeat("x", bodyTestMax)
	a := north.call(http.MethodPost, "/once/", large, nil)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, "1.000", a.header.Get("Retry-After"))
	require.Zero(t, requestCount(e))
	a = north.call(http.MethodPost, "/once/", "small", nil)
	require.Equal(t, "answer of e1", a.body)
}

// TestStalledBodyIsEvictedWhenItsBytesAreNeeded checks that the sender of a body that was
// evicted is told that its request has not run, and can't use the connection again.
func TestStalledBodyIsEvictedWhenItsBytesAreNeeded(t *testing.T) {
	c := newMemoryCluster(t, "north")
	north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
	north.edge.Memory.SetLimit(bodyTestMax)
	conn := north.stalledRequest("/q/", bodyTestMax-1000, 100_000)
	north.waitForUsage(func(u memory.Usage) bool { return u.Body == bodyTestMax-1000 })
	a := north.call(http.MethodPost, "/once/", strings.Repeat("x", 2000), nil)
	require.Equal(t, "answer of e1", a.body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "1.000", resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, 1, requestCount(e))
	north.waitForNothingHeld()
}

// TestSingleLargeRequestIsServedInCalm sends the largest body, with and without its length,
// to a gateway with little memory.
func TestSingleLargeRequestIsServedInCalm(t *testing.T) {
	c := newMemoryCluster(t, "north")
	north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
	north.edge.Memory.SetLimit(memory.Limit(6 * bodyTestMax))
	body := strings.Repeat("x", bodyTestMax)
	for _, path := range []string{"/once/", "/q/"} {
		require.Equal(t, "answer of e1", north.call(http.MethodPost, path, body, nil).body)
	}
	req, err := http.NewRequest(http.MethodPost, north.callerServer.URL+"/q/", io.MultiReader(strings.NewReader(body)))
	require.NoError(t, err)
	req.Host = "a.example"
	req.Header.Set(headerID, "id-chunked")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	for _, got := range e.requests() {
		require.Equal(t, body, got.body)
	}
	north.waitForNothingHeld()
}

// stepwise returns the channels of an endpoint's handler that closes begun and waits for
// goOn. finish closes goOn, at the latest when the test ends.
func stepwise(t *testing.T) (begun, goOn chan struct{}, finish func()) {
	begun, goOn = make(chan struct{}), make(chan struct{})
	finish = sync.OnceFunc(func() { close(goOn) })
	t.Cleanup(finish)
	return begun, goOn, finish
}

// TestBodyIsGivenBackWhenNoResendCanNeedIt stops the response after its header, and checks
// which requests still hold their bodies then.
func TestBodyIsGivenBackWhenNoResendCanNeedIt(t *testing.T) {
	const size = 100_000
	for path, held := range map[string]bool{"/once/": false, "/last/": false, "/q/": true, "/s/": true} {
		c := newMemoryCluster(t, "north")
		north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
		begun, goOn, finish := stepwise(t)
		e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			<-goOn
			_, _ = io.WriteString(w, eventText(1, 1))
			_ = http.NewResponseController(w).Flush()
			<-goOn
			_, _ = io.WriteString(w, eventText(2, 2))
		})
		done := make(chan response)
		go func() { done <- north.call(http.MethodPost, path, strings.Repeat("x", size), nil) }()
		<-begun
		require.Equal(t, int64(size), north.usage().Body, path)
		goOn <- struct{}{}
		if held {
			north.waitForUsage(func(u memory.Usage) bool { return u.Response > 0 })
			require.Equal(t, int64(size), north.usage().Body, path)
		} else {
			north.waitForUsage(func(u memory.Usage) bool { return u.Response > 0 && u.Body == 0 })
		}
		finish()
		require.Equal(t, eventText(1, 2), (<-done).body, path)
		north.waitForNothingHeld()
	}
}

// TestResendsHaveTheirBody guards against a body that is given back although the request is
// sent again: after a refusal without running, a failure, or the break of a stream.
func TestResendsHaveTheirBody(t *testing.T) {
	first := map[string]http.HandlerFunc{
		"/once/": respondNotRun, "/q/": truncateResponse, "/s/": streamEvents(2, 1),
	}
	for path, failing := range first {
		c := newMemoryCluster(t, "north")
		e1, e2 := c.startEndpoint("e1", "north-a"), c.startEndpoint("e2", "north-a")
		for _, e := range []*fakeEndpoint{e1, e2} {
			e.setHandler(func(w http.ResponseWriter, r *http.Request) {
				if requestCount(e1, e2) == 1 {
					failing(w, r)
					return
				}
				streamEvents(2, 0)(w, r)
			})
		}
		body := strings.Repeat("x", 100_000)
		require.NoError(t, c.regions["north"].call(http.MethodPost, path, body, nil).err, path)
		received := append(e1.requests(), e2.requests()...)
		require.Len(t, received, 2, path)
		for _, got := range received {
			require.Equal(t, body, got.body, path)
		}
	}
}

// TestForwardedBodyIsChargedAtBothGateways guards against forwards that take memory which no
// gateway counts, and checks that the receiver keeps no body that only the sender resends.
func TestForwardedBodyIsChargedAtBothGateways(t *testing.T) {
	const size = 100_000
	c := newMemoryCluster(t, "north", "south")
	north, south, e := c.regions["north"], c.regions["south"], c.startEndpoint("e1", "south-a")
	begun, goOn, finish := stepwise(t)
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-goOn
		_, _ = io.WriteString(w, eventText(1, 1))
		_ = http.NewResponseController(w).Flush()
		<-goOn
	})
	done := make(chan response)
	go func() { done <- north.call(http.MethodPost, "/s/", strings.Repeat("x", size), nil) }()
	<-begun
	require.Equal(t, int64(size), north.usage().Body)
	require.Equal(t, int64(size), south.usage().Forward)
	goOn <- struct{}{}
	south.waitForUsage(func(u memory.Usage) bool { return u.Response > 0 && u.Forward == 0 })
	require.Equal(t, int64(size), north.usage().Body)
	finish()
	require.Equal(t, eventText(1, 1), (<-done).body)
	north.waitForNothingHeld()
	south.waitForNothingHeld()
}

// TestForwardWithoutMemoryIsRefused checks that a gateway without memory for a forward says
// that it has not run.
func TestForwardWithoutMemoryIsRefused(t *testing.T) {
	c := newMemoryCluster(t, "north", "south")
	e := c.startEndpoint("e1", "south-a")
	c.regions["south"].edge.Memory.SetLimit(1000)
	a := c.regions["north"].call(http.MethodPost, "/once/", strings.Repeat("x", 2000), nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Zero(t, requestCount(e))
	c.regions["south"].waitForNothingHeld()
}

// TestResponseWithoutMemoryIsRelayedAsItArrives guards against a response that is ready and
// gets lost because it can't be held back.
func TestResponseWithoutMemoryIsRelayedAsItArrives(t *testing.T) {
	for _, withLength := range []bool{false, true} {
		c := newMemoryCluster(t, "north")
		north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
		want := strings.Repeat("0123456789", 50_000)
		e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			if withLength {
				w.Header().Set("Content-Length", fmt.Sprint(len(want)))
			}
			_, _ = io.WriteString(w, want[:100])
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, want[100:])
		})
		north.edge.Memory.SetLimit(100_000)
		a := north.call(http.MethodGet, "/q/", "", nil)
		require.NoError(t, a.err)
		require.Equal(t, want, a.body)
		north.waitForNothingHeld()
	}
}

// TestLargeEventIsCharged checks that the memory of a large event is counted and, if there is
// none, its stream is broken off rather than delivered with a gap.
func TestLargeEventIsCharged(t *testing.T) {
	large := "id: 1\ndata: " + strings.Repeat("x", 500_000) + "\n\n"
	for limit, delivered := range map[int64]bool{bodyTestLimit: true, 100_000: false} {
		c := newMemoryCluster(t, "north")
		north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
		e.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large+eventText(2, 2)) })
		north.edge.Memory.SetLimit(limit)
		a := north.call(http.MethodPost, "/s/", "prompt", nil)
		if delivered {
			require.Equal(t, large+eventText(2, 2), a.body)
		} else {
			require.Equal(t, http.StatusBadGateway, a.status)
		}
		north.waitForNothingHeld()
	}
}

// TestSmallEventsAreDeliveredWithoutMemory guards against streams of ordinary events that break
// off because requests have used up the account.
func TestSmallEventsAreDeliveredWithoutMemory(t *testing.T) {
	c := newMemoryCluster(t, "north")
	north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
	event := "id: 1\ndata: " + strings.Repeat("x", 30_000) + "\n\n"
	full := north.edge.Memory.Open(memory.Response)
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		full.Charge(bodyTestLimit)
		_, _ = io.WriteString(w, event+eventText(2, 2))
	})
	require.Equal(t, event+eventText(2, 2), north.call(http.MethodPost, "/s/", "prompt", nil).body)
	full.Close()
	north.waitForNothingHeld()
}

// TestNothingStaysReserved sends a random crowd of requests that succeed, fail, are refused,
// cancelled, timed out and forwarded, and checks that nothing is left in any account. The
// seed is fixed; the order in which the requests run is not.
func TestNothingStaysReserved(t *testing.T) {
	c := newMemoryCluster(t, "north", "south")
	random := rand.New(rand.NewPCG(4, 2026))
	handlers := []http.HandlerFunc{nil, resetConnection, truncateResponse, respondNotRun, respondStatus(http.StatusInternalServerError), waitForCancel, streamEvents(3, 2)}
	for i, dataCentre := range []string{"north-a", "north-a", "south-a"} {
		n := 0
		var mu sync.Mutex
		c.startEndpoint(fmt.Sprintf("e%d", i), dataCentre).setHandler(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			h := handlers[n%len(handlers)]
			n++
			mu.Unlock()
			if h == nil {
				h = streamEvents(3, 0)
			}
			h(w, r)
		})
	}
	var wg sync.WaitGroup
	for i := range 150 {
		path := []string{"/once/", "/q/", "/last/", "/s/", "/none/"}[random.IntN(5)]
		from := c.regions[[]string{"north", "south"}[random.IntN(2)]]
		size, patience := random.IntN(bodyTestMax+bodyTestMax/8), time.Duration(1+random.IntN(300))*time.Millisecond
		if random.IntN(8) == 0 {
			from.stalledRequest(path, size+1, size/2)
			continue
		}
		wg.Go(func() {
			ctx := t.Context()
			if i%3 == 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, patience)
				defer cancel()
			}
			from.callContext(ctx, http.MethodPost, path, strings.Repeat("x", size), map[string]string{headerID: fmt.Sprint(i), headerTimeout: "300"})
		})
	}
	wg.Wait()
	for _, r := range c.regions {
		r.callerServer.CloseClientConnections()
		r.waitForNothingHeld()
		require.Equal(t, memory.Usage{Limit: bodyTestLimit}, r.usage())
	}
}
