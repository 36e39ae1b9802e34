package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func newTransport() *Transport { return New(NewDialFunc(), time.Second) }

// startServer starts a server that counts its requests and connections.
func startServer(t *testing.T, h http.HandlerFunc) (address string, requests, conns *atomic.Int64) {
	requests, conns = new(atomic.Int64), new(atomic.Int64)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		h(w, r)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests, conns
}

func newRequest(address, method, body string) Request {
	return Request{Address: address, Method: method, Target: "/a%2Fb?x=1", Host: "a.example", Header: http.Header{}, Body: []byte(body)}
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, strings.Join([]string{
		r.Method, r.RequestURI, r.Host, string(body), r.Header.Get("User-Agent"), r.Header.Get("Accept-Encoding"), strings.Join(r.TransferEncoding, ","),
	}, "|"))
}

func send(t *testing.T, tr *Transport, req Request) (string, error) {
	resp, err := tr.Do(context.Background(), req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body), nil
}

func TestRequestsAreSentUnchanged(t *testing.T) {
	address, _, conns := startServer(t, echo)
	tr := newTransport()
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete, "PURGE"} {
		got, err := send(t, tr, newRequest(address, method, ""))
		require.NoError(t, err)
		require.Equal(t, method+"|/a%2Fb?x=1|a.example||||", got)
	}
	got, err := send(t, tr, newRequest(address, http.MethodPost, "body"))
	require.NoError(t, err)
	require.Equal(t, "POST|/a%2Fb?x=1|a.example|body|||", got)
	require.Equal(t, int64(1), conns.Load())
	dedicated := newRequest(address, http.MethodPost, "body")
	dedicated.DedicatedConnection = true
	for range 2 {
		_, err = send(t, tr, dedicated)
		require.NoError(t, err)
	}
	require.Equal(t, int64(3), conns.Load())
}

// TestBodyInPartsIsSentWithItsLength guards against a body in parts that is sent without a
// length, cut off or out of order.
func TestBodyInPartsIsSentWithItsLength(t *testing.T) {
	address, _, _ := startServer(t, echo)
	req := newRequest(address, http.MethodPut, "one")
	req.BodyTail = [][]byte{[]byte("two"), nil, []byte(strings.Repeat("three", 50_000))}
	for _, dedicated := range []bool{false, true} {
		req.DedicatedConnection = dedicated
		got, err := send(t, newTransport(), req)
		require.NoError(t, err)
		require.Equal(t, "PUT|/a%2Fb?x=1|a.example|onetwo"+strings.Repeat("three", 50_000)+"|||", got)
	}
}

// TestRequestIsNeverResent guards against net/http resending a request on its
// own, which it does for safe methods and idempotency keys when a reused
// connection breaks. The server closes the connection after it has received the
// request.
func TestRequestIsNeverResent(t *testing.T) {
	address, requests, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Break") == "" {
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut} {
		for _, key := range []string{"", "key"} {
			tr := newTransport()
			_, err := send(t, tr, newRequest(address, method, ""))
			require.NoError(t, err)
			before := requests.Load()
			req := newRequest(address, method, "")
			req.Header.Set("X-Break", "1")
			if key != "" {
				req.Header.Set("Idempotency-Key", key)
			}
			_, err = send(t, tr, req)
			var noResponse *ResponseLostError
			require.ErrorAs(t, err, &noResponse, method)
			require.True(t, noResponse.ConnectionReused)
			require.Equal(t, before+1, requests.Load(), "%s %q", method, key)
		}
	}
}

func TestDialFailureIsNotSentError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = send(t, newTransport(), newRequest(address, http.MethodPost, "x"))
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	neverConnects := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}, 50*time.Millisecond)
	start := time.Now()
	_, err = send(t, neverConnects, newRequest(address, http.MethodPost, "x"))
	require.ErrorAs(t, err, &notSent)
	require.Less(t, time.Since(start), time.Second)
}

