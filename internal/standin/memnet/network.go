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
	// hosts holds the host of each address.
	hosts       map[string]Host
	killed      map[string]bool
	partitioned map[[2]string]bool
	// paused holds a channel for each frozen instance, closed when it thaws.
	paused      map[string]chan struct{}
	oneWayDelay time.Duration
	conns       map[*faultConn]struct{}
}

// NewNetwork returns a network whose zones are oneWay apart from each other.
func NewNetwork(oneWay time.Duration) *Network {
	return &Network{
		listeners:   make(map[string]*Listener),
		hosts:       make(map[string]Host),
		killed:      make(map[string]bool),
		partitioned: make(map[[2]string]bool),
		paused:      make(map[string]chan struct{}),
		oneWayDelay: oneWay,
		conns:       make(map[*faultConn]struct{}),
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
	n.killed[name] = true
	for address, h := range n.hosts {
		if h.name == name {
			_ = n.listeners[address].Close()
		}
	}
	hit := n.matching(func(c *faultConn) bool { return c.instances[0] == name || c.instances[1] == name })
	n.mu.Unlock()
	for _, c := range hit {
		_ = c.Close()
	}
}

// Pause makes an instance's network stand still, as that of a paused process:
// nothing goes in or out, and nothing is lost, until Thaw. Its timers run on.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[name] == nil {
		n.paused[name] = make(chan struct{})
	}
}

// Resume ends a Freeze.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[name] != nil {
		close(n.paused[name])
		delete(n.paused, name)
	}
}

// awaitResumed waits until neither host is frozen. It returns false when stop closes
// first.
func (n *Network) awaitResumed(hosts [2]string, stop <-chan struct{}) bool {
	for {
		n.mu.Lock()
		wait := n.paused[hosts[0]]
		if wait == nil {
			wait = n.paused[hosts[1]]
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
func (n *Network) matching(pass func(*faultConn) bool) []*faultConn {
	var hit []*faultConn
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
	if old, ok := n.listeners[address]; ok && !old.isClosed() {
		return nil, &AddressInUseError{Address: address}
	}
	l := Listen(address)
	n.listeners[address] = l
	n.hosts[address] = h
	return l, nil
}

// Dial connects to an address. It is refused at once when nothing listens, and
// hangs until ctx ends when the way is cut.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	to := n.hosts[address]
	way := zonePair(h.zone, to.zone)
	cut := n.partitioned[way]
	dead := n.killed[h.name]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, dialError(address, ctx.Err())
	}
	if l == nil || dead {
		return nil, dialError(address, net.ErrClosed)
	}
	if !n.awaitResumed([2]string{h.name, to.name}, ctx.Done()) {
		return nil, dialError(address, ctx.Err())
	}
	if err := n.awaitHandshake(ctx, h.zone, to.zone); err != nil {
		return nil, dialError(address, err)
	}
	client, server := net.Pipe()
	hosts := [2]string{h.name, to.name}
	if err := l.deliver(ctx, n.newConn(server, way, hosts, address)); err != nil {
		return nil, err
	}
	return n.newConn(client, way, hosts, address), nil
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: err}
}

// awaitHandshake waits for the round trip of a handshake between two zones.
func (n *Network) awaitHandshake(ctx context.Context, a, b string) error {
	if a == b || n.oneWayDelay == 0 {
		return nil
	}
	select {
	case <-time.After(2 * n.oneWayDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Partition cuts the way between two zones. Connections across it go silent.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[zonePair(a, b)] = true
	for c := range n.conns {
		if c.zones == zonePair(a, b) {
			c.silence()
		}
	}
}

// Heal opens the way again for new connections.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, zonePair(a, b))
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
	hit := n.matching(func(c *faultConn) bool { return c.address == address })
	n.mu.Unlock()
	for _, c := range hit {
		_ = c.Close()
	}
}

func zonePair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
