package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/memory"
)

// startBounded serves h with a pool of two callers' requests and the given limits.
func startBounded(t *testing.T, account *memory.Account, limits Limits, h http.HandlerFunc) (*Pool, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pool := NewPool(account, nil)
	pool.SetBounds(descriptors, 64<<20)
	s := New(h, Config{Limits: func() Limits { return limits }, Pool: pool, RefusalHeader: http.Header{"Mark": {"1"}, "Second": {"2"}}})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		require.NoError(t, <-done)
		require.Eventually(t, func() bool { return account.Usage().InUse == 0 && pool.open() == 0 }, time.Minute, time.Millisecond, "all is given back")
	})
	return pool, l.Addr().String()
}

// descriptors leave six places. Of those, callers have four, which two requests take.
const descriptors = 206

func (p *Pool) taken() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Taken()
}

func (p *Pool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Open()
}

// close closes a caller's connection and waits until the given number are open.
func (p *Pool) close(t *testing.T, c *caller, open int) {
	require.NoError(t, c.conn.Close())
	require.Eventually(t, func() bool { return p.open() == open }, time.Minute, time.Millisecond)
}

func calmLimits() Limits {
	return Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
}

func ok(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

// write writes raw bytes and returns the status line of the response, "" if there is none.
func (c *caller) write(raw string) string {
	_, _ = io.WriteString(c.conn, raw)
	line, _ := c.reader.ReadString('\n')
	return strings.TrimSpace(line)
}

func requireClosed(t *testing.T, c *caller) {
	t.Helper()
	_, err := c.reader.ReadByte()
	require.Error(t, err)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "open")
}

// TestRoomAtTheBound guards against a crowd that shuts out others: at the bound the longest
// unfinished head or body gives way, and never an answered request.
func TestRoomAtTheBound(t *testing.T) {
	answer := make(chan struct{})
	pool, address := startBounded(t, memory.NewAccount(0), calmLimits(), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-answer
		_, _ = io.WriteString(w, "ok")
	})
	unfinishedBody := dial(t, address)
	_, err := io.WriteString(unfinishedBody.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbod")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return pool.taken() == 2 }, time.Minute, time.Millisecond)
	answered := dial(t, address)
	require.NoError(t, answered.send(1))
	require.Eventually(t, func() bool { return pool.taken() == 4 }, time.Minute, time.Millisecond)

	second := dial(t, address)
	requireClosed(t, unfinishedBody)
	require.NoError(t, second.send(2))
	require.Eventually(t, func() bool { return pool.taken() == 4 && pool.receivingCount() == 0 }, time.Minute, time.Millisecond)
	refused := dial(t, address)
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", refused.write(""))
	raw, _ := io.ReadAll(refused.reader)
	require.Contains(t, string(raw), "Retry-After: 1\r\n")
	require.Contains(t, string(raw), "Mark: 1\r\n")
	require.Contains(t, string(raw), "Second: 2\r\n")
	close(answer)
	for _, c := range []*caller{answered, second} {
		_, err = c.receive()
		require.NoError(t, err)
	}
}

// TestRequestWithoutRoom checks the refusal of a request on a connection that was admitted
// before the others took the places.
func TestRequestWithoutRoom(t *testing.T) {
	answer := make(chan struct{})
	pool, address := startBounded(t, memory.NewAccount(0), calmLimits(), func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-answer
		}
	})
	defer close(answer)
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	idle := []*caller{dial(t, address), dial(t, address)}
	for _, c := range idle {
		require.NoError(t, c.conn.SetDeadline(time.Now().Add(time.Minute)))
		_, err := io.WriteString(c.conn, get)
		require.NoError(t, err)
		_, err = c.receive()
		require.NoError(t, err)
	}
	awaitTaken := func(places int) {
		require.Eventually(t, func() bool { return pool.taken() == places }, time.Minute, time.Millisecond)
	}
	awaitTaken(2)
	slow := dial(t, address)
	_, err := io.WriteString(slow.conn, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	awaitTaken(4)
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", idle[0].write(get))
	raw, _ := io.ReadAll(idle[0].reader)
	require.Contains(t, string(raw), "Retry-After: 1\r\n")
	require.Contains(t, string(raw), "Mark: 1\r\n")
	require.Contains(t, string(raw), "Second: 2\r\n")
	awaitTaken(3)
	require.Equal(t, "HTTP/1.1 200 OK", idle[1].write(get), "the refused connection made room")
}

