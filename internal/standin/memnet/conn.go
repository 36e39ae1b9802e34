package memnet

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// faultConn is one end of a connection with fault injection. Once it is silent,
// what is written to it is lost and nothing is read from it, not even that the
// other end was closed.
type faultConn struct {
	net.Conn
	network *Network
	zones   [2]string
	// instances are the dialling and the accepting instance, in this order.
	instances [2]string
	// address is the dialled address, at both ends.
	address  string
	isSilent atomic.Bool

	mu           sync.Mutex
	readDeadline time.Time
	// deadlineChanged is closed and replaced when readDeadline changes.
	deadlineChanged chan struct{}
	closed          chan struct{}
	closeOnce       sync.Once
}

// newConn wraps one end of a connection and adds it to the open connections.
func (n *Network) newConn(c net.Conn, zones, instances [2]string, address string) *faultConn {
	fc := &faultConn{
		Conn:            c,
		network:         n,
		zones:           zones,
		instances:       instances,
		address:         address,
		deadlineChanged: make(chan struct{}),
		closed:          make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[fc] = struct{}{}
	return fc
}

func (fc *faultConn) silence() { fc.isSilent.Store(true) }

// Read implements net.Conn.
func (fc *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := fc.Conn.Read(p)
		if !fc.isSilent.Load() {
			return n, err
		}
		if err != nil {
			return 0, fc.waitSilently()
		}
	}
}

// waitSilently waits until this end is closed or its read deadline passes, and
// returns the error of a read then.
func (fc *faultConn) waitSilently() error {
	for {
		fc.mu.Lock()
		deadline, changed := fc.readDeadline, fc.deadlineChanged
		fc.mu.Unlock()
		if deadline.IsZero() {
			select {
			case <-fc.closed:
				return net.ErrClosed
			case <-changed:
				continue
			}
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-fc.closed:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
			return os.ErrDeadlineExceeded
		case <-changed:
			timer.Stop()
		}
	}
}

// Write implements net.Conn.
func (fc *faultConn) Write(p []byte) (int, error) {
	if !fc.network.awaitResumed(fc.instances, fc.closed) {
		return 0, net.ErrClosed
	}
	if fc.isSilent.Load() {
		return len(p), nil
	}
	return fc.Conn.Write(p)
}

// Close implements net.Conn.
func (fc *faultConn) Close() error {
	fc.closeOnce.Do(func() {
		close(fc.closed)
		fc.network.mu.Lock()
		delete(fc.network.conns, fc)
		fc.network.mu.Unlock()
	})
	return fc.Conn.Close()
}

// SetDeadline implements net.Conn.
func (fc *faultConn) SetDeadline(t time.Time) error {
	fc.setReadDeadline(t)
	return fc.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (fc *faultConn) SetReadDeadline(t time.Time) error {
	fc.setReadDeadline(t)
	return fc.Conn.SetReadDeadline(t)
}

func (fc *faultConn) setReadDeadline(t time.Time) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.readDeadline = t
	close(fc.deadlineChanged)
	fc.deadlineChanged = make(chan struct{})
}
