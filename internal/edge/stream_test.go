package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/route"
)

// streamEvents returns a handler that sends the events after Last-Event-Id up to
// last. If cut is above 0, it resets the connection in the middle of the event
// after cut.
func streamEvents(last, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(headerLastID))
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Seal", r.Header.Get(headerExpect))
		rc := http.NewResponseController(w)
		for i := from + 1; i <= last; i++ {
			if cut > 0 && i > cut {
				_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: ha")
				_ = rc.Flush()
				resetConnection(w, r)
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
			_ = rc.Flush()
		}
	}
}

// eventText returns the events from first to last as streamEvents writes them.
func eventText(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

func streamRoute(resumable bool) route.Route {
	return route.Route{Prefix: "/s/", Kind: route.Streaming, Resumable: resumable, MaxAttempts: 2}
}

// TestStreamEventsAreRelayedImmediately checks that an event reaches the caller
// before the endpoint sends the next one, in the same region and across regions.
func TestStreamEventsAreRelayedImmediately(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		c := newCluster(t, "north", "south")
		c.addRoute(streamRoute(false))
		release := make(chan struct{})
		c.startEndpoint("e1", dataCentre).setHandler(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, eventText(1, 1))
			_ = http.NewResponseController(w).Flush()
			<-release
			_, _ = io.WriteString(w, eventText(2, 2))
		})
		req, err := http.NewRequest(http.MethodPost, c.regions["north"].callerServer.URL+"/s/", nil)
		require.NoError(t, err)
		req.Host = "a.example"
		req.Header.Set(headerID, "id-1")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		reader := bufio.NewReader(resp.Body)
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "id: 1\n", line)
		close(release)
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.Equal(t, "data: event 1\n\n"+eventText(2, 2), string(rest))
		require.NoError(t, resp.Body.Close())
	}
}

// TestBrokenStreamsResumeElsewhere breaks a resumable stream after 0 to 3 events and
// checks that the caller gets all events once.
func TestBrokenStreamsResumeElsewhere(t *testing.T) {
	for _, second := range []string{"north-a", "south-a"} {
		for cut := range 4 {
			c := newCluster(t, "north", "south")
			c.addRoute(streamRoute(true))
			e1, e2 := c.startEndpoint("e1", "north-a"), c.startEndpoint("e2", second)
			broken := streamEvents(4, cut)
			if cut == 0 {
				broken = resetConnection
			}
			e1.setHandler(broken)
			e2.setHandler(streamEvents(4, 0))
			for _, e := range []*fakeEndpoint{e1, e2} {
				if e == e2 && second == "north-a" {
					// Either endpoint may be chosen for the first attempt.
					h := broken
					e.setHandler(func(w http.ResponseWriter, r *http.Request) {
						if requestCount(e1, e2) == 1 {
							h(w, r)
							return
						}
						streamEvents(4, 0)(w, r)
					})
					e1.setHandler(func(w http.ResponseWriter, r *http.Request) {
						if requestCount(e1, e2) == 1 {
							h(w, r)
							return
						}
						streamEvents(4, 0)(w, r)
					})
				}
			}
			a := c.regions["north"].call(http.MethodPost, "/s/", "prompt", nil)
			require.NoError(t, a.err)
			require.Equal(t, eventText(1, 4), a.body, "cut after %d, second in %s", cut, second)
			require.Equal(t, 2, requestCount(e1, e2))
		}
	}
}

// TestUnresumedStreamsEndWithAnError checks that a broken stream that can't be
// resumed ends at once and with an error, so that it doesn't look complete.
func TestUnresumedStreamsEndWithAnError(t *testing.T) {
	rest := map[string]http.HandlerFunc{
		"not resumable": nil,
		"failed":        respondStatus(http.StatusInternalServerError),
		"gap":           func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, eventText(4, 5)) },
		"broken again":  resetConnection,
		"id of another attempt": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerID, "another")
			_, _ = io.WriteString(w, eventText(3, 5))
		},
	}
	for name, second := range rest {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "north")
			c.addRoute(streamRoute(second != nil))
			e1, e2 := c.startEndpoint("e1", "north-a"), c.startEndpoint("e2", "north-a")
			h := func(rw http.ResponseWriter, r *http.Request) {
				if requestCount(e1, e2) == 1 {
					streamEvents(5, 2)(rw, r)
					return
				}
				second(rw, r)
			}
			e1.setHandler(h)
			e2.setHandler(h)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			a := c.regions["north"].callContext(ctx, http.MethodPost, "/s/", "", nil)
			require.Error(t, a.err)
			require.NoError(t, ctx.Err(), "the stream ends without waiting for the timeout")
			// The reset of a connection may discard events sent just before it.
			require.True(t, strings.HasPrefix(eventText(1, 2), a.body), a.body)
			want := 2
			if second == nil {
				want = 1
			}
			require.Equal(t, want, requestCount(e1, e2))
		})
	}
}

// TestRepeatedEventsAreDropped resumes a stream at an endpoint that ignores
// Last-Event-Id and sends all events from the first.
func TestRepeatedEventsAreDropped(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(streamRoute(true))
	e1, e2 := c.startEndpoint("e1", "north-a"), c.startEndpoint("e2", "north-a")
	h := func(rw http.ResponseWriter, r *http.Request) {
		if requestCount(e1, e2) == 1 {
			streamEvents(5, 2)(rw, r)
			return
		}
		_, _ = io.WriteString(rw, eventText(1, 5))
	}
	e1.setHandler(h)
	e2.setHandler(h)
	a := c.regions["north"].call(http.MethodPost, "/s/", "", nil)
	require.NoError(t, a.err)
	require.Equal(t, eventText(1, 5), a.body)
}

func TestStreamFailuresBeforeFirstEvent(t *testing.T) {
	c := newCluster(t, "north")
	c.addRoute(streamRoute(false))
	e := c.startEndpoint("e1", "north-a")
	e.setHandler(respondStatus(http.StatusInternalServerError))
	require.Equal(t, http.StatusInternalServerError, c.regions["north"].call(http.MethodPost, "/s/", "", nil).status)
	e.setHandler(resetConnection)
	require.Equal(t, http.StatusBadGateway, c.regions["north"].call(http.MethodPost, "/s/", "", nil).status)
	e.setHandler(respondNotRun)
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodPost, "/s/", "", nil).status)
}

func TestReadEvent(t *testing.T) {
	hold := memory.NewAccount(0).Open(memory.Response)
	r := bufio.NewReaderSize(strings.NewReader("id: 1\ndata: "+strings.Repeat("x", 100)+"\n\nid: 2\r\ndata: y\r\n\r\ndata: z\n"), 16)
	event, err := readEvent(r, nil, hold)
	require.NoError(t, err)
	require.Len(t, event, 6+6+100+2)
	event, err = readEvent(r, event[:0], hold)
	require.NoError(t, err)
	require.Equal(t, "id: 2\r\ndata: y\r\n\r\n", string(event))
	id, ok := eventID(event)
	require.True(t, ok)
	require.Equal(t, int64(2), id)
	_, err = readEvent(r, nil, hold)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, ok = eventID([]byte("data: id: 3\n\n"))
	require.False(t, ok)
}