// TestHeadGivesWayWithItsBody guards against heads that hold the account while a small body
// stays unfinished: only a whole request keeps its memory.
func TestHeadGivesWayWithItsBody(t *testing.T) {
	account := memory.NewAccount(300 << 10)
	_, address := startBounded(t, account, calmLimits(), ok)
	stalled := dial(t, address)
	_, err := io.WriteString(stalled.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"+strings.Repeat("a:\r\n", 1000)+"\r\nbod")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return account.Usage().Head > 256*1000 }, time.Minute, time.Millisecond)
	require.Equal(t, "HTTP/1.1 200 OK", dial(t, address).write("GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 200)+"\r\n"))
	requireClosed(t, stalled)
}

// receivingCount returns how many connections are at an unfinished head or body.
func (p *Pool) receivingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.CountReceiving()
}

// TestHeadLimits guards against heads that are not bounded: over the limit, without a line,
// or more than the memory account has room for.
func TestHeadLimits(t *testing.T) {
	account := memory.NewAccount(1 << 20)
	pool, address := startBounded(t, account, calmLimits(), ok)
	once := func(raw string) string {
		c := dial(t, address)
		defer pool.close(t, c, 0)
		return c.write(raw)
	}
	head := func(line string, size int) string {
		return "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat(line, size/len(line))
	}
	require.Equal(t, "HTTP/1.1 200 OK", once(head("a: bbbbbbbbbbbb\r\n", 16<<10)+"\r\n"))
	require.Equal(t, "HTTP/1.1 431 Request Header Fields Too Large", once(head("a: bbbbbbbbbbbb\r\n", 21<<10)))
	require.Contains(t, []string{"HTTP/1.1 400 Bad Request", "HTTP/1.1 431 Request Header Fields Too Large", ""}, once(strings.Repeat("\r\n", 16<<10)))
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", once(head("a:\r\n", 16<<10)), "lines of 4 bytes cost over 1 MB")
	account.SetLimit(2 << 20)
	require.Equal(t, "HTTP/1.1 200 OK", once(head("a:\r\n", 16<<10)+"\r\n"))
}

// TestHeadsAreReserved checks that an unfinished head holds memory, that a larger head gives
// way to a smaller one, and that a part of a head that comes with a request counts too.
func TestHeadsAreReserved(t *testing.T) {
	account := memory.NewAccount(300 << 10)
	pool, address := startBounded(t, account, calmLimits(), ok)
	large := dial(t, address)
	_, err := io.WriteString(large.conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 1000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return account.Usage().Head > 256*1000 }, time.Minute, time.Millisecond)
	small := dial(t, address)
	require.Equal(t, "HTTP/1.1 200 OK", small.write("GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 200)+"\r\n"))
	requireClosed(t, large)
	require.Eventually(t, func() bool { return account.Usage().InUse == 0 }, time.Minute, time.Millisecond, "given back with the response")
	pool.close(t, small, 0)

	for _, first := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		c := dial(t, address)
		require.Equal(t, "HTTP/1.1 200 OK", c.write(first+"GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 100)))
		require.Eventually(t, func() bool { return account.Usage().Head > 256*100 }, time.Minute, time.Millisecond, first)
		_, err = io.WriteString(c.conn, "\r\n")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return account.Usage().InUse == 0 }, time.Minute, time.Millisecond, first)
		pool.close(t, c, 0)
	}
}

// TestKeptConnectionsHoldNothing guards against memory that stays reserved between the
// requests of a connection, and against taking its next request for an unfinished one.
func TestKeptConnectionsHoldNothing(t *testing.T) {
	account := memory.NewAccount(1 << 20)
	pool, address := startBounded(t, account, calmLimits(), ok)
	c := dial(t, address)
	for n := range 20 {
		request := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", n)
		if n%2 == 0 {
			request = fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", n)
		}
		for _, part := range []string{request[:len(request)-2], request[len(request)-2:]} {
			_, err := io.WriteString(c.conn, part)
			require.NoError(t, err)
		}
		closes, err := c.receive()
		require.NoError(t, err)
		require.False(t, closes)
		require.Eventually(t, func() bool { return account.Usage().InUse == 0 && pool.receivingCount() == 0 }, time.Minute, time.Millisecond)
	}
}

// TestUnreadBytesAreBounded guards against a client that fills the kernel's memory behind a
// request that is being answered: it can send no more than the receive buffer takes.
func TestUnreadBytesAreBounded(t *testing.T) {
	answer := make(chan struct{})
	defer close(answer)
	_, address := startBounded(t, memory.NewAccount(0), calmLimits(), func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-answer
	})
	c := dial(t, address)
	require.NoError(t, c.conn.(*net.TCPConn).SetWriteBuffer(4<<10))
	_, err := fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat("a", 4<<20))
	require.NoError(t, err)
	sent := 0
	require.NoError(t, c.conn.SetWriteDeadline(time.Now().Add(time.Second)))
	for err == nil {
		var n int
		n, err = c.conn.Write(make([]byte, 4<<10))
		sent += n
	}
	require.Less(t, sent, 1<<20)
}

