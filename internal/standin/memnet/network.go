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
	zones     map[string]string
	cut       map[[2]string]bool
	delay     time.Duration
	conns     map[*gatedConn]struct{}
}

// NewNetwork returns a network whose zones are oneWay apart from each other.
func NewNetwork(oneWay time.Duration) *Network {
	return &Network{
		listeners: make(map[string]*Listener),
		zones:     make(map[string]string),
		cut:       make(map[[2]string]bool),
		delay:     oneWay,
		conns:     make(map[*gatedConn]struct{}),
	}
}

// Host is the network as seen from one zone.
type Host struct {
	network *Network
	zone    string
}

// Host returns the network as seen from zone.
func (n *Network) Host(zone string) Host { return Host{network: n, zone: zone} }

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
	n.zones[address] = h.zone
	return l, nil
}

// Dial connects to an address. It is refused at once when nothing listens, and
// hangs until ctx ends when the way is cut.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	zone := n.zones[address]
	cut := n.cut[pair(h.zone, zone)]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: ctx.Err()}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: net.ErrClosed}
	}
	if err := n.travel(ctx, h.zone, zone); err != nil {
		return nil, err
	}
	client, server := net.Pipe()
	if err := l.offer(ctx, n.gate(server, pair(h.zone, zone), address)); err != nil {
		return nil, err
	}
	return n.gate(client, pair(h.zone, zone), address), nil
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
	var hit []*gatedConn
	for c := range n.conns {
		if c.address == address {
			hit = append(hit, c)
		}
	}
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
