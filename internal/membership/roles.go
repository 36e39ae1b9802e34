package membership

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// Role is a task that a few gateways of a region do for all of them, chosen by
// rendezvous hashing. Gateways that see different peers may choose different
// holders; every role is one in which that is harmless.
type Role struct {
	Key string
	// HolderCount is the number of gateways that hold the role.
	HolderCount int
}

// StoreWatch is the role of watching the configuration in the store.
var StoreWatch = Role{Key: "config-watch", HolderCount: 2}

// smallRegion is the number of gateways up to which a region is small.
const smallRegion = 8

// LoadPoll is the role of asking an endpoint for its load: of two gateways in a
// small region, of one in a large region, where a peer that does not answer is
// found before its reports are missed.
func LoadPoll(endpoint string, gateways int) Role {
	if gateways > smallRegion {
		return Role{Key: "load/" + endpoint, HolderCount: 1}
	}
	return Role{Key: "load/" + endpoint, HolderCount: 2}
}

// fewRegions is the number of other regions up to which two gateways swap
// summaries with each.
const fewRegions = 3

// RegionExchange is the role of swapping summaries with another region: of two
// gateways where there are few other regions, else of one, so that the gateways
// of a small region can afford it.
func RegionExchange(region string, others int) Role {
	if others > fewRegions {
		return Role{Key: "region/" + region, HolderCount: 1}
	}
	return Role{Key: "region/" + region, HolderCount: 2}
}

// HeldBy says whether the instance is among the role's holders.
func (r Role) HeldBy(id string, live []string) bool {
	return rendezvous.Owns(r.Key, id, live, r.HolderCount)
}

// Holds says whether this gateway holds the role, as far as it sees.
func (v *View) Holds(r Role, now time.Time) bool {
	return r.HeldBy(v.board.Self.ID, v.LiveGatewayIDs(now))
}
