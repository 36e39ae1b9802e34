package fault

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener returns a listener that applies Silent and Stop to the connections of
// inner, which it takes over. While Stop is on, connections are closed, and a TCP
// listener too, so that dials are refused; it listens again afterwards.
func (s *Switches) Listener(inner net.Listener) net.Listener {
	l := &listener{switches: s, inner: inner, addr: inner.Addr(), conns: map[*conn]bool{}, done: make(chan struct{})}
	go l.watchStop()
	return l
}

type listener struct {
	switches *Switches
	addr     net.Addr
	done     chan struct{}

	mu       sync.Mutex
	inner    net.Listener
	conns    map[*conn]bool
	isClosed bool
	// suspended is set while Stop keeps inner closed.
	suspended bool
}

// watchStop suspends the listener whenever Stop is set. Accept reopens it.
func (l *listener) watchStop() {
	for {
		stopped, changed := l.switches.active(Stop, "", "")
		if stopped {
			l.suspend()
		}
		select {
		case <-changed:
		case <-l.done:
			return
		}
	}
}

// suspend closes every connection, and the inner listener if it is a TCP one.
func (l *listener) suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.addr.(*net.TCPAddr); ok && !l.suspended {
		l.suspended = true
		_ = l.inner.Close()
	}
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.currentInner().Accept()
		if err == nil {
			if wrapped := l.wrapOrClose(c); wrapped != nil {
				return wrapped, nil
			}
			continue
		}
		if !l.waitAndReopen() {
			return nil, err
		}
	}
}

func (l *listener) currentInner() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// wrapOrClose wraps a new connection. While Stop is on, it closes it instead and
// returns nil.
func (l *listener) wrapOrClose(c net.Conn) net.Conn {
	if stopped, _ := l.switches.active(Stop, "", ""); stopped {
		_ = c.Close()
		return nil
	}
	wrapped := &conn{Conn: c, listener: l, silencesAtAccept: l.switches.silenceCount()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[wrapped] = true
	return wrapped
}

// waitAndReopen waits until Stop is off, then listens again on the same address.
// It returns false if the listener was closed for another reason or can't listen
// again.
func (l *listener) waitAndReopen() bool {
	if !l.isSuspended() {
		return false
	}
	for {
		stopped, changed := l.switches.active(Stop, "", "")
		if !stopped {
			return l.reopen()
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

func (l *listener) isSuspended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspended && !l.isClosed
}

func (l *listener) reopen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return false
	}
	inner, err := net.Listen(l.addr.Network(), l.addr.String())
	if err != nil {
		return false
	}
	l.inner = inner
	l.suspended = false
	return true
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return nil
	}
	l.isClosed = true
	close(l.done)
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

func (l *listener) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that becomes silent when Silent is set.
type conn struct {
	net.Conn
	listener *listener
	// silencesAtAccept is the number of times that Silent had been set when the
	// connection was accepted.
	silencesAtAccept uint64
	closed           atomic.Bool
}

func (c *conn) isSilent() bool { return c.listener.switches.silenceCount() != c.silencesAtAccept }

// Read implements net.Conn. Data received on a silent connection is discarded.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn. Data written to a silent connection is discarded and
// reported as written.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open towards its other end
// until that end closes it.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.listener.removeConn(c)
	if !c.isSilent() {
		return c.Conn.Close()
	}
	go func() {
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
	}()
	return nil
}
