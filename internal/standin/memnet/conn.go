package memnet

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// faultConn is one end of a connection that can go silent: what is written is
// lost, and nothing is read, not even the other end's closing.
type faultConn struct {
	net.Conn
	network *Network
	zones   [2]string
	// instances are the dialling and the accepting instance.
	instances [2]string
	// address is the one dialled, at both ends.
	address  string
	isSilent atomic.Bool

	mu           sync.Mutex
	readDeadline time.Time
	// deadlineChanged is closed when the deadline changes.
	deadlineChanged chan struct{}
	closed          chan struct{}
	closeOnce       sync.Once
}

func (n *Network) newConn(c net.Conn, way, hosts [2]string, address string) *faultConn {
	g := &faultConn{
		Conn:            c,
		network:         n,
		zones:           way,
		instances:       hosts,
		address:         address,
		deadlineChanged: make(chan struct{}),
		closed:          make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[g] = struct{}{}
	return g
}

func (g *faultConn) silence() { g.isSilent.Store(true) }

// Read implements net.Conn.
func (g *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := g.Conn.Read(p)
		if !g.isSilent.Load() {
			return n, err
		}
		if err != nil {
			return 0, g.waitSilently()
		}
	}
}

// waitSilently waits until this end is closed or its read deadline passes.
func (g *faultConn) waitSilently() error {
	for {
		g.mu.Lock()
		deadline, moved := g.readDeadline, g.deadlineChanged
		g.mu.Unlock()
		if deadline.IsZero() {
			select {
			case <-g.closed:
				return net.ErrClosed
			case <-moved:
				continue
			}
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-g.closed:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
			return os.ErrDeadlineExceeded
		case <-moved:
			timer.Stop()
		}
	}
}

// Write implements net.Conn.
func (g *faultConn) Write(p []byte) (int, error) {
	if !g.network.awaitResumed(g.instances, g.closed) {
		return 0, net.ErrClosed
	}
	if g.isSilent.Load() {
		return len(p), nil
	}
	return g.Conn.Write(p)
}

// Close implements net.Conn.
func (g *faultConn) Close() error {
	g.closeOnce.Do(func() {
		close(g.closed)
		g.network.mu.Lock()
		delete(g.network.conns, g)
		g.network.mu.Unlock()
	})
	return g.Conn.Close()
}

// SetDeadline implements net.Conn.
func (g *faultConn) SetDeadline(t time.Time) error {
	g.setReadDeadline(t)
	return g.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (g *faultConn) SetReadDeadline(t time.Time) error {
	g.setReadDeadline(t)
	return g.Conn.SetReadDeadline(t)
}

func (g *faultConn) setReadDeadline(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readDeadline = t
	close(g.deadlineChanged)
	g.deadlineChanged = make(chan struct{})
}
