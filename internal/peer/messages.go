// Package peer carries what gateways say to each other: HTTP with JSON, each
// request signed with a secret that all gateways share.
package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// Paths of the peer listener.
const (
	PathExchange = "/peer/v1/exchange"
	PathSnapshot = "/peer/v1/snapshot"
	// PathEndpoints tells the endpoints of the region.
	PathEndpoints = "/peer/v1/endpoints"
	// PathAnnounce tells of large prefills before load reports show them.
	PathAnnounce = "/peer/v1/announce"
	PathHandover = "/peer/v1/handover"
	// PathForward precedes the path of a forwarded caller's request.
	PathForward = "/peer/v1/forward"
)

// GatewayStatus is what one gateway says of a gateway.
type GatewayStatus struct {
	ID            string `json:"id"`
	Incarnation   string `json:"inc"`
	Region        string `json:"region"`
	Address       string `json:"addr"`
	CallerAddress string `json:"caller"`
	Leaving       bool   `json:"leaving,omitempty"`
	Ready         bool   `json:"ready,omitempty"`
	Revision      uint64 `json:"rev"`
	// HeartbeatSeq grows with each sign of life of this incarnation.
	HeartbeatSeq uint64 `json:"beat"`
	// Epoch grows each time this incarnation refutes a suspicion.
	Epoch uint64 `json:"epoch,omitempty"`
	// AgeMillis is the time since the sender heard it.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// Suspicion says that a gateway did not answer in the given epoch. The gateway
// itself lifts the suspicion by beginning a later one.
type Suspicion struct {
	ID              string `json:"id"`
	IncarnationHash uint32 `json:"tag"`
	Epoch           uint64 `json:"epoch"`
}

// LoadReports are the load reports of endpoints, in columns, one row for each.
type LoadReports struct {
	EndpointIDs       []string `json:"i,omitempty"`
	IncarnationHashes []uint32 `json:"t,omitempty"`
	AgesMillis        []int64  `json:"a,omitempty"`
	Running           []int    `json:"r,omitempty"`
	Waiting           []int    `json:"w,omitempty"`
	// QueuedPrefill is in tokens; the rates are in tokens a second.
	QueuedPrefill []int `json:"q,omitempty"`
	PrefillRate   []int `json:"p,omitempty"`
	DecodeRate    []int `json:"d,omitempty"`
	MaxBatch      []int `json:"m,omitempty"`
	// KVPercent is the used share of the cache memory.
	KVPercent []int `json:"k,omitempty"`
}

// Endpoint is one endpoint of the region as the instance list named it.
type Endpoint struct {
	ID          string `json:"id"`
	Incarnation string `json:"inc"`
	Group       string `json:"group"`
	Region      string `json:"region"`
	DataCentre  string `json:"dc"`
	Address     string `json:"addr"`
	Leaving     bool   `json:"leaving,omitempty"`
	// ListedAgeMillis is the time since the list last named it.
	ListedAgeMillis int64 `json:"listed_ms"`
}

// IncarnationHash is the short hash of an incarnation id.
func IncarnationHash(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// RetiredIncarnation marks an incarnation of an endpoint or gateway that takes no new work.
type RetiredIncarnation struct {
	ID          string `json:"id"`
	Incarnation string `json:"inc"`
	AgeMillis   int64  `json:"age_ms"`
}

// Exchange is the soft state that two gateways tell each other. Its size is
// bounded; nothing in it is agreed on.
type Exchange struct {
	From GatewayStatus `json:"from"`
	// MembershipDigest sums up the gateways of the region that the sender knows; when it
	// differs from the receiver's, they send each other their Members.
	MembershipDigest uint64                     `json:"digest"`
	Gateways         []GatewayStatus            `json:"members,omitempty"`
	Suspicions       []Suspicion                `json:"suspects,omitempty"`
	LoadReports      LoadReports                `json:"loads"`
	Retired          []RetiredIncarnation       `json:"retired,omitempty"`
	Regions          []blackboard.RegionSummary `json:"regions,omitempty"`
	// Usage is the sender's own demand of the customers that use it most.
	Usage []admit.CustomerUsage `json:"usage,omitempty"`
}

// Sizes of an exchange on the wire, in bytes, that its pace is worked out from.
const (
	bytesFixed   = 800
	bytesLoad    = 45
	bytesRetired = 90
	bytesRegion  = 700
	bytesUsage   = 50
	// messagesPerInterval are an exchange's request and reply, sent and received.
	messagesPerInterval = 4
	// budgetPerSecond is what exchanges may take, sent and received together.
	budgetPerSecond = 4000
)

// NextInterval returns the time until the next exchange that keeps exchanges like this
// one within their budget of bytes, at least shortest.
func (e Exchange) NextInterval(shortest time.Duration) time.Duration {
	size := bytesFixed + bytesLoad*len(e.LoadReports.EndpointIDs) +
		bytesRetired*len(e.Retired) + bytesRegion*len(e.Regions) + bytesUsage*len(e.Usage)
	return max(shortest, time.Duration(size*messagesPerInterval)*time.Second/budgetPerSecond)
}

// SnapshotRequest asks for the configuration that a gateway holds.
type SnapshotRequest struct {
	MinRevision uint64 `json:"min"`
	// Have lists the digests of contents that the answer may leave out.
	Have []string `json:"have,omitempty"`
}

// Limits on one exchange.
const (
	// MaxLoads, MaxMembers, MaxSuspects, MaxRetired and MaxRegions bound the
	// rows of an exchange.
	MaxLoadReports = 16
	MaxGateways    = 200
	MaxSuspicions  = 16
	MaxRetired     = 16
	MaxRegions     = 1
	MaxUsage       = 8
	// MaxExchangeBytes bounds the body of one exchange.
	MaxExchangeBytes = 64 << 10
	// MaxEndpointsBytes bounds the list of a region's endpoints.
	MaxEndpointsBytes = 1 << 20
	// MaxSnapshotBytes bounds the snapshot of a configuration.
	MaxSnapshotBytes = 8 << 20
	// MaxForwardBytes bounds the body of a forwarded request.
	MaxForwardBytes = 4 << 20
)

// Forward describes a forwarded request. It travels in a signed header.
type Forward struct {
	RequestID string `json:"id"`
	Customer  string `json:"customer"`
	// Visited names the instances the request has been at, in order.
	Visited []string `json:"visited"`
	// RegionHopsLeft and OwnerMoves are the moves left to another region and to
	// the owner of a ticket.
	RegionHopsLeft int `json:"region_moves"`
	OwnerHopsLeft  int `json:"owner_moves"`
	// RemainingMillis is the time left until the caller's deadline.
	RemainingMillis int64 `json:"remaining_ms"`
	// Revision is the configuration the sender decided under.
	Revision uint64 `json:"rev"`
	Priority int    `json:"priority"`
	// PermittedRegions lists the regions that the sender's configuration permits.
	PermittedRegions []string `json:"permitted"`
}

// Remaining returns the time left until the caller's deadline.
func (f Forward) Remaining() time.Duration {
	return time.Duration(f.RemainingMillis) * time.Millisecond
}

// HasVisited says whether the request has been at the instance.
func (f Forward) HasVisited(id string) bool {
	for _, v := range f.Visited {
		if v == id {
			return true
		}
	}
	return false
}