// TestRefusalDoesNotWaitForTheBody guards against a refusal that is held back until a body
// has come that nobody wants: the caller waits for 100 Continue, or sends no more of a body
// that is too large to be read to its end.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	_, address := startBounded(t, memory.NewAccount(0), calmLimits(), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
	})
	for _, head := range []string{"Content-Length: 10\r\nExpect: 100-continue\r\n", "Content-Length: 1000000\r\n"} {
		c := dial(t, address)
		require.Equal(t, "HTTP/1.1 401 Unauthorized", c.write("POST / HTTP/1.1\r\nHost: a\r\n"+head+"\r\n"), head)
		require.NoError(t, c.conn.Close())
	}
}

// sizedConn is a connection that records the sizes of its receive buffer.
type sizedConn struct {
	net.Conn
	sizes []int
}

func (c *sizedConn) SetReadBuffer(bytes int) error {
	c.sizes = append(c.sizes, bytes)
	return nil
}

type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l *oneConn) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}

// TestBodiesAreReadWithEnoughBuffer guards against bodies that take many round trips because
// their connection came while the memory for receive buffers was used up, and against setting
// the size for each small request.
func TestBodiesAreReadWithEnoughBuffer(t *testing.T) {
	for _, test := range []struct {
		taken, length int
		isChunked     bool
		sizes         []int
	}{
		{0, 40 << 10, false, []int{64 << 10}},
		{0, 40 << 10, true, []int{64 << 10}},
		{0, 100 << 10, false, []int{64 << 10, largeBuffer, 64 << 10}},
		{0, 100 << 10, true, []int{64 << 10, largeBuffer, 64 << 10}},
		{10000, 2 << 10, false, []int{4 << 10}},
		{10000, 2 << 10, true, []int{4 << 10}},
		{10000, 40 << 10, false, []int{4 << 10, largeBuffer, 4 << 10}},
		{10000, 40 << 10, true, []int{4 << 10, largeBuffer, 4 << 10}},
	} {
		pool := NewPool(nil, nil)
		pool.SetBounds(0, 256<<20)
		for range test.taken {
			pool.buffers.Take()
		}
		client, served := net.Pipe()
		sized := &sizedConn{Conn: served}
		s := New(http.HandlerFunc(ok), Config{Limits: calmLimits, Pool: pool})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.Serve(&oneConn{Listener: nopListener{}, conn: sized})
		}()
		c := &caller{conn: client, reader: bufio.NewReader(client)}
		content := strings.Repeat("a", test.length)
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", test.length, content)
		if test.isChunked {
			request = fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", test.length, content)
		}
		require.Equal(t, "HTTP/1.1 200 OK", c.write(request))
		require.NoError(t, client.Close())
		<-ended
		require.NoError(t, s.Shutdown(t.Context()))
		require.Equal(t, test.sizes, sized.sizes, "%+v", test)
	}
}

type nopListener struct{}

func (nopListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (nopListener) Close() error              { return nil }
func (nopListener) Addr() net.Addr            { return &net.TCPAddr{} }
