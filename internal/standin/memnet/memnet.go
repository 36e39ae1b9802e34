// Package memnet is a network in memory, for tests in virtual time.
package memnet

import (
	"context"
	"net"
	"sync"
)

// Listener accepts connections that Dial makes in this process. It refuses
// dials after Close.
type Listener struct {
	name      string
	conns     chan net.Conn
	closeOnce sync.Once
	done      chan struct{}
}

// Listen returns a listener whose address is name.
func Listen(name string) *Listener {
	return &Listener{name: name, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial makes a connection. The network and the address are ignored.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	if err := l.deliver(ctx, server); err != nil {
		return nil, err
	}
	return client, nil
}

// deliver hands the server's end of a connection to Accept.
func (l *Listener) deliver(ctx context.Context, server net.Conn) error {
	select {
	case l.conns <- server:
		return nil
	case <-l.done:
		return l.opError("dial", net.ErrClosed)
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
