package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/route"
)

// slowCaller is a response that takes nothing until it is released or its write deadline has
// passed.
type slowCaller struct {
	*httptest.ResponseRecorder
	released chan struct{}
	expired  chan struct{}
	once     sync.Once
}

func newSlowCaller() *slowCaller {
	return &slowCaller{ResponseRecorder: httptest.NewRecorder(), released: make(chan struct{}), expired: make(chan struct{})}
}

func (c *slowCaller) Write(p []byte) (int, error) {
	select {
	case <-c.released:
		return c.ResponseRecorder.Write(p)
	case <-c.expired:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *slowCaller) FlushError() error { return nil }

func (c *slowCaller) SetWriteDeadline(t time.Time) error {
	if !t.After(time.Now()) {
		c.once.Do(func() { close(c.expired) })
	}
	return nil
}

// TestSlowCallerDoesNotHoldUpTheEndpoint guards against a stream that the endpoint cuts off
// because its caller reads slowly: the endpoint is read to the end before the caller has read
// anything.
func TestSlowCallerDoesNotHoldUpTheEndpoint(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/s/", Kind: route.Streaming})
	e := c.startEndpoint("e", "north-a")
	e.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(eventText(1, 200))) })
	edge := c.regions["north"].edge
	req := httptest.NewRequest(http.MethodPost, "/s/", nil)
	req.Host = "a.example"
	req.Header.Set(headerID, "id-1")
	caller := newSlowCaller()
	s, err := edge.openSession(caller, req, time.Now())
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.run(t.Context())
	}()
	require.Eventually(t, func() bool {
		loads := edge.Loads.Loads(time.Now())
		return requestCount(e) == 1 && len(loads) == 0
	}, 10*time.Second, time.Millisecond, "the endpoint is done")
	select {
	case <-ended:
		require.Fail(t, "the caller has not read the response")
	default:
	}
	close(caller.released)
	<-ended
	require.Equal(t, eventText(1, 200), caller.Body.String())
	require.Zero(t, edge.streamBacklog.Load())
}

// TestSlowCallerAtTheDeadline checks that a stream that is cut off at its deadline, while its
// caller has not read all of it, does not end as if it was whole.
func TestSlowCallerAtTheDeadline(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(route.Route{Prefix: "/s/", Kind: route.Streaming, Timeout: 200 * time.Millisecond})
	e := c.startEndpoint("e", "north-a")
	e.setHandler(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(eventText(1, 3)))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	req := httptest.NewRequest(http.MethodPost, "/s/", nil)
	req.Host = "a.example"
	req.Header.Set(headerID, "id-1")
	caller := newSlowCaller()
	s, err := c.regions["north"].edge.openSession(caller, req, time.Now())
	require.NoError(t, err)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { s.run(t.Context()) })
	require.Zero(t, s.edge.streamBacklog.Load())
}

// TestBacklogIsBounded checks the limits of one stream and of all, and that waiting ends with
// room, with the request, and with the connection.
func TestBacklogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var total atomic.Int64
		caller := newSlowCaller()
		w := newStreamWriter(caller, &total, memory.NewAccount(0))
		event := []byte(strings.Repeat("x", maxStreamBacklog/4))
		require.NoError(t, w.write(t.Context(), event, false))
		synctest.Wait()
		for range 4 {
			require.NoError(t, w.write(t.Context(), event, true), "one is being written, four are kept")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, w.write(ctx, event, false), context.DeadlineExceeded)
		waited := make(chan error, 1)
		go func() { waited <- w.write(t.Context(), event, false) }()
		synctest.Wait()
		require.Empty(t, waited)
		close(caller.released)
		require.NoError(t, <-waited)
		require.NoError(t, w.finish())
		require.Equal(t, 6*len(event), caller.Body.Len())
		require.Zero(t, total.Load())

		total.Store(maxTotalBacklog)
		full := newSlowCaller()
		w = newStreamWriter(full, &total, memory.NewAccount(0))
		require.NoError(t, w.write(t.Context(), event, false), "each stream may have one event")
		synctest.Wait()
		require.NoError(t, w.write(t.Context(), event, false))
		go func() { waited <- w.write(t.Context(), event, false) }()
		synctest.Wait()
		require.Empty(t, waited)
		_ = full.SetWriteDeadline(time.Unix(1, 0))
		require.ErrorIs(t, <-waited, os.ErrDeadlineExceeded)
		require.Error(t, w.write(t.Context(), event, false))
		w.abort(time.Hour)
		require.EqualValues(t, maxTotalBacklog, total.Load())

		stalled := newSlowCaller()
		w = newStreamWriter(stalled, &atomic.Int64{}, memory.NewAccount(0))
		require.NoError(t, w.write(t.Context(), event, false))
		w.abort(abortGrace)
		require.True(t, errors.Is(w.err, os.ErrDeadlineExceeded))
	})
}

