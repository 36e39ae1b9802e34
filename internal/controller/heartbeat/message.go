package heartbeat

import (
	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
)

// Message is the content of one heartbeat datagram.
type Message struct {
	From fleet.GatewayStatus `json:"from" lenient:"parts"`
	// Loads are the sender's requests in flight by endpoint, CachedPrefixes the
	// prompt prefixes that its requests recently put into the endpoints' caches.
	Loads          []endpointload.EndpointLoad `json:"rows,omitempty"`
	CachedPrefixes []endpointload.CachedPrefix `json:"read,omitempty"`
	// Summaries describe regions. A hub sends the summary of its region to the
	// hubs of other regions and, in a large region, to all gateways of the region,
	// and passes summaries of other regions on to its own. In a full mesh every
	// gateway sends the members of the region when they have changed.
	Summaries []RegionSummary `json:"digests,omitempty" lenient:"parts"`
	// ToHub is set if the sender takes the receiver for a hub of its region, or the
	// region for a full mesh. Only then do Loads count.
	ToHub bool `json:"to_hub,omitempty"`
	// Hubs are the ids of the hubs of the receiver's region, for a receiver that took
	// the sender for one. Known describes them.
	Hubs []string `json:"hubs,omitempty"`
	// RequestKnown asks the receiver to respond with the gateways that it knows.
	// Known holds them in the response.
	RequestKnown bool                  `json:"ask,omitempty"`
	Known        []fleet.GatewayStatus `json:"known,omitempty"`
	// Quarantine is what the sender knows of prompt segments that crash endpoints. Every
	// gateway passes on what is new to it, so that it reaches all regions.
	Quarantine *quarantine.Digest `json:"quarantine,omitempty" lenient:"parts"`
	// RequestQuarantine is the same of whole requests.
	RequestQuarantine *quarantine.Digest `json:"request_quarantine,omitempty" lenient:"parts"`
	// LeavingEndpoints are endpoints whose responses say that they are leaving, and whose
	// entries don't. Every gateway passes them on.
	LeavingEndpoints []fleet.LeavingEndpoint `json:"leaving_endpoints,omitempty"`
	// RefusedEndpoints are endpoints of the receiver's region that refused a connection.
	RefusedEndpoints []fleet.RefusedEndpoint `json:"refused_endpoints,omitempty"`
	// RequestLimits are those that endpoints of the region have begun or ceased to name; in
	// an introduction, all that they name.
	RequestLimits []requestlimit.Limit `json:"request_limits,omitempty"`
	// StoreStatus is set by the store reader of the sender's region.
	StoreStatus *fleet.StoreStatus `json:"word,omitempty"`
	// Unreadable tells the receiver which parts of its heartbeats the sender can't read.
	Unreadable *lenient.Report `json:"unreadable,omitempty"`
}

// isNews reports whether the message holds what all gateways have to know at once.
func (m Message) isNews() bool {
	return m.StoreStatus != nil || m.Quarantine != nil || m.RequestQuarantine != nil || len(m.LeavingEndpoints) > 0 || len(m.RefusedEndpoints) > 0 ||
		len(m.RequestLimits) > 0
}

// RegionSummary describes the gateways and loads of a region.
type RegionSummary struct {
	Region string `json:"region" lenient:"required"`
	// Hub is the id and incarnation of the gateway that created the summary. Seq
	// orders the summaries of one Hub. AgeMillis is the time since the creation.
	Hub       string `json:"hub" lenient:"required"`
	Seq       uint64 `json:"seq" lenient:"required"`
	AgeMillis int64  `json:"age_ms,omitempty" lenient:"required"`
	// Alive lists the gateways of the region that are alive, AliveHash is a hash of
	// that list. A summary may leave out a list that was sent before. Members
	// describes some of them, and of those that recently left, in full.
	Alive     []fleet.CompactStatus `json:"alive,omitempty"`
	AliveHash uint64                `json:"alive_hash,omitempty"`
	Members   []fleet.GatewayStatus `json:"members,omitempty"`
	// Loads are the sums over all gateways of the region.
	Loads          []endpointload.EndpointLoad `json:"rows,omitempty"`
	CachedPrefixes []endpointload.CachedPrefix `json:"read,omitempty"`
}
