package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network connects instances in memory. Every address belongs to a zone, and two
// zones can be partitioned: open connections between them go silent for good,
// and new ones hang until the context of the dial ends.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	// hosts holds the host that listens or last listened on each address.
	hosts       map[string]Host
	killed      map[string]bool
	partitioned map[[2]string]bool
	// paused holds a channel for each paused instance, closed by Resume.
	paused      map[string]chan struct{}
	oneWayDelay time.Duration
	conns       map[*faultConn]struct{}
}

// NewNetwork returns a network with a one-way delay of oneWayDelay between any
// two zones.
func NewNetwork(oneWayDelay time.Duration) *Network {
	return &Network{
		listeners:   make(map[string]*Listener),
		hosts:       make(map[string]Host),
		killed:      make(map[string]bool),
		partitioned: make(map[[2]string]bool),
		paused:      make(map[string]chan struct{}),
		oneWayDelay: oneWayDelay,
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

// Kill crashes an instance: its listeners and connections are closed, and its
// dials are refused from then on.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	n.killed[name] = true
	for address, h := range n.hosts {
		if h.name == name {
			_ = n.listeners[address].Close()
		}
	}
	conns := n.matching(func(c *faultConn) bool { return c.instances[0] == name || c.instances[1] == name })
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Pause stops an instance's traffic as a paused process does: nothing goes in or
// out until Resume, and nothing is lost. The instance's timers go on.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[name] == nil {
		n.paused[name] = make(chan struct{})
	}
}

// Resume lets the traffic of a paused instance go on.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[name] != nil {
		close(n.paused[name])
		delete(n.paused, name)
	}
}

// awaitResumed waits until neither instance is paused. It returns false if stop
// is closed first.
func (n *Network) awaitResumed(instances [2]string, stop <-chan struct{}) bool {
	for {
		n.mu.Lock()
		resumed := n.paused[instances[0]]
		if resumed == nil {
			resumed = n.paused[instances[1]]
		}
		n.mu.Unlock()
		if resumed == nil {
			return true
		}
		select {
		case <-resumed:
		case <-stop:
			return false
		}
	}
}

// matching returns the open connections for which match returns true. The caller
// holds n.mu.
func (n *Network) matching(match func(*faultConn) bool) []*faultConn {
	var conns []*faultConn
	for c := range n.conns {
		if match(c) {
			conns = append(conns, c)
		}
	}
	return conns
}

// AddressInUseError reports that an address has an open listener already.
type AddressInUseError struct{ Address string }

// Error implements error.
func (e *AddressInUseError) Error() string { return "address in use: " + e.Address }

// Listen opens a listener in the host's zone. It returns an *AddressInUseError
// while another listener on address is open.
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

// Dial connects to an address. It fails at once if nothing listens there, and
// hangs until ctx ends if the two zones are partitioned.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	to := n.hosts[address]
	zones := zonePair(h.zone, to.zone)
	partitioned := n.partitioned[zones]
	killed := n.killed[h.name]
	n.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, dialError(address, ctx.Err())
	}
	switch {
	case killed:
		return nil, dialError(address, net.ErrClosed)
	case l == nil:
		return nil, dialError(address, syscall.ECONNREFUSED)
	}
	if !n.awaitResumed([2]string{h.name, to.name}, ctx.Done()) {
		return nil, dialError(address, ctx.Err())
	}
	if err := n.awaitHandshake(ctx, h.zone, to.zone); err != nil {
		return nil, dialError(address, err)
	}
	clientPipe, serverPipe := net.Pipe()
	instances := [2]string{h.name, to.name}
	client := n.newConn(clientPipe, zones, instances, address)
	server := n.newConn(serverPipe, zones, instances, address)
	// From here on Partition silences both ends. It may have come during the handshake.
	if n.isPartitioned(zones) {
		closeBoth(client, server)
		<-ctx.Done()
		return nil, dialError(address, ctx.Err())
	}
	if err := l.deliver(ctx, server); err != nil {
		closeBoth(client, server)
		return nil, err
	}
	return client, nil
}

func (n *Network) isPartitioned(zones [2]string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[zones]
}

func closeBoth(client, server net.Conn) {
	_ = client.Close()
	_ = server.Close()
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: err}
}

// awaitHandshake waits for one round trip between two zones, as the handshake of
// a connection takes. Within a zone there is no delay.
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

// Partition separates two zones. Open connections between them go silent.
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

// Heal lets new connections through between two partitioned zones. Those that
// went silent stay so.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, zonePair(a, b))
}

// SilenceTo makes every open connection to an address silent for good, while new
// ones work. It returns the number of connection ends, two for each connection.
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
	conns := n.matching(func(c *faultConn) bool { return c.address == address })
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func zonePair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
