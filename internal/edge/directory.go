package edge

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/fleet"
)

const (
	// directoryTTL is how long callers may cache a directory response. It is short,
	// so that callers soon stop using a gateway that shuts down.
	directoryTTL = time.Second
	// silentGatewayWindow is how long the gateways of a region are still returned
	// after their heartbeats stopped: the network to the region may be down for
	// this gateway and up for the caller.
	silentGatewayWindow = 5 * time.Second
	// maxDirectoryAddresses is the number of addresses that callers read from a directory
	// response.
	maxDirectoryAddresses = 64
)

// Addresses returns the addresses (host:port) at which the ready gateways of a
// region accept callers, and how long callers may cache them. If no gateway there
// is alive, it returns those that were alive within silentGatewayWindow; failing
// that, the gateways of the region that may process most of the host's routes. The
// list is empty if no region has a ready gateway.
func (e *Edge) Addresses(host, region string) ([]string, time.Duration) {
	now := time.Now()
	for _, gateways := range [][]fleet.GatewayStatus{
		e.Gateways.Alive(region, now),
		e.Gateways.SeenWithin(region, silentGatewayWindow, now),
	} {
		if out := e.readyAddresses(gateways, region); len(out) > 0 {
			return out, directoryTTL
		}
	}
	for _, other := range e.fallbackRegions(host, region) {
		if out := e.readyAddresses(e.Gateways.Alive(other, now), other); len(out) > 0 {
			e.Logger.Warn("directory answered with gateways of another region", "asked", region, "named", other, "addresses", len(out))
			return out, directoryTTL
		}
	}
	return nil, directoryTTL
}

// fallbackRegions returns the other regions, ordered by the number of the host's
// routes that they may process, the largest first; among equals, this gateway's
// region is first.
func (e *Edge) fallbackRegions(host, region string) []string {
	local := e.Gateways.Self().Region
	var out []string
	for _, r := range append([]string{local}, e.Gateways.Regions()...) {
		if r != region && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	routes := e.Board.Routes.Get()
	if routes == nil {
		return out
	}
	slices.SortStableFunc(out, func(a, b string) int { return routes.CountPermitted(host, b) - routes.CountPermitted(host, a) })
	return out
}

// readyAddresses returns the addresses of the ready gateways in the list, preceded by
// this gateway's own if it is ready and in the region. Callers choose one at random, so those
// of machines with more processor capacity are repeated.
func (e *Edge) readyAddresses(gateways []fleet.GatewayStatus, region string) []string {
	var ready []fleet.Gateway
	if self := e.Gateways.Self(); region == self.Region && e.IsReady() {
		ready = append(ready, self)
	}
	for _, g := range gateways {
		if g.Ready {
			ready = append(ready, g.Gateway)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	shares := fleet.Shares(ready, maxDirectoryAddresses)
	var out []string
	for round := 0; ; round++ {
		before := len(out)
		for i, g := range ready {
			if shares[i] > round {
				out = append(out, g.CallerAddress)
			}
		}
		if len(out) == before {
			return out
		}
	}
}
