package httpserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConnOf returns the socket of a connection, nil if it has none.
func rawConnOf(c net.Conn) syscall.RawConn {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// hasHungUp reports whether the caller has closed the connection or its sending direction, also
// if bytes that it sent before have not been read. It is false for connections without a socket.
func (c *conn) hasHungUp() bool {
	if c.raw == nil {
		return false
	}
	isClosed := false
	err := c.raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		isClosed = err == nil && n > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && isClosed
}

// cancelIfHungUp cancels the request if its caller has left. net/http does so too, but may
// notice it only after the request has been sent on. The caller holds c.mu.
func (c *conn) cancelIfHungUp() {
	if c.request.cancel != nil && c.hasHungUp() {
		c.request.cancel()
	}
}
