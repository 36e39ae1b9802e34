package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// endless streams tokens until its connection is closed, and notes when.
func endless(ended *time.Time) script {
	return func(w *engineWriter) {
		for seq := uint64(0); w.ctx.Err() == nil; seq++ {
			w.chunk(w.id, seq)
			time.Sleep(50 * time.Millisecond)
		}
		*ended = time.Now()
	}
}

func TestCallerGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		var ended time.Time
		e := w.engine("a", endless(&ended))
		ctx, cancel := context.WithCancel(context.Background())
		var left time.Time
		time.AfterFunc(time.Second, func() { left = time.Now(); cancel() })
		_, _, err := w.chat(ctx)
		var gone *CallerGoneError
		require.ErrorAs(t, err, &gone)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Less(t, ended.Sub(left), time.Second)
		require.Equal(t, 1, e.cancels())
		require.Equal(t, []ResultKind{ResultCallerGone}, w.seen.kinds)
	})
}

// TestCallerGoesAwayBehindASilentConnection checks the cancel order, which
// reaches the engine where the closed connection doesn't.
func TestCallerGoesAwayBehindASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		var ended time.Time
		e := w.engine("a", endless(&ended))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, func() { e.silence(t); cancel() })
		_, _, err := w.chat(ctx)
		require.Error(t, err)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 1, e.cancels())
		require.Equal(t, e.got[0].Header.Get(HeaderAttemptID), e.cancelled[0])
	})
}

// serveChats runs the relay behind an HTTP server on the network in memory.
func (w *world) serveChats(timeout time.Duration) {
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		req := ChatRequest{RequestID: "req-1", Model: "m", Body: chatBody}
		_, _ = w.relay.Chat(r.Context(), req, w.pick, NewSSESink(rw, SSEOptions{ChunkID: "req-1", WriteTimeout: timeout}))
	})
	srv := &http.Server{Handler: handler}
	w.servers = append(w.servers, srv)
	go srv.Serve(w.net.listen("gateway"))
}

// call opens a connection to the gateway and sends a request.
func (w *world) call(t *testing.T) net.Conn {
	c, err := w.net.dial(context.Background(), "", "gateway")
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: g\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	return c
}

func TestSlowCallerHoldsNobody(t *testing.T) {
	const writeTimeout = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		var ended time.Time
		w.engine("a", endless(&ended), whole)
		w.serveChats(writeTimeout)
		slow := w.call(t)
		defer slow.Close()
		start := time.Now()
		synctest.Wait()
		a, _, err := w.chat(context.Background())
		require.NoError(t, err)
		requireWhole(t, a)
		require.Less(t, time.Since(start), slack)
		time.Sleep(writeTimeout + time.Second)
		synctest.Wait()
		require.Less(t, ended.Sub(start), writeTimeout+time.Second)
		require.Contains(t, w.seen.kinds, ResultCallerGone)
	})
}

func TestClosedCallerConnectionCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		var ended time.Time
		w.engine("a", endless(&ended))
		w.serveChats(0)
		c := w.call(t)
		go io.Copy(io.Discard, c)
		time.Sleep(time.Second)
		left := time.Now()
		c.Close()
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, ended.IsZero())
		require.Less(t, ended.Sub(left), time.Second)
	})
}

// TestTokensAreNotHeldBack lets the engine make a token only after the caller
// has got the one before.
func TestTokensAreNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		got := make(chan struct{}, answerLength)
		w.engine("a", func(w *engineWriter) {
			for seq := range uint64(answerLength) {
				w.chunk(w.id, seq)
				<-got
			}
			w.finish(answerLength)
			w.done()
		})
		w.serveChats(0)
		c := w.call(t)
		defer c.Close()
		start := time.Now()
		lines := bufio.NewScanner(c)
		for lines.Scan() && !strings.HasPrefix(lines.Text(), "data: [DONE]") {
			if strings.HasPrefix(lines.Text(), "data: ") {
				select {
				case got <- struct{}{}:
				default:
				}
			}
		}
		require.Zero(t, time.Since(start))
	})
}

// TestPlainAnswerToASlowCaller checks that a caller who doesn't read a plain
// answer is given up.
func TestPlainAnswerToASlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", whole)
		ended := make(chan error, 1)
		srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			req := ChatRequest{RequestID: "req-1", Body: chatBody}
			sink := NewJSONSink(rw, strings.Repeat("x", 64<<10), "m", time.Now())
			_, err := w.relay.Chat(r.Context(), req, w.pick, sink)
			ended <- err
		})}
		w.servers = append(w.servers, srv)
		go srv.Serve(w.net.listen("gateway"))
		c := w.call(t)
		defer c.Close()
		start := time.Now()
		var gone *CallerGoneError
		require.ErrorAs(t, <-ended, &gone)
		require.LessOrEqual(t, time.Since(start), DefaultWriteTimeout)
	})
}

func TestPlainAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", func(w *engineWriter) { w.chunks(faultAt) })
		w.engine("b", whole)
		rec := httptest.NewRecorder()
		req := ChatRequest{RequestID: "req-1", Model: "m", Body: chatBody}
		sum, err := w.relay.Chat(context.Background(), req, w.pick, NewJSONSink(rec, "req-1", "m", time.Now()))
		require.NoError(t, err)
		require.True(t, sum.ResponseStarted)
		require.Contains(t, rec.Body.String(), `"content":"`+text(answerLength)+`"`)
	})
}

func TestPlainAnswerIsNeverPartial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", func(w *engineWriter) { w.chunks(faultAt) })
		rec := httptest.NewRecorder()
		req := ChatRequest{RequestID: "req-1", Model: "m", Body: chatBody}
		sum, err := w.relay.Chat(context.Background(), req, w.pick, NewJSONSink(rec, "req-1", "m", time.Now()))
		require.Equal(t, failure.CodeIncompleteResponse, failure.AsRefusal(err).Code)
		require.False(t, sum.ResponseStarted)
		require.Empty(t, rec.Body.String())
	})
}
