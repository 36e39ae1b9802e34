package httpserver

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/memory"
)

// phase is what a connection is doing.
type phase int

const (
	// waiting: no byte of the next request has arrived.
	waiting phase = iota
	// readingHead: a head has begun.
	readingHead
	// readingBody: the handler runs, and the body has not been read to its end.
	readingBody
	// answering: the request has been read, or is being answered without that.
	answering
)

// bufferSize is the size of the buffer through which net/http reads. Larger reads bypass it.
const bufferSize = 4 << 10

// request is the progress of a connection's current request.
type request struct {
	phase phase
	scan  headScan
	// head holds the memory of the head until the request has ended.
	head *memory.Holder
	// received counts the bytes after the head, contentLength those that belong to the
	// body, -1 if unknown. afterHead bounds the bytes of the next request among them.
	received, contentLength, afterHead int64
	// ctx is the context of the request while it is handled, and cancel cancels it.
	ctx    context.Context
	cancel context.CancelFunc
	// hasBytesBehind is set once net/http, which watches the connection by reading a single
	// byte, has read one that follows the request. isWatched is set once watchHangup runs.
	hasBytesBehind, isWatched bool
	// deadline limits the wait for a head or for its end. It takes the place of the
	// deadlines of net/http, which don't follow a changed configuration.
	deadline time.Time
}

// isAwaitingHead reports whether the deadline of the request applies.
func (r *request) isAwaitingHead() bool { return r.phase == waiting || r.phase == readingHead }

// noteReceived accounts for bytes that have been read into a buffer of the given size. An
// error means that the connection has been answered and closed.
func (c *conn) noteReceived(p []byte, size int) error {
	c.mu.Lock()
	if size == 1 && c.request.phase != waiting {
		c.request.hasBytesBehind = true
		c.watchIfBehind()
	}
	if !c.request.isAwaitingHead() {
		c.request.received += int64(len(p))
		c.request.afterHead = 0
		if size <= bufferSize {
			c.request.afterHead = afterLastHead(p)
		}
		c.mu.Unlock()
		return nil
	}
	if c.request.phase == waiting {
		c.beginHead()
	}
	before := c.request.scan.cost()
	n := c.request.scan.add(p)
	c.request.received += int64(len(p) - n)
	c.request.afterHead = afterLastHead(p[n:])
	cost, head := c.request.scan.cost()-before, c.request.head
	isTooLarge := c.request.scan.size > c.maxHeadBytes()
	c.mu.Unlock()
	if isTooLarge {
		largeHeads.Inc()
		return c.refuseRequest(headTooLarge)
	}
	if head == nil {
		return nil
	}
	if err := head.Reserve(cost); err != nil {
		var exhausted *memory.ExhaustedError
		if errors.As(err, &exhausted) {
			c.server.config.Pool.countHead()
		}
		return c.refuseRequest(refusal(c.server.config.RefusalHeader))
	}
	return nil
}

// watchIfBehind starts watchHangup if bytes behind the request that is being answered keep
// net/http from watching the connection. The caller holds c.mu.
func (c *conn) watchIfBehind() {
	r := &c.request
	if r.phase != answering || !r.hasBytesBehind || r.isWatched || c.raw == nil {
		return
	}
	r.isWatched = true
	go c.watchHangup(r.ctx, r.cancel)
}

// refuseRequest answers and closes a connection whose request is not read any further. The
// returned error lets net/http end the connection without a response of its own.
func (c *conn) refuseRequest(response string) error {
	refuse(c.Conn, response)
	return io.EOF
}

// maxHeadBytes returns the limit of the head. Like net/http, it allows for the buffer.
func (c *conn) maxHeadBytes() int64 {
	limit := c.server.limits().MaxHeaderBytes
	if limit <= 0 {
		limit = http.DefaultMaxHeaderBytes
	}
	return int64(limit) + bufferSize
}

// beginHead notes the first byte of a head. The caller holds c.mu.
func (c *conn) beginHead() {
	c.request = request{phase: readingHead}
	if pool := c.server.config.Pool; pool != nil {
		pool.receiving(c)
		if c.request.head = pool.openHead(); c.request.head != nil {
			c.request.head.OnEvict(func() {
				c.closeNow()
				pool.countHead()
			})
		}
	}
	c.setRequestDeadline(c.server.limits().HeaderTimeout)
}

