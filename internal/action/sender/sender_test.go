package sender_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/action/sender"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// testEndpoint is a loopback server that counts the requests it executes.
type testEndpoint struct {
	address  string
	executed atomic.Int64
	faults   *fault.Switches
	header   atomic.Pointer[http.Header]
	handler  http.HandlerFunc
}

func newTestEndpoint(t *testing.T, handler http.HandlerFunc) *testEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &testEndpoint{address: l.Addr().String(), faults: fault.New(), handler: handler}
	server := &http.Server{Handler: e.faults.Middleware(e)}
	go func() { _ = server.Serve(e.faults.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return e
}

func (e *testEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	header := r.Header.Clone()
	e.header.Store(&header)
	e.executed.Add(1)
	w.Header().Set(sender.HeaderAttemptID, r.Header.Get(sender.HeaderAttemptID))
	if e.handler != nil {
		e.handler(w, r)
		return
	}
	_, _ = io.WriteString(w, "done")
}

// listPicker picks endpoints in order.
type listPicker []sender.Endpoint

func (l listPicker) Pick(_ context.Context, _ action.DispatchRequest, tried []string) (sender.Endpoint, error) {
	if len(tried) >= len(l) {
		return sender.Endpoint{}, failure.Refuse(failure.CodeNoEndpoint, "no endpoint")
	}
	return l[len(tried)], nil
}

func newPicker(method string, addresses ...string) listPicker {
	var l listPicker
	for _, a := range addresses {
		l = append(l, sender.Endpoint{ID: a, Address: a, Method: method, Path: "/book", ChecksFencing: true})
	}
	return l
}

func newDispatchRequest() action.DispatchRequest {
	return action.DispatchRequest{
		AttemptID: "attempt", RequestID: "request", ActionID: "action", FencingToken: 1, Body: []byte("body"),
		Timeout: time.Second, Commit: func() error { return nil },
	}
}

// unusedAddress returns a loopback address that refuses connections.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// TestPooledClientSendsTwice shows that net/http sends a request twice where a
// Sender doesn't. The server executes the second request of each connection and
// closes the connection without a response.
func TestPooledClientSendsTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		var executed atomic.Int64
		go serveAndClose(l, &executed)

		pooled := &http.Client{Transport: &http.Transport{}}
		t.Cleanup(pooled.CloseIdleConnections)
		send := func() {
			req, err := http.NewRequest(method, "http://"+l.Addr().String()+"/book", bytes.NewReader([]byte("body")))
			require.NoError(t, err)
			req.Header.Set("Idempotency-Key", "k")
			resp, err := pooled.Do(req)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		send()
		require.EqualValues(t, 1, executed.Load())
		send()
		require.EqualValues(t, 3, executed.Load(), "net/http sent the second request twice")

		executed.Store(0)
		s := sender.New(newPicker(method, l.Addr().String()), sender.Limits{}, nil)
		for i := range 3 {
			_, err := s.Dispatch(t.Context(), newDispatchRequest())
			require.NoError(t, err)
			require.EqualValues(t, i+1, executed.Load())
		}
	}
}

// serveAndClose responds to the first request of each connection. It executes
// the second one and closes the connection without a response.
func serveAndClose(l net.Listener, executed *atomic.Int64) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serveOneThenClose(conn, executed)
	}
}

// serveOneThenClose serves one connection of serveAndClose.
func serveOneThenClose(conn net.Conn, executed *atomic.Int64) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		executed.Add(1)
		if n > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nContent-Length: 2\r\n\r\nok")
	}
}

func TestFaultsOfOneDispatch(t *testing.T) {
	unresponsive := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	stalling := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	otherAttempt := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(sender.HeaderAttemptID, "other") }
	long := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2000)) }
	redirect := func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/book", http.StatusTemporaryRedirect)
	}
	cases := map[string]struct {
		handler  http.HandlerFunc
		fault    fault.Kind
		status   int
		executed int64
	}{
		"complete response":           {status: 200, executed: 1},
		"redirect is not followed":    {handler: redirect, status: 307, executed: 1},
		"request lost":                {fault: fault.DropRequest},
		"response lost":               {fault: fault.DropResponse, executed: 1},
		"response truncated":          {fault: fault.Truncate, executed: 1},
		"no response":                 {handler: unresponsive, executed: 1},
		"stalled body":                {handler: stalling, executed: 1},
		"response of another attempt": {handler: otherAttempt, executed: 1},
		"response too long":           {handler: long, executed: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEndpoint(t, c.handler)
			if c.fault != "" {
				require.NoError(t, e.faults.Set(fault.Setting{Kind: c.fault, Bytes: 2}))
			}
			s := sender.New(newPicker(http.MethodPost, e.address, e.address), sender.Limits{MaxBodyBytes: 1000, BodyIdleTimeout: 200 * time.Millisecond}, nil)
			resp, err := s.Dispatch(t.Context(), newDispatchRequest())
			require.Equal(t, c.executed, e.executed.Load())
			if c.status != 0 {
				require.NoError(t, err)
				require.Equal(t, c.status, resp.Status)
				return
			}
			var maybeSent *action.MaybeSentError
			require.ErrorAs(t, err, &maybeSent)
		})
	}
}

