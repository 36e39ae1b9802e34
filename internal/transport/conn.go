package transport

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// A reused connection yields to the goroutine that reads it before it is given up.
// That goroutine needs some microseconds after the end of a response until it waits
// for the next one, and longer on a busy machine.
const (
	settleYields = 100
	settleSleeps = 20
	settleSleep  = 100 * time.Microsecond
	// refusalSleeps limits the wait of a refused write for the response before it. The
	// request that is refused goes on by another connection afterwards.
	refusalSleeps = 500
)

// UnsolicitedBytesError reports that a connection could not be reused because bytes
// that belong to no request had arrived, or because the other end had closed it.
// Nothing was sent.
type UnsolicitedBytesError struct{ Address string }

// Error implements error.
func (e *UnsolicitedBytesError) Error() string {
	return fmt.Sprintf("connection to %s has unread bytes or was closed", e.Address)
}

// pooledConn is a connection of a pool. A request is written to it only while all
// that has arrived has been taken as part of earlier responses. net/http notices
// unsolicited bytes only if it reads them before the next request is written.
type pooledConn struct {
	net.Conn
	// raw is nil if the connection is no socket.
	raw    syscall.RawConn
	writer abortableWriter

	mu sync.Mutex
	// waiting is set while a read waits for bytes that have not arrived.
	waiting bool
	// current is the claim of the request that the connection was last chosen for. It is
	// nil once the request's first byte is written.
	current *claim
	// refused is set once nothing may be written any more.
	refused bool
	closed  bool
	// sending is set once a part of the current request has been written.
	sending bool
	// head is the header of the response that is awaited or read.
	head responseHead
}

// claim is the use of a pooledConn by one request. Whether the request was written is a
// property of the claim: net/http pools a connection before it returns a response without
// a body, so that another request may have claimed the connection by then.
type claim struct {
	conn *pooledConn
	// written is set once a byte of the request may have been written. The connection's
	// lock guards it.
	written bool
}

func newPooledConn(conn net.Conn) *pooledConn {
	c := &pooledConn{Conn: conn, raw: rawConn(conn)}
	c.head.begin()
	return c
}

// claim prepares the connection, which has carried requests before, for another one.
// It lets net/http read what is left of earlier responses: with no request waiting,
// net/http closes the connection on any byte.
func (c *pooledConn) claim() *claim {
	cl := &claim{conn: c}
	for attempt := range settleYields + settleSleeps {
		if c.settled(cl) {
			return cl
		}
		if attempt < settleYields {
			runtime.Gosched()
		} else {
			time.Sleep(settleSleep)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	return cl
}

// settled makes cl the current claim and returns true if a read is waiting or the
// connection is closed.
func (c *pooledConn) settled(cl *claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = cl
	return c.waiting || c.closed
}

// abandon reports whether nothing of the request was written. Nothing of it is written
// afterwards in that case.
func (cl *claim) abandon() bool {
	cl.conn.mu.Lock()
	defer cl.conn.mu.Unlock()
	if cl.written {
		return false
	}
	cl.conn.refused = true
	return true
}

// Write implements net.Conn.
func (c *pooledConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		c.awaitRead()
		return 0, &UnsolicitedBytesError{Address: c.RemoteAddr().String()}
	}
	n, err := c.writer.write(c.Conn, p)
	return c.endWrite(p, n, err)
}

// beginWrite returns false if a claimed connection has bytes that belong to no
// request, or none may be written any more.
func (c *pooledConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && (!c.waiting || c.hasUnread()) {
		c.refused = true
	}
	if c.refused {
		return false
	}
	if c.current != nil {
		c.current.written = true
		c.sending = false
		c.current = nil
		c.head.begin()
	}
	return true
}

// awaitRead waits, up to a limit, until a read is waiting or the connection is closed. A
// refused write lets net/http close the connection, and it pools a connection before it hands
// over a response without a body: the request before would lose a response that has come.
func (c *pooledConn) awaitRead() {
	for range refusalSleeps {
		c.mu.Lock()
		isSettled := c.waiting || c.closed
		c.mu.Unlock()
		if isSettled {
			return
		}
		time.Sleep(settleSleep)
	}
}

// Read implements net.Conn. After an invalid header it reads nothing more.
func (c *pooledConn) Read(p []byte) (int, error) {
	if err := c.checkHead(nil); err != nil {
		return 0, err
	}
	n, err := c.read(p)
	if invalid := c.checkHead(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// checkHead takes in bytes of a response, and returns an error if its header is invalid.
func (c *pooledConn) checkHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.head.add(p); err != nil {
		return errors.Wrapf(err, "response from %s", c.RemoteAddr())
	}
	return nil
}

// read reads from the connection and keeps waiting up to date.
func (c *pooledConn) read(p []byte) (int, error) {
	c.setWaiting(true)
	if c.raw == nil {
		defer c.setWaiting(false)
		return c.Conn.Read(p)
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		// The lock makes taking bytes and clearing the flag one step.
		c.mu.Lock()
		defer c.mu.Unlock()
		n, readErr = readUninterrupted(int(fd), p)
		c.waiting = readErr == unix.EAGAIN
		return !c.waiting
	})
	switch {
	case err != nil:
		c.setWaiting(false)
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0 && len(p) > 0:
		return 0, c.writer.endOfStream(c.raw)
	}
	return n, nil
}

func (c *pooledConn) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
}

// Close implements net.Conn.
func (c *pooledConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// hasUnread reports whether bytes or the end of the stream have arrived that were not
// read yet. It is false where that can't be seen.
func (c *pooledConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	var peekErr error
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && peekErr == nil
}

// readUninterrupted reads from fd once, again after a signal. n is 0 with an error.
func readUninterrupted(fd int, p []byte) (n int, err error) {
	for {
		n, err = unix.Read(fd, p)
		if err != unix.EINTR {
			return max(n, 0), err
		}
	}
}
