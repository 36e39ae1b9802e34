package memnet

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// gatedConn is one end of a connection that can go silent: what is written is
// lost, and nothing is read, not even the other end's closing.
type gatedConn struct {
	net.Conn
	network *Network
	way     [2]string
	// hosts are the dialling and the accepting instance.
	hosts [2]string
	// address is the one dialled, at both ends.
	address string
	silent  atomic.Bool

	mu       sync.Mutex
	deadline time.Time
	// moved is closed when the deadline changes.
	moved  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (n *Network) gate(c net.Conn, way, hosts [2]string, address string) *gatedConn {
	g := &gatedConn{
		Conn:    c,
		network: n,
		way:     way,
		hosts:   hosts,
		address: address,
		moved:   make(chan struct{}),
		closed:  make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[g] = struct{}{}
	return g
}

func (g *gatedConn) silence() { g.silent.Store(true) }

// Read implements net.Conn.
func (g *gatedConn) Read(p []byte) (int, error) {
	for {
		n, err := g.Conn.Read(p)
		if !g.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, g.hang()
		}
	}
}

// hang waits until this end is closed or its read deadline passes.
func (g *gatedConn) hang() error {
	for {
		g.mu.Lock()
		deadline, moved := g.deadline, g.moved
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
func (g *gatedConn) Write(p []byte) (int, error) {
	if !g.network.thawed(g.hosts, g.closed) {
		return 0, net.ErrClosed
	}
	if g.silent.Load() {
		return len(p), nil
	}
	return g.Conn.Write(p)
}

// Close implements net.Conn.
func (g *gatedConn) Close() error {
	g.once.Do(func() {
		close(g.closed)
		g.network.mu.Lock()
		delete(g.network.conns, g)
		g.network.mu.Unlock()
	})
	return g.Conn.Close()
}

// SetDeadline implements net.Conn.
func (g *gatedConn) SetDeadline(t time.Time) error {
	g.moveDeadline(t)
	return g.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (g *gatedConn) SetReadDeadline(t time.Time) error {
	g.moveDeadline(t)
	return g.Conn.SetReadDeadline(t)
}

func (g *gatedConn) moveDeadline(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadline = t
	close(g.moved)
	g.moved = make(chan struct{})
}