// TestCancelClosesConnection checks that the server sees the connection close
// when the request's context is cancelled.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address, requests, _ := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := newTransport().Do(ctx, newRequest(address, http.MethodGet, ""))
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server did not see the connection close")
	}
}

// TestUnsolicitedResponseIsDiscarded guards against taking leftover bytes on a
// connection for the response to the next request. The server responds twice to
// each request, and the client sends the next one after the second response has
// arrived.
func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	firstRead, secondSent := make(chan struct{}), make(chan struct{})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 4096)
				for {
					if _, err := conn.Read(buf); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
					<-firstRead
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
					secondSent <- struct{}{}
				}
			}()
		}
	}()
	tr := newTransport()
	for range 5 {
		got, err := send(t, tr, newRequest(l.Addr().String(), http.MethodGet, ""))
		require.NoError(t, err)
		require.Equal(t, "first", got)
		firstRead <- struct{}{}
		<-secondSent
	}
}

func TestOnConnectAndForget(t *testing.T) {
	address, _, conns := startServer(t, echo)
	tr := newTransport()
	var connects atomic.Int64
	tr.OnConnect(func(a string, took time.Duration) {
		if a == address && took > 0 {
			connects.Add(1)
		}
	})
	for range 3 {
		_, err := send(t, tr, newRequest(address, http.MethodGet, ""))
		require.NoError(t, err)
	}
	require.Equal(t, int64(1), connects.Load())
	tr.Forget(address)
	_, err := send(t, tr, newRequest(address, http.MethodGet, ""))
	require.NoError(t, err)
	require.Equal(t, int64(2), conns.Load())
}

// TestRequestIsNotSentAgainForTheNextOneOnItsConnection guards against a request that takes
// the claim of the next request for its own, discards its response and is sent again.
// net/http pools a connection before it returns a response without a body; the second
// request claims it in between.
func TestRequestIsNotSentAgainForTheNextOneOnItsConnection(t *testing.T) {
	var received sync.Map
	address, _, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := received.LoadOrStore(r.Header.Get("X-Id"), new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		w.WriteHeader(http.StatusNoContent)
	})
	tr := newTransport()
	do := func(ctx context.Context, id string) error {
		req := newRequest(address, http.MethodPost, "body")
		req.Header.Set("X-Id", id)
		resp, err := tr.Do(ctx, req)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	require.NoError(t, do(context.Background(), "opens the connection"))
	claimed, second := make(chan struct{}), make(chan error, 1)
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{PutIdleConn: func(error) {
		once := sync.OnceFunc(func() { close(claimed) })
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { once() }})
		go func() { second <- do(ctx, "second") }()
		<-claimed
	}})
	require.NoError(t, do(ctx, "first"))
	require.NoError(t, <-second)
	for _, id := range []string{"first", "second"} {
		n, ok := received.Load(id)
		require.True(t, ok, id)
		require.Equal(t, int64(1), n.(*atomic.Int64).Load(), id)
	}
}

// TestRefusedWriteAwaitsTheResponseBefore guards against a response that is lost because the
// next request was refused on its connection, and net/http closed that, before the response
// was handed over.
func TestRefusedWriteAwaitsTheResponseBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer func() { _, _ = client.Close(), server.Close() }()
		conn := newPooledConn(client)
		conn.claim()
		refused := make(chan error, 1)
		go func() {
			_, err := conn.Write([]byte("x"))
			refused <- err
		}()
		time.Sleep(10 * time.Millisecond)
		require.Empty(t, refused)
		conn.setWaiting(true)
		var unsolicited *UnsolicitedBytesError
		require.ErrorAs(t, <-refused, &unsolicited)
	})
}

// TestAbandonedClaimIsNeverWritten guards against a request that is written after it was
// reported as not sent.
func TestAbandonedClaimIsNeverWritten(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	conn := newPooledConn(client)
	conn.setWaiting(true)
	require.True(t, conn.claim().abandon())
	_, err := conn.Write([]byte("x"))
	var unsolicited *UnsolicitedBytesError
	require.ErrorAs(t, err, &unsolicited)
}
