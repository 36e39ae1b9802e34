package fault

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener applies Silent and Stop to the connections of inner. While Stop is
// on, a TCP listener is closed, so that dials are refused.
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
	// suspended says that Stop has closed inner.
	suspended bool
}

// watchStop closes the inner listener while Stop is on and opens it afterwards.
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
			if kept := l.wrapOrClose(c); kept != nil {
				return kept, nil
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

// wrapOrClose wraps a new connection, or closes it while Stop is on.
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

// waitAndReopen waits until Stop is off and listens again. It returns false when the
// listener was closed for another reason.
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

// conn is a connection that may go silent.
type conn struct {
	net.Conn
	listener *listener
	// silencesAtAccept is the number of silences before the connection was accepted.
	silencesAtAccept uint64
	closed           atomic.Bool
}

func (c *conn) isSilent() bool { return c.listener.switches.silenceCount() != c.silencesAtAccept }

// Read implements net.Conn. What arrives on a silent connection is lost.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end of a silent connection is not told;
// the connection is released when the other end closes it.
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