// beginRequest notes that the head of r has been read; cancel cancels the context of r. An
// isClosed connection was closed because others needed its memory. If there is no room for the
// request, hasRoom is false.
func (c *conn) beginRequest(r *http.Request, cancel context.CancelFunc) (hasRoom, isClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.ctx, c.request.cancel = r.Context(), cancel
	hasBody := r.Body != nil && r.Body != http.NoBody
	c.request.contentLength = r.ContentLength
	c.request.phase = answering
	if hasBody {
		c.request.phase = readingBody
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
	if pool := c.server.config.Pool; pool != nil && !pool.begin(c, hasBody, c.server.limits().IdleTimeout) {
		return false, false
	}
	// The head of a request with a body gives way until that is complete.
	isClosed = !hasBody && c.request.head != nil && c.request.head.Complete() != nil
	if !hasBody {
		c.cancelIfHungUp()
		c.watchIfBehind()
	}
	return true, isClosed
}

// endBody notes that the body has been read, or that it isn't needed for the response.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.phase != readingBody {
		return
	}
	c.request.phase = answering
	c.cancelIfHungUp()
	c.watchIfBehind()
	if c.request.head != nil {
		// If the head was evicted before, the connection is closed.
		_ = c.request.head.Complete()
	}
	if pool := c.server.config.Pool; pool != nil {
		pool.answering(c)
	}
	c.setLargeBuffer(false)
}

// endRequest notes that the request has been answered. It reports whether a part of the next
// one has been read with it. The caller holds c.mu.
func (c *conn) endRequest() (hasNext bool) {
	c.closeHead()
	c.setLargeBuffer(false)
	next := c.request.afterHead
	if c.request.contentLength >= 0 {
		next = min(next, c.request.received-c.request.contentLength)
	}
	c.request = request{}
	if c.server.config.Pool != nil {
		c.server.config.Pool.end(c)
	}
	if next > 0 {
		// A part of the next head has been read with this request.
		c.beginHead()
		c.request.afterHead = next
		c.request.scan.assumeRead(next)
		if c.request.head != nil && c.request.head.Reserve(c.request.scan.cost()) != nil {
			c.closeNow()
		}
		return true
	}
	if c.server.config.Pool != nil {
		c.server.config.Pool.idle(c)
	}
	c.setRequestDeadline(c.server.limits().IdleTimeout)
	return false
}

// closeHead gives back the memory of the head. The caller holds c.mu.
func (c *conn) closeHead() {
	if c.request.head != nil {
		c.request.head.Close()
		c.request.head = nil
	}
}

// setRequestDeadline limits the wait for the next bytes of a head. 0 is no limit. The caller
// holds c.mu.
func (c *conn) setRequestDeadline(timeout time.Duration) {
	c.request.deadline = time.Time{}
	if timeout > 0 {
		c.request.deadline = time.Now().Add(timeout)
	}
	if !c.idle || !c.ending {
		_ = c.Conn.SetReadDeadline(c.request.deadline)
	}
}

// noteTimeout counts a head that was not complete in time.
func (c *conn) noteTimeout(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.phase == readingHead {
		lateHeads.Inc()
	}
}

const (
	// largeBody is the length above which a body gets a larger receive buffer in any case,
	// and largeBuffer its size, which the kernel limits further. A body of 4 MB from a region
	// 110 ms away would take 7 s with a window of 64 KB.
	largeBody   = 64 << 10
	largeBuffer = 512 << 10
)

// windowBytes returns the length up to which a body is read with the connection's own receive
// buffer. Connections that come while the memory for buffers is used up have one of 4 KB, with
// which a body of 40 KB from a region 110 ms away would take more than 1 s.
func (c *conn) windowBytes() int64 {
	if c.receiveBuffer == 0 {
		return largeBody
	}
	return min(int64(c.receiveBuffer), largeBody)
}

// setLargeBuffer changes the size of the kernel's receive buffer. The caller holds c.mu.
func (c *conn) setLargeBuffer(large bool) {
	if c.hasLargeBuffer == large || c.receiveBuffer == 0 {
		return
	}
	c.hasLargeBuffer = large
	size := c.receiveBuffer
	if large {
		size = largeBuffer
	}
	c.setReadBuffer(size)
}

// setReadBuffer sets the size of the kernel's receive buffer where the connection has one.
func (c *conn) setReadBuffer(size int) {
	if sized, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = sized.SetReadBuffer(size)
	}
}

// body is the body of a request. It notes its end, and gets a large receive buffer as soon as
// it is known not to fit into the connection's own.
type body struct {
	io.ReadCloser
	conn *conn
	// size is the length of the body, below 0 if it is unknown. received counts its bytes.
	size, received int64
	hasBuffer      bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.hasBuffer && max(b.size, b.received) > b.conn.windowBytes() {
		b.hasBuffer = true
		b.conn.mu.Lock()
		b.conn.setLargeBuffer(true)
		b.conn.mu.Unlock()
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if errors.Is(err, io.EOF) {
		b.conn.endBody()
	}
	return n, err
}
