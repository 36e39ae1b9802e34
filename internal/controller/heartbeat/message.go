package heartbeat

import (
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
)

// Message is one datagram.
type Message struct {
	From fleet.GatewayStatus `json:"from"`
	// Rows are the sender's requests under way at endpoints, Readings the
	// prompt parts that it lately had endpoints read.
	Rows     []endpointload.EndpointLoad `json:"rows,omitempty"`
	Readings []endpointload.CachedPrefix `json:"read,omitempty"`
	// Digests sum up regions: a hub tells other regions and the gateways of a
	// large region of its own, and its own region of the others.
	Digests []RegionSummary `json:"digests,omitempty"`
	// Ask says that the sender wants to know which gateways there are, Known
	// tells it.
	Ask   bool                  `json:"ask,omitempty"`
	Known []fleet.GatewayStatus `json:"known,omitempty"`
	// Word is set by the gateway that reads the store for its region.
	Word *fleet.StoreStatus `json:"word,omitempty"`
}

// RegionSummary sums up a region.
type RegionSummary struct {
	Region string `json:"region"`
	// Hub and Seq order the digests of one sender; AgeMillis is the time since
	// the hub made it.
	Hub       string `json:"hub"`
	Seq       uint64 `json:"seq"`
	AgeMillis int64  `json:"age_ms,omitempty"`
	// Alive marks the region's gateways that are alive. Members describes them
	// in full, in some digests.
	Alive   []fleet.CompactStatus `json:"alive"`
	Members []fleet.GatewayStatus `json:"members,omitempty"`
	// Rows are the sums over all of them.
	Rows     []endpointload.EndpointLoad `json:"rows,omitempty"`
	Readings []endpointload.CachedPrefix `json:"read,omitempty"`
}
