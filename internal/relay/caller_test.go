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

// streamUntilClosed streams tokens until its connection is closed, and sets ended
// to that time.
func streamUntilClosed(ended *time.Time) script {
	return func(w *engineWriter) {
		for seq := uint64(0); w.ctx.Err() == nil; seq++ {
			w.writeChunk(w.attemptID, seq)
			time.Sleep(50 * time.Millisecond)
		}
		*ended = time.Now()
	}
}

func TestCallerGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		var ended time.Time
		e := w.addEngine("a", streamUntilClosed(&ended))
		ctx, cancel := context.WithCancel(context.Background())
		var left time.Time
		time.AfterFunc(time.Second, func() { left = time.Now(); cancel() })
		stream, _, err := w.chat(ctx)
		var gone *CallerGoneError
		require.ErrorAs(t, err, &gone)
		require.False(t, stream.done)
		require.NotEmpty(t, stream.errorCode, "a caller that has only closed its sending direction learns that the stream is incomplete")
		time.Sleep(time.Second)
		synctest.Wait()
		require.Less(t, ended.Sub(left), time.Second)
		require.Equal(t, 1, e.cancelCount())
		require.Equal(t, []ResultKind{ResultCallerGone}, w.observer.resultKinds)
	})
}

// TestCancelRequestReachesEngineOfSilentConnection checks that an engine receives
// a cancel request if it can't notice that the connection was closed.
func TestCancelRequestReachesEngineOfSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		var ended time.Time
		e := w.addEngine("a", streamUntilClosed(&ended))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, func() { e.silenceConnections(t); cancel() })
		_, _, err := w.chat(ctx)
		require.Error(t, err)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 1, e.cancelCount())
		require.Equal(t, e.requests[0].Header.Get(HeaderAttemptID), e.cancelledIDs[0])
	})
}

// startGateway runs an HTTP server with the relay on the in-memory network.
func (w *testbed) startGateway(timeout time.Duration) {
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		req := ChatRequest{RequestID: "req-1", Model: "m", Body: chatBody}
		_, _ = w.relay.Chat(r.Context(), req, w.pick, NewSSESink(rw, SSEOptions{ChunkID: "req-1", WriteTimeout: timeout}))
	})
	srv := &http.Server{Handler: handler}
	w.servers = append(w.servers, srv)
	go srv.Serve(w.net.listen("gateway"))
}

// sendRequest opens a connection to the gateway and sends a request on it.
func (w *testbed) sendRequest(t *testing.T) net.Conn {
	c, err := w.net.dial(context.Background(), "", "gateway")
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: g\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	return c
}

func TestSlowCallerTimesOutAndDelaysNobody(t *testing.T) {
	const writeTimeout = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		var ended time.Time
		w.addEngine("a", streamUntilClosed(&ended), completeResponse)
		w.startGateway(writeTimeout)
		slow := w.sendRequest(t)
		defer slow.Close()
		start := time.Now()
		synctest.Wait()
		got, _, err := w.chat(context.Background())
		require.NoError(t, err)
		requireComplete(t, got)
		require.Less(t, time.Since(start), recoveryMargin)
		time.Sleep(writeTimeout + time.Second)
		synctest.Wait()
		require.Less(t, ended.Sub(start), writeTimeout+time.Second)
		require.Contains(t, w.observer.resultKinds, ResultCallerGone)
	})
}

func TestClosedCallerConnectionEndsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		var ended time.Time
		w.addEngine("a", streamUntilClosed(&ended))
		w.startGateway(0)
		c := w.sendRequest(t)
		go io.Copy(io.Discard, c)
		time.Sleep(time.Second)
		closedAt := time.Now()
		c.Close()
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, ended.IsZero())
		require.Less(t, ended.Sub(closedAt), time.Second)
	})
}

// TestTokensAreFlushedAtOnce uses an engine that sends a token only after the
// caller has received the one before, so that a token held back stalls the
// stream.
func TestTokensAreFlushedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		received := make(chan struct{}, responseTokens)
		w.addEngine("a", func(w *engineWriter) {
			for seq := range uint64(responseTokens) {
				w.writeChunk(w.attemptID, seq)
				<-received
			}
			w.writeLastChunk(responseTokens)
			w.writeDone()
		})
		w.startGateway(0)
		c := w.sendRequest(t)
		defer c.Close()
		start := time.Now()
		lines := bufio.NewScanner(c)
		for lines.Scan() && !strings.HasPrefix(lines.Text(), "data: [DONE]") {
			if strings.HasPrefix(lines.Text(), "data: ") {
				select {
				case received <- struct{}{}:
				default:
				}
			}
		}
		require.Zero(t, time.Since(start))
	})
}

// TestJSONResponseToSlowCallerTimesOut checks that writing a response which is
// not streamed times out if the caller doesn't read it.
func TestJSONResponseToSlowCallerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", completeResponse)
		ended := make(chan error, 1)
		srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			req := ChatRequest{RequestID: "req-1", Body: chatBody}
			sink := NewJSONSink(rw, strings.Repeat("x", 64<<10), "m", time.Now())
			_, err := w.relay.Chat(r.Context(), req, w.pick, sink)
			ended <- err
		})}
		w.servers = append(w.servers, srv)
		go srv.Serve(w.net.listen("gateway"))
		c := w.sendRequest(t)
		defer c.Close()
		start := time.Now()
		var gone *CallerGoneError
		require.ErrorAs(t, <-ended, &gone)
		require.LessOrEqual(t, time.Since(start), DefaultWriteTimeout)
	})
}

func TestJSONResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) { w.writeChunks(faultSeq) })
		w.addEngine("b", completeResponse)
		rec := httptest.NewRecorder()
		req := ChatRequest{RequestID: "req-1", Model: "m", Body: chatBody}
		sum, err := w.relay.Chat(context.Background(), req, w.pick, NewJSONSink(rec, "req-1", "m", time.Now()))
		require.NoError(t, err)
		require.True(t, sum.ResponseStarted)
		require.Contains(t, rec.Body.String(), `"content":"`+firstTokens(responseTokens)+`"`)
	})
}

func TestJSONResponseIsNeverPartial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) { w.writeChunks(faultSeq) })
		rec := httptest.NewRecorder()
		req := ChatRequest{RequestID: "req-1", Model: "m", Body: chatBody}
		sum, err := w.relay.Chat(context.Background(), req, w.pick, NewJSONSink(rec, "req-1", "m", time.Now()))
		require.Equal(t, failure.CodeIncompleteResponse, failure.AsRefusal(err).Code)
		require.False(t, sum.ResponseStarted)
		require.Empty(t, rec.Body.String())
	})
}
