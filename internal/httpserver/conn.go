package httpserver

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/connlimit"
)

const (
	// lastReadTimeout is how long an idle connection is read for a last time before
	// it ends: enough for bytes that have arrived but were not read yet.
	lastReadTimeout = 2 * time.Millisecond
	// firstRequestTimeout is how long after its start a connection that has not
	// carried a request yet is kept during a shutdown, since its first request is
	// likely to be on the way.
	firstRequestTimeout = 500 * time.Millisecond
)

// interrupted is a read deadline in the past.
var interrupted = time.Unix(1, 0)

// conn is a connection of a caller that can be ended while it is idle. Reads are
// made by one goroutine at a time, as net/http does.
type conn struct {
	net.Conn
	// raw is nil if the connection has no socket.
	raw        syscall.RawConn
	server     *Server
	acceptedAt time.Time
	// entry and receiveBuffer are the connection's place in the pool and its share of the
	// kernel's receive buffers. Both are unset without a pool.
	entry         *connlimit.Conn
	receiveBuffer int

	mu      sync.Mutex
	request request
	// hasLargeBuffer is set while the receive buffer is larger than receiveBuffer.
	hasLargeBuffer bool
	// idle is set while no byte of another request has been read.
	idle bool
	// served is set once a request has been answered.
	served bool
	// ending is set once the connection has to end when it is idle.
	ending bool
	// deadline is the read deadline that net/http or a handler has asked for.
	deadline time.Time
}

func (s *Server) newConn(accepted net.Conn) *conn {
	return &conn{Conn: accepted, raw: rawConnOf(accepted), server: s, acceptedAt: time.Now(), idle: true}
}

// begin prepares the connection for its first request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiveBuffer > 0 {
		c.setReadBuffer(c.receiveBuffer)
	}
	c.setRequestDeadline(c.server.limits().HeaderTimeout)
}

// SetReadDeadline implements net.Conn. The deadline applies while a request is read
// or answered.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.request.isAwaitingHead() || c.idle && c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn. It returns io.EOF if the connection is idle and has to
// end, and no byte has arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && n == 0 && c.beginLastRead() {
		n, err = c.Conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) && n == 0 {
			return 0, io.EOF
		}
	}
	if n > 0 {
		if resumeErr := c.becomeActive(); resumeErr != nil && err == nil {
			err = resumeErr
		}
		if refusedErr := c.noteReceived(p[:n], len(p)); refusedErr != nil {
			return 0, refusedErr
		}
	}
	c.noteTimeout(err)
	return n, err
}

// Write implements net.Conn. A request that is being answered without its whole body is
// not taken for an unfinished one any more.
func (c *conn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 100")) {
		c.endBody()
	}
	return c.Conn.Write(p)
}

// closeNow closes the connection without waiting for anything. net/http ends it as one
// that the caller has closed.
func (c *conn) closeNow() { _ = c.Conn.Close() }

// CloseWrite ends the sending direction, which net/http does after a response to a
// request that was not read to its end, so that the caller can still read it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// beginLastRead prepares the last read of an idle connection that has to end. It
// returns false for all others.
func (c *conn) beginLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || !c.ending {
		return false
	}
	until := time.Now().Add(lastReadTimeout)
	if first := c.acceptedAt.Add(firstRequestTimeout); !c.served && first.After(until) {
		until = first
	}
	return c.Conn.SetReadDeadline(until) == nil
}

// becomeActive notes that bytes of a request have been read, and restores the
// deadline of net/http if the connection was about to end.
func (c *conn) becomeActive() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasEnding := c.idle && c.ending
	c.idle = false
	if !wasEnding {
		return nil
	}
	if c.request.isAwaitingHead() {
		return c.Conn.SetReadDeadline(c.request.deadline)
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// becomeIdle notes that a request has been answered and the next one is awaited. A connection
// of whose next request a byte has been read is not idle.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
	c.idle = !c.endRequest()
	c.interruptIfEnding()
}

// endWhenIdle ends the connection as soon as it is idle.
func (c *conn) endWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.interruptIfEnding()
}

// interruptIfEnding interrupts the pending read. A connection on which no deadline
// can be set is broken, so that its read fails by itself.
func (c *conn) interruptIfEnding() {
	if c.idle && c.ending {
		_ = c.Conn.SetReadDeadline(interrupted)
	}
}
