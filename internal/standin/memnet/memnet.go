// Package memnet is an in-memory network with fault injection, for tests in
// virtual time.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Listener accepts the connections that Dial opens within this process. After
// Close, it refuses them.
type Listener struct {
	name      string
	conns     chan net.Conn
	closeOnce sync.Once
	done      chan struct{}
}

// Listen returns a listener whose address is name, outside any Network.
func Listen(name string) *Listener {
	return &Listener{name: name, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial opens a connection to l and waits until it is accepted. The network and
// the address are ignored.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	if err := l.deliver(ctx, server); err != nil {
		return nil, err
	}
	return client, nil
}

// deliver passes the server's end of a connection to Accept and waits until it
// is taken, l is closed or ctx ends.
func (l *Listener) deliver(ctx context.Context, server net.Conn) error {
	select {
	case l.conns <- server:
		return nil
	case <-l.done:
		return l.opError("dial", syscall.ECONNREFUSED)
	case <-ctx.Done():
		return l.opError("dial", ctx.Err())
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, l.opError("accept", net.ErrClosed)
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return addr(l.name) }

func (l *Listener) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "memory", Addr: addr(l.name), Err: err}
}

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }
