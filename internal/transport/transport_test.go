package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTransport() *Transport { return New(NewDialFunc(), time.Second) }

// serve starts a server that counts the requests and connections it gets.
func serve(t *testing.T, h http.HandlerFunc) (address string, requests, conns *atomic.Int64) {
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

func call(address, method, body string) Request {
	return Request{Address: address, Method: method, Target: "/a%2Fb?x=1", Host: "a.example", Header: http.Header{}, Body: []byte(body)}
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, strings.Join([]string{
		r.Method, r.RequestURI, r.Host, string(body), r.Header.Get("User-Agent"), r.Header.Get("Accept-Encoding"), strings.Join(r.TransferEncoding, ","),
	}, "|"))
}

func do(t *testing.T, tr *Transport, c Request) (string, error) {
	resp, err := tr.Do(context.Background(), c)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body), nil
}

func TestRequestsGoAsTheyAre(t *testing.T) {
	address, _, conns := serve(t, echo)
	tr := newTransport()
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete, "PURGE"} {
		got, err := do(t, tr, call(address, method, ""))
		require.NoError(t, err)
		require.Equal(t, method+"|/a%2Fb?x=1|a.example||||", got)
	}
	got, err := do(t, tr, call(address, http.MethodPost, "body"))
	require.NoError(t, err)
	require.Equal(t, "POST|/a%2Fb?x=1|a.example|body|||", got)
	require.Equal(t, int64(1), conns.Load())
	fresh := call(address, http.MethodPost, "body")
	fresh.DedicatedConnection = true
	for range 2 {
		_, err = do(t, tr, fresh)
		require.NoError(t, err)
	}
	require.Equal(t, int64(3), conns.Load())
}

// TestNothingIsSentTwice breaks the connection of each kind of request after it
// has arrived, on a connection that was used before.
func TestNothingIsSentTwice(t *testing.T) {
	address, requests, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
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
			_, err := do(t, tr, call(address, method, ""))
			require.NoError(t, err)
			before := requests.Load()
			c := call(address, method, "")
			c.Header.Set("X-Break", "1")
			if key != "" {
				c.Header.Set("Idempotency-Key", key)
			}
			_, err = do(t, tr, c)
			var lost *ResponseLostError
			require.ErrorAs(t, err, &lost, method)
			require.True(t, lost.ConnectionReused)
			require.Equal(t, before+1, requests.Load(), "%s %q", method, key)
		}
	}
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = do(t, newTransport(), call(address, http.MethodPost, "x"))
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	silent := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}, 50*time.Millisecond)
	began := time.Now()
	_, err = do(t, silent, call(address, http.MethodPost, "x"))
	require.ErrorAs(t, err, &notSent)
	require.Less(t, time.Since(began), time.Second)
}

// TestEndingTheContextEndsTheConnection checks that the other side learns of it.
func TestEndingTheContextEndsTheConnection(t *testing.T) {
	gone := make(chan struct{})
	address, requests, _ := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := newTransport().Do(ctx, call(address, http.MethodGet, ""))
	require.Error(t, err)
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Fatal("the other side is still at work")
	}
}

// TestExtraBytesBelongToNoRequest plays a server that answers twice.
func TestExtraBytesBelongToNoRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
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
					time.Sleep(10 * time.Millisecond)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
				}
			}()
		}
	}()
	tr := newTransport()
	for range 5 {
		got, err := do(t, tr, call(l.Addr().String(), http.MethodGet, ""))
		require.NoError(t, err)
		require.Equal(t, "first", got)
		time.Sleep(30 * time.Millisecond)
	}
}

func TestConnectionsAreObservedAndForgotten(t *testing.T) {
	address, _, conns := serve(t, echo)
	tr := newTransport()
	var seen atomic.Int64
	tr.OnConnect(func(a string, took time.Duration) {
		if a == address && took > 0 {
			seen.Add(1)
		}
	})
	for range 3 {
		_, err := do(t, tr, call(address, http.MethodGet, ""))
		require.NoError(t, err)
	}
	require.Equal(t, int64(1), seen.Load())
	tr.Forget(address)
	_, err := do(t, tr, call(address, http.MethodGet, ""))
	require.NoError(t, err)
	require.Equal(t, int64(2), conns.Load())
}