// TestBacklogIsCharged guards against backlogs that the memory account doesn't know of, and
// against bytes that stay reserved: after a whole stream, a caller that has left, one that
// doesn't take the rest of a stream that was broken off, and a stream that was never written.
func TestBacklogIsCharged(t *testing.T) {
	event := []byte(strings.Repeat("x", 1000))
	outcomes := map[string]func(*slowCaller, *streamWriter){
		"whole": func(caller *slowCaller, w *streamWriter) {
			close(caller.released)
			require.NoError(t, w.finish())
		},
		"caller has left": func(caller *slowCaller, w *streamWriter) {
			_ = caller.SetWriteDeadline(time.Unix(1, 0))
			require.ErrorIs(t, w.finish(), os.ErrDeadlineExceeded)
			require.Error(t, w.write(t.Context(), event, false))
		},
		"broken off and unread": func(_ *slowCaller, w *streamWriter) { w.abort(abortGrace) },
		"broken off and read": func(caller *slowCaller, w *streamWriter) {
			close(caller.released)
			w.abort(abortGrace)
		},
	}
	for name, end := range outcomes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var total atomic.Int64
				account := memory.NewAccount(1 << 20)
				caller := newSlowCaller()
				w := newStreamWriter(caller, &total, account)
				require.NoError(t, w.write(t.Context(), event, false))
				synctest.Wait()
				for range 3 {
					require.NoError(t, w.write(t.Context(), event, false))
				}
				require.EqualValues(t, 4*len(event), account.Usage().Response, "one is being written, three are kept")
				end(caller, w)
				require.Equal(t, memory.Usage{Limit: 1 << 20}, account.Usage())
				require.Zero(t, total.Load())
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		account := memory.NewAccount(1 << 20)
		w := newStreamWriter(newSlowCaller(), &atomic.Int64{}, account)
		w.abort(abortGrace)
		require.Zero(t, account.Usage().InUse)
	})
}

// TestBacklogWithoutMemory guards against a stream that stops for good, or is broken off,
// while there is no memory: it goes on one event at a time.
func TestBacklogWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var total atomic.Int64
		account := memory.NewAccount(1000)
		others := account.Open(memory.Response)
		others.Charge(1000)
		caller := newSlowCaller()
		w := newStreamWriter(caller, &total, account)
		event := []byte(strings.Repeat("x", 100))
		require.NoError(t, w.write(t.Context(), event, false))
		synctest.Wait()
		require.NoError(t, w.write(t.Context(), event, false), "an empty backlog takes any event")
		waited := make(chan error, 1)
		go func() { waited <- w.write(t.Context(), event, false) }()
		synctest.Wait()
		require.Empty(t, waited)
		close(caller.released)
		require.NoError(t, <-waited)
		require.NoError(t, w.finish())
		require.Equal(t, 3*len(event), caller.Body.Len())
		require.EqualValues(t, 1000, account.Usage().InUse)
		others.Close()
		require.Zero(t, account.Usage().InUse)
	})
}
