package edge

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/fleet"
)

const (
	// directoryTTL is how long callers may use a directory answer. It is short,
	// so that callers soon leave a gateway that stops.
	directoryTTL = time.Second
	// directoryMemory is how long a region's gateways are still named after the
	// region fell silent: the way to it may be cut here and open for the caller.
	directoryMemory = 5 * time.Second
)

// Addresses returns the callers' addresses of the gateways in a region that
// are alive and ready; if there are none, of those that were lately. If there
// are none of these either, it names the gateways of another region, one that
// may process as many of the host's routes as possible.
func (e *Edge) Addresses(host, region string) ([]string, time.Duration) {
	now := time.Now()
	for _, list := range [][]fleet.GatewayStatus{
		e.Gateways.Alive(region, now),
		e.Gateways.SeenWithin(region, directoryMemory, now),
	} {
		if out := e.ready(list, region); len(out) > 0 {
			return out, directoryTTL
		}
	}
	for _, other := range e.substitutes(host, region) {
		if out := e.ready(e.Gateways.Alive(other, now), other); len(out) > 0 {
			e.Logger.Warn("directory names another region", "asked", region, "named", other, "addresses", len(out))
			return out, directoryTTL
		}
	}
	return nil, directoryTTL
}

// substitutes returns the other regions, those first that may process the most
// routes of a host, and this gateway's own before equals.
func (e *Edge) substitutes(host, region string) []string {
	own := e.Gateways.Self().Region
	var out []string
	for _, r := range append([]string{own}, e.Gateways.Regions()...) {
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

// ready returns the addresses of those that are ready, this gateway included if
// it stands in the region.
func (e *Edge) ready(list []fleet.GatewayStatus, region string) []string {
	var out []string
	if self := e.Gateways.Self(); region == self.Region && e.Ready() {
		out = append(out, self.CallerAddress)
	}
	for _, s := range list {
		if s.Ready {
			out = append(out, s.CallerAddress)
		}
	}
	return out
}
