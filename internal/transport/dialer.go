package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialFunc returns a function that makes TCP connections which end by themselves
// when the peer has been silent for SilenceTimeout.
func NewDialFunc() DialFunc {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveIdle,
			Count:    1,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return limitSilence(raw) },
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return d.DialContext(ctx, network, address)
	}
}

// limitSilence bounds the time for which sent data may stay unacknowledged.
func limitSilence(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(TCPUserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
