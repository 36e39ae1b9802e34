package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialFunc returns a function that opens TCP connections which the kernel
// closes when the other end doesn't acknowledge data for TCPUserTimeout or
// doesn't answer a keep-alive probe.
func NewDialFunc() DialFunc {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveIdle,
			Count:    1,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return d.DialContext(ctx, network, address)
	}
}

// setUserTimeout limits the time for which sent data may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(TCPUserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
