package httpserver

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangupInterval is the time between two checks of whether a caller has left that has sent bytes
// behind its request. Work for callers that have left has to end within half a second.
const hangupInterval = 100 * time.Millisecond

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

// CancelIfLeft cancels the request whose context is ctx, or that ctx descends from, if its
// caller has closed the connection or its sending direction. The server does so by itself, but
// late where the process is short of processor time, so that work which is about to begin
// would begin for nobody. Other contexts are left alone.
func CancelIfLeft(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelIfHungUp()
}

// watchHangup cancels the request as soon as its caller has left, until ctx, the request's
// context, ends. It takes the place of net/http, which stops watching a connection at the first
// byte behind a request.
func (c *conn) watchHangup(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(hangupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if c.hasHungUp() {
				cancel()
				return
			}
		}
	}
}
