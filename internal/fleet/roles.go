package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// MaxFullMeshGateways is the largest number of gateways in a region that form a
// full mesh, in which each sends heartbeats to every other. In larger regions
// gateways send heartbeats to the hubs, which send a summary to the others.
const MaxFullMeshGateways = 8

// hubsPerRegion is the number of hubs of a region. The second one takes over at
// once when the first is gone.
const hubsPerRegion = 2

// Hubs returns the ids of the hubs of a region in order of preference: gateways
// that reach the store come first, then those with the highest machine capacity.
// Rendezvous hashing breaks ties. Each gateway computes the hubs from its own
// view; gateways may disagree for a moment without harm.
func (g *Gateways) Hubs(region string, now time.Time) []string {
	all := slices.Clone(g.Alive(region, now))
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
	ids := make([]string, 0, hubsPerRegion)
	for _, s := range all[:min(hubsPerRegion, len(all))] {
		ids = append(ids, s.ID)
	}
	return ids
}

// IsHub reports whether this gateway is a hub of its region.
func (g *Gateways) IsHub(now time.Time) bool {
	return slices.Contains(g.Hubs(g.self.Region, now), g.self.ID)
}

// StoreReader returns the id of the gateway that reads the store for this
// gateway's region: the first hub, or this gateway if there is no hub.
func (g *Gateways) StoreReader(now time.Time) string {
	hubs := g.Hubs(g.self.Region, now)
	if len(hubs) == 0 {
		return g.self.ID
	}
	return hubs[0]
}

// IsStoreReader reports whether this gateway reads the store for its region.
func (g *Gateways) IsStoreReader(now time.Time) bool { return g.StoreReader(now) == g.self.ID }

// RegionSize returns the number of known gateways of this gateway's region, alive or
// not, this one included.
func (g *Gateways) RegionSize() int { return g.countRegion() + 1 }

// IsFullMesh reports whether the gateways of this gateway's region form a full
// mesh.
func (g *Gateways) IsFullMesh() bool { return g.countRegion() < MaxFullMeshGateways }
