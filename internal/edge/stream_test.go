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

	"github.com/hickorystage/hickorystage/internal/route"
)

// stream answers with the events from the one after Last-Event-Id to last, and
// breaks off after cut if that is above 0, in the middle of the next event.
func stream(last, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(headerLastID))
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Seal", r.Header.Get(headerExpect))
		rc := http.NewResponseController(w)
		for i := from + 1; i <= last; i++ {
			if cut > 0 && i > cut {
				_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: ha")
				_ = rc.Flush()
				reset(w, r)
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
			_ = rc.Flush()
		}
	}
}

// events returns the stream from event first to last as stream writes it.
func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

func streamRoute(resumable bool) route.Route {
	return route.Route{Prefix: "/s/", Kind: route.Streaming, Resumable: resumable, MaxAttempts: 2}
}

func TestStreamsPassAsTheyCome(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		w := newWorld(t, "north", "south")
		w.route(streamRoute(false))
		release := make(chan struct{})
		w.endpoint("e1", dataCentre).answerWith(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, events(1, 1))
			_ = http.NewResponseController(w).Flush()
			<-release
			_, _ = io.WriteString(w, events(2, 2))
		})
		req, err := http.NewRequest(http.MethodPost, w.regions["north"].front.URL+"/s/", nil)
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
		require.Equal(t, "data: event 1\n\n"+events(2, 2), string(rest))
		require.NoError(t, resp.Body.Close())
	}
}

// TestBrokenStreamsGoOnElsewhere breaks a stream after each number of events.
func TestBrokenStreamsGoOnElsewhere(t *testing.T) {
	for _, second := range []string{"north-a", "south-a"} {
		for cut := range 4 {
			w := newWorld(t, "north", "south")
			w.route(streamRoute(true))
			e1, e2 := w.endpoint("e1", "north-a"), w.endpoint("e2", second)
			broken := stream(4, cut)
			if cut == 0 {
				broken = reset
			}
			e1.answerWith(broken)
			e2.answerWith(stream(4, 0))
			for _, e := range []*endpoint{e1, e2} {
				if e == e2 && second == "north-a" {
					// Which one is asked first depends on the request.
					h := broken
					e.answerWith(func(w http.ResponseWriter, r *http.Request) {
						if arrivals(e1, e2) == 1 {
							h(w, r)
							return
						}
						stream(4, 0)(w, r)
					})
					e1.answerWith(func(w http.ResponseWriter, r *http.Request) {
						if arrivals(e1, e2) == 1 {
							h(w, r)
							return
						}
						stream(4, 0)(w, r)
					})
				}
			}
			a := w.regions["north"].call(http.MethodPost, "/s/", "prompt", nil)
			require.NoError(t, a.err)
			require.Equal(t, events(1, 4), a.body, "cut after %d, second in %s", cut, second)
			require.Equal(t, 2, arrivals(e1, e2))
		}
	}
}

// TestBrokenStreamsNeverLookWhole checks every way in which the rest of a stream
// can't be had.
func TestBrokenStreamsNeverLookWhole(t *testing.T) {
	rest := map[string]http.HandlerFunc{
		"not resumable": nil,
		"failed":        status(http.StatusInternalServerError),
		"gap":           func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, events(4, 5)) },
		"broken again":  reset,
		"crossed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerID, "another")
			_, _ = io.WriteString(w, events(3, 5))
		},
	}
	for name, second := range rest {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "north")
			w.route(streamRoute(second != nil))
			e1, e2 := w.endpoint("e1", "north-a"), w.endpoint("e2", "north-a")
			h := func(rw http.ResponseWriter, r *http.Request) {
				if arrivals(e1, e2) == 1 {
					stream(5, 2)(rw, r)
					return
				}
				second(rw, r)
			}
			e1.answerWith(h)
			e2.answerWith(h)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			a := w.regions["north"].callContext(ctx, http.MethodPost, "/s/", "", nil)
			require.Error(t, a.err)
			require.NoError(t, ctx.Err(), "it ends at once")
			// A reset may take events with it that came just before.
			require.True(t, strings.HasPrefix(events(1, 2), a.body), a.body)
			want := 2
			if second == nil {
				want = 1
			}
			require.Equal(t, want, arrivals(e1, e2))
		})
	}
}

// TestRepeatedEventsAreLeftOut plays an endpoint that begins a stream anew.
func TestRepeatedEventsAreLeftOut(t *testing.T) {
	w := newWorld(t, "north")
	w.route(streamRoute(true))
	e1, e2 := w.endpoint("e1", "north-a"), w.endpoint("e2", "north-a")
	h := func(rw http.ResponseWriter, r *http.Request) {
		if arrivals(e1, e2) == 1 {
			stream(5, 2)(rw, r)
			return
		}
		_, _ = io.WriteString(rw, events(1, 5))
	}
	e1.answerWith(h)
	e2.answerWith(h)
	a := w.regions["north"].call(http.MethodPost, "/s/", "", nil)
	require.NoError(t, a.err)
	require.Equal(t, events(1, 5), a.body)
}

func TestFailedStreamsAreAnswered(t *testing.T) {
	w := newWorld(t, "north")
	w.route(streamRoute(false))
	e := w.endpoint("e1", "north-a")
	e.answerWith(status(http.StatusInternalServerError))
	require.Equal(t, http.StatusInternalServerError, w.regions["north"].call(http.MethodPost, "/s/", "", nil).status)
	e.answerWith(reset)
	require.Equal(t, http.StatusBadGateway, w.regions["north"].call(http.MethodPost, "/s/", "", nil).status)
	e.answerWith(shed)
	require.Equal(t, http.StatusServiceUnavailable, w.regions["north"].call(http.MethodPost, "/s/", "", nil).status)
}

func TestReadEvent(t *testing.T) {
	r := bufio.NewReaderSize(strings.NewReader("id: 1\ndata: "+strings.Repeat("x", 100)+"\n\nid: 2\r\ndata: y\r\n\r\ndata: z\n"), 16)
	event, err := readEvent(r, nil)
	require.NoError(t, err)
	require.Len(t, event, 6+6+100+2)
	event, err = readEvent(r, event[:0])
	require.NoError(t, err)
	require.Equal(t, "id: 2\r\ndata: y\r\n\r\n", string(event))
	id, ok := eventID(event)
	require.True(t, ok)
	require.Equal(t, int64(2), id)
	_, err = readEvent(r, nil)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, ok = eventID([]byte("data: id: 3\n\n"))
	require.False(t, ok)
}
