package membership

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// Role is a task that a few gateways of a region perform for all of them. The
// holders are chosen by rendezvous hashing. Gateways with different views of
// their peers may choose different holders, so a role must tolerate too many or
// too few holders for a while.
type Role struct {
	Key string
	// HolderCount is the number of gateways that hold the role.
	HolderCount int
}

// StoreWatch is the role of watching the store for new configurations.
var StoreWatch = Role{Key: "config-watch", HolderCount: 2}

// smallRegionGateways is the largest number of gateways of a small region.
const smallRegionGateways = 8

// LoadPoll is the role of polling an endpoint for load reports. It is held by two
// gateways in a small region and by one in a large region, where an unresponsive
// gateway is detected before its load reports are missed.
func LoadPoll(endpoint string, gateways int) Role {
	if gateways > smallRegionGateways {
		return Role{Key: "load/" + endpoint, HolderCount: 1}
	}
	return Role{Key: "load/" + endpoint, HolderCount: 2}
}

// fewOtherRegions is the largest number of other regions for which two gateways
// exchange summaries with each region.
const fewOtherRegions = 3

// RegionExchange is the role of exchanging summaries with another region. It is
// held by two gateways if there are few other regions, and else by one, which
// limits the work of the gateways of a small region.
func RegionExchange(region string, others int) Role {
	if others > fewOtherRegions {
		return Role{Key: "region/" + region, HolderCount: 1}
	}
	return Role{Key: "region/" + region, HolderCount: 2}
}

// HeldBy reports whether the gateway id is one of the role's holders among the
// live gateways.
func (r Role) HeldBy(id string, live []string) bool {
	return rendezvous.Owns(r.Key, id, live, r.HolderCount)
}

// Holds reports whether this gateway holds the role according to its own view.
func (v *View) Holds(r Role, now time.Time) bool {
	return r.HeldBy(v.board.Self.ID, v.LiveGatewayIDs(now))
}