// TestSilentConnectionsDoNotMatter: connections that become unresponsive for
// good don't affect later requests, since none is reused.
func TestSilentConnectionsDoNotMatter(t *testing.T) {
	e := newTestEndpoint(t, nil)
	s := sender.New(newPicker(http.MethodPost, e.address), sender.Limits{}, nil)
	for i := range 3 {
		_, err := s.Dispatch(t.Context(), newDispatchRequest())
		require.NoError(t, err)
		require.EqualValues(t, i+1, e.executed.Load())
		require.NoError(t, e.faults.Set(fault.Setting{Kind: fault.Silent}))
	}
}

func TestFailedDialTriesNextEndpoint(t *testing.T) {
	e := newTestEndpoint(t, nil)
	s := sender.New(newPicker(http.MethodPost, unusedAddress(t), e.address), sender.Limits{}, nil)
	resp, err := s.Dispatch(t.Context(), newDispatchRequest())
	require.NoError(t, err)
	require.Equal(t, e.address, resp.EndpointID)

	s = sender.New(newPicker(http.MethodPost, unusedAddress(t)), sender.Limits{}, nil)
	_, err = s.Dispatch(t.Context(), newDispatchRequest())
	var notSent *action.NotSentError
	require.ErrorAs(t, err, &notSent)
	require.Equal(t, failure.CodeNoEndpoint, failure.AsRefusal(err).Code)
}

func TestRefusedCommitSendsNothing(t *testing.T) {
	e := newTestEndpoint(t, nil)
	s := sender.New(newPicker(http.MethodPost, e.address), sender.Limits{}, nil)
	r := newDispatchRequest()
	r.Commit = func() error { return &action.CommitError{Reason: action.CommitRepeated} }
	_, err := s.Dispatch(t.Context(), r)
	var notSent *action.NotSentError
	require.ErrorAs(t, err, &notSent)
	require.Zero(t, e.executed.Load())
}

func TestDispatchSetsHeaders(t *testing.T) {
	e := newTestEndpoint(t, nil)
	_, err := sender.New(newPicker(http.MethodPost, e.address), sender.Limits{}, nil).Dispatch(t.Context(), newDispatchRequest())
	require.NoError(t, err)
	h := *e.header.Load()
	require.Equal(t, "1", h.Get(sender.HeaderFencingToken))
	require.Equal(t, "action", h.Get(sender.HeaderActionID))
	require.Equal(t, "request", h.Get(sender.HeaderRequestID))
	require.Empty(t, h.Get("Idempotency-Key"))
	require.Empty(t, h.Get("X-Idempotency-Key"))
}

// TestHeaderWithoutEndEndsTheDispatch lets an endpoint answer with header lines until the
// connection is closed.
func TestHeaderWithoutEndEndsTheDispatch(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var written atomic.Int64
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		// A dispatch that is still being written may fail with the write's error instead.
		if _, err = io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			var n int
			n, err = io.WriteString(conn, "a:\r\n")
			written.Add(int64(n))
		}
	}()
	s := sender.New(newPicker(http.MethodPost, l.Addr().String()), sender.DefaultLimits(), nil)
	_, err = s.Dispatch(t.Context(), newDispatchRequest())
	var lines *transport.HeaderLinesError
	require.ErrorAs(t, err, &lines)
}

// TestBodyWithoutEndEndsTheDispatch lets an endpoint answer with a body that is written until
// the connection is closed. What is kept for a repeat has a limit.
func TestBodyWithoutEndEndsTheDispatch(t *testing.T) {
	const buffersOfSockets = 16 << 20
	taken := make(chan int64, 1)
	e := newTestEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		written, block := int64(0), make([]byte, 16<<10)
		for {
			n, err := w.Write(block)
			if written += int64(n); err != nil {
				taken <- written
				return
			}
		}
	})
	limits := sender.DefaultLimits()
	s := sender.New(newPicker(http.MethodPost, e.address), limits, nil)
	_, err := s.Dispatch(t.Context(), newDispatchRequest())
	var tooLong *sender.ResponseTooLongError
	require.ErrorAs(t, err, &tooLong)
	select {
	case n := <-taken:
		require.Less(t, n, limits.MaxBodyBytes+buffersOfSockets)
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stays open")
	}
	require.EqualValues(t, 1, e.executed.Load())
}
