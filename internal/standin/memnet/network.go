package memnet

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network joins hosts in memory. Every address belongs to a zone, and the way
// between two zones can be cut: connections across it go silent for good, and
// new ones hang until their dial's context ends.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	// at holds the host of each address.
	at   map[string]Host
	dead map[string]bool
	cut  map[[2]string]bool
	// frozen holds a channel for each frozen instance, closed when it thaws.
	frozen map[string]chan struct{}
	delay  time.Duration
	conns  map[*gatedConn]struct{}
}

// NewNetwork returns a network whose zones are oneWay apart from each other.
func NewNetwork(oneWay time.Duration) *Network {
	return &Network{
		listeners: make(map[string]*Listener),
		at:        make(map[string]Host),
		dead:      make(map[string]bool),
		cut:       make(map[[2]string]bool),
		frozen:    make(map[string]chan struct{}),
		delay:     oneWay,
		conns:     make(map[*gatedConn]struct{}),
	}
}

// Host is the network as seen from one instance.
type Host struct {
	network *Network
	zone    string
	name    string
}

// Host returns the network as seen from the instance name in zone.
func (n *Network) Host(zone, name string) Host { return Host{network: n, zone: zone, name: name} }

// Kill ends an instance at once: its listeners and connections close, and it
// can't connect any more.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	n.dead[name] = true
	for address, h := range n.at {
		if h.name == name {
			_ = n.listeners[address].Close()
		}
	}
	hit := n.matching(func(c *gatedConn) bool { return c.hosts[0] == name || c.hosts[1] == name })
	n.mu.Unlock()
	for _, c := range hit {
		_ = c.Close()
	}
}

// Freeze makes an instance's network stand still, as that of a paused process:
// nothing goes in or out, and nothing is lost, until Thaw. Its timers run on.
func (n *Network) Freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[name] == nil {
		n.frozen[name] = make(chan struct{})
	}
}

// Thaw ends a Freeze.
func (n *Network) Thaw(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[name] != nil {
		close(n.frozen[name])
		delete(n.frozen, name)
	}
}

// thawed waits until neither host is frozen. It returns false when stop closes
// first.
func (n *Network) thawed(hosts [2]string, stop <-chan struct{}) bool {
	for {
		n.mu.Lock()
		wait := n.frozen[hosts[0]]
		if wait == nil {
			wait = n.frozen[hosts[1]]
		}
		n.mu.Unlock()
		if wait == nil {
			return true
		}
		select {
		case <-wait:
		case <-stop:
			return false
		}
	}
}

// matching returns the open connections that pass; n.mu is held.
func (n *Network) matching(pass func(*gatedConn) bool) []*gatedConn {
	var hit []*gatedConn
	for c := range n.conns {
		if pass(c) {
			hit = append(hit, c)
		}
	}
	return hit
}

// AddressInUseError says that an address has a listener already.
type AddressInUseError struct{ Address string }

// Error implements error.
func (e *AddressInUseError) Error() string { return "address in use: " + e.Address }

// Listen opens a listener in the host's zone.
func (h Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.listeners[address]; ok && !old.closed() {
		return nil, &AddressInUseError{Address: address}
	}
	l := Listen(address)
	n.listeners[address] = l
	n.at[address] = h
	return l, nil
}

// Dial connects to an address. It is refused at once when nothing listens, and
// hangs until ctx ends when the way is cut.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	to := n.at[address]
	way := pair(h.zone, to.zone)
	cut := n.cut[way]
	dead := n.dead[h.name]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, dialError(address, ctx.Err())
	}
	if l == nil || dead {
		return nil, dialError(address, net.ErrClosed)
	}
	if !n.thawed([2]string{h.name, to.name}, ctx.Done()) {
		return nil, dialError(address, ctx.Err())
	}
	if err := n.travel(ctx, h.zone, to.zone); err != nil {
		return nil, dialError(address, err)
	}
	client, server := net.Pipe()
	hosts := [2]string{h.name, to.name}
	if err := l.offer(ctx, n.gate(server, way, hosts, address)); err != nil {
		return nil, err
	}
	return n.gate(client, way, hosts, address), nil
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: err}
}

// travel waits for the round trip of a handshake between two zones.
func (n *Network) travel(ctx context.Context, a, b string) error {
	if a == b || n.delay == 0 {
		return nil
	}
	select {
	case <-time.After(2 * n.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Cut cuts the way between two zones. Connections across it go silent.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair(a, b)] = true
	for c := range n.conns {
		if c.way == pair(a, b) {
			c.silence()
		}
	}
}

// Heal opens the way again for new connections.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair(a, b))
}

// SilenceTo makes every open connection to an address silent for good, while
// new ones work.
func (n *Network) SilenceTo(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.address == address {
			c.silence()
			count++
		}
	}
	return count
}

// Reset closes every open connection to an address, as a killed process does.
func (n *Network) Reset(address string) {
	n.mu.Lock()
	hit := n.matching(func(c *gatedConn) bool { return c.address == address })
	n.mu.Unlock()
	for _, c := range hit {
		_ = c.Close()
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
