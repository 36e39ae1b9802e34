package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// MaxFullMeshGateways is the number of gateways up to which all gateways of a region beat
// to each other. Larger regions beat to their hubs, which tell the others.
const MaxFullMeshGateways = 8

// hubCount is the number of hubs of a region; the second one takes over at once
// when the first is gone.
const hubCount = 2

// Hubs returns the ids of the gateways that speak for a region, the first one
// first: those that reach the store, on the strongest machines. Every gateway
// works them out by itself; that two differ for a moment does no harm.
func (g *Gateways) Hubs(region string, now time.Time) []string {
	all := g.Alive(region, now)
	if region == g.self.Region && !g.IsLeaving() {
		all = append(all, GatewayStatus{Gateway: g.self, StoreUnreachable: g.IsStoreUnreachable(now)})
	}
	key := "hub " + region
	slices.SortFunc(all, func(a, b GatewayStatus) int {
		switch {
		case a.StoreUnreachable != b.StoreUnreachable && b.StoreUnreachable:
			return -1
		case a.StoreUnreachable != b.StoreUnreachable:
			return 1
		case a.MachineCapacity != b.MachineCapacity:
			return b.MachineCapacity - a.MachineCapacity
		default:
			return cmp.Compare(rendezvous.Weight(key, b.ID), rendezvous.Weight(key, a.ID))
		}
	})
	ids := make([]string, 0, hubCount)
	for _, s := range all[:min(hubCount, len(all))] {
		ids = append(ids, s.ID)
	}
	return ids
}

// IsHub says whether this gateway speaks for its region.
func (g *Gateways) IsHub(now time.Time) bool {
	return slices.Contains(g.Hubs(g.self.Region, now), g.self.ID)
}

// StoreReader returns the id of the gateway that reads the store for its region.
func (g *Gateways) StoreReader(now time.Time) string {
	hubs := g.Hubs(g.self.Region, now)
	if len(hubs) == 0 {
		return g.self.ID
	}
	return hubs[0]
}

// IsStoreReader says whether this gateway reads the store for its region.
func (g *Gateways) IsStoreReader(now time.Time) bool { return g.StoreReader(now) == g.self.ID }

// IsFullMesh says whether all gateways of the own region beat to each other.
func (g *Gateways) IsFullMesh() bool { return len(g.Known(g.self.Region)) < MaxFullMeshGateways }
