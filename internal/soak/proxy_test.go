package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkFault is a fault that a proxy applies to its connections.
type linkFault int

const (
	// noFault forwards all data.
	noFault linkFault = iota
	// delayData delays each read by linkDelay.
	delayData
	// silenceOpenConns drops all data of the connections that are open now, until
	// they are closed; new connections work.
	silenceOpenConns
	// dropToClient drops data towards the client. A connection that lost data stays
	// silent in both directions until it is closed.
	dropToClient
	// resetConns resets open and new connections.
	resetConns
)

var linkFaultNames = map[linkFault]string{delayData: "delayed", silenceOpenConns: "silenced", dropToClient: "one-way", resetConns: "reset"}

// linkDelay is the delay of each read under delayData.
const linkDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target address and applies faults to them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[*connPair]bool
}

// connPair is one proxied connection: the connection of the client and the one to
// the target. server is nil if none was made.
type connPair struct {
	client, server net.Conn
	mu             sync.Mutex
	silenced       bool
}

func newProxy(t *testing.T, listen, target string) *proxy {
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, conns: make(map[*connPair]bool)}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.setFault(resetConns)
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault sets the fault that applies to open and new connections. Connections
// silenced by an earlier fault stay silent.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		switch f {
		case silenceOpenConns:
			c.mu.Lock()
			c.silenced = true
			c.mu.Unlock()
		case resetConns:
			c.reset()
		}
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	if p.currentFault() == resetConns {
		(&connPair{client: client}).reset()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		(&connPair{client: client}).reset()
		return
	}
	c := &connPair{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyOneWay(c, server, client, false) })
	directions.Go(func() { p.copyOneWay(c, client, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copyOneWay copies the data of one direction until from ends or fails, and closes
// or resets the other side accordingly. Data and ends of a silenced connection
// are dropped.
func (p *proxy) copyOneWay(conn *connPair, to, from net.Conn, toClient bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		f := p.currentFault()
		if f == delayData {
			time.Sleep(linkDelay)
		}
		conn.mu.Lock()
		drop := conn.silenced || f == dropToClient && toClient
		conn.silenced = drop
		conn.mu.Unlock()
		if drop && err != nil {
			// The other side stays open and doesn't learn that this one has ended.
			return
		}
		if drop {
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				conn.reset()
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			conn.reset()
			return
		}
	}
}

// reset closes both connections with a TCP reset.
func (c *connPair) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok && tcp != nil {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}
