package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fault is what a proxy does to its connections.
type fault int

const (
	// passing carries everything.
	passing fault = iota
	// slowed holds each piece back for slowDelay.
	slowed
	// silenced carries nothing on the connections that are open, for good; new
	// ones work.
	silenced
	// deaf carries nothing towards the client.
	deaf
	// refusing resets new connections and all that are open.
	refusing
)

var faultNames = map[fault]string{slowed: "slowed", silenced: "silenced", deaf: "deaf", refusing: "reset"}

// slowDelay is how long a slowed piece is held back.
const slowDelay = 150 * time.Millisecond

// proxy stands before a TCP address.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault fault
	pairs map[*pair]bool
}

// pair is one connection through a proxy.
type pair struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func newProxy(t *testing.T, listen, target string) *proxy {
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, pairs: make(map[*pair]bool)}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.set(refusing)
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what is done to the connections.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.pairs {
		switch f {
		case silenced:
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		case refusing:
			c.reset()
		}
	}
}

func (p *proxy) current() fault {
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
	if p.current() == refusing {
		(&pair{client: client}).reset()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		(&pair{client: client}).reset()
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(c, server, client, false) })
	both.Go(func() { p.carry(c, client, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// carry copies one direction until it ends, and passes on how it ended.
func (p *proxy) carry(c *pair, to, from net.Conn, toClient bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		f := p.current()
		if f == slowed {
			time.Sleep(slowDelay)
		}
		c.mu.Lock()
		lost := c.silent || f == deaf && toClient
		c.silent = lost
		c.mu.Unlock()
		if lost && err != nil {
			// The other side stays open and hears nothing.
			return
		}
		if lost {
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err == io.EOF {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			c.reset()
			return
		}
	}
}

// reset ends both sides at once.
func (c *pair) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok && tcp != nil {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}
