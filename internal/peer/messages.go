// Package peer implements the protocol between gateways: JSON over HTTP, with
// each request signed with a secret that all gateways share.
package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/quarantine"
)

// Paths of the peer listener.
const (
	PathExchange = "/peer/v1/exchange"
	PathSnapshot = "/peer/v1/snapshot"
	// PathEndpoints returns the endpoints of the region.
	PathEndpoints = "/peer/v1/endpoints"
	// PathAnnounce receives announcements of large prefills, which arrive before
	// load reports show them.
	PathAnnounce = "/peer/v1/announce"
	PathHandover = "/peer/v1/handover"
	// PathForward is the prefix before the path of a forwarded request.
	PathForward = "/peer/v1/forward"
)

// GatewayStatus is the status of a gateway, sent by itself or relayed by a peer.
type GatewayStatus struct {
	ID            string `json:"id" lenient:"required"`
	Incarnation   string `json:"inc" lenient:"required"`
	Region        string `json:"region" lenient:"required"`
	Address       string `json:"addr" lenient:"required"`
	CallerAddress string `json:"caller"`
	Leaving       bool   `json:"leaving,omitempty"`
	Ready         bool   `json:"ready,omitempty"`
	Revision      uint64 `json:"rev"`
	// HeartbeatSeq grows each time this incarnation sends its status.
	HeartbeatSeq uint64 `json:"beat"`
	// Epoch grows each time this incarnation refutes a suspicion.
	Epoch uint64 `json:"epoch,omitempty"`
	// AgeMillis is the time since the sender last saw the gateway; zero in a
	// gateway's own status.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// Suspicion reports that a gateway did not respond during the given epoch. The
// gateway itself refutes it by starting a later epoch.
type Suspicion struct {
	ID              string `json:"id"`
	IncarnationHash uint32 `json:"tag"`
	Epoch           uint64 `json:"epoch"`
}

// LoadReports holds the load reports of endpoints column by column: index i of
// each slice belongs to the same endpoint.
type LoadReports struct {
	EndpointIDs       []string `json:"i,omitempty"`
	IncarnationHashes []uint32 `json:"t,omitempty"`
	AgesMillis        []int64  `json:"a,omitempty"`
	Running           []int    `json:"r,omitempty"`
	Waiting           []int    `json:"w,omitempty"`
	// QueuedPrefill is in tokens; the rates are in tokens per second.
	QueuedPrefill []int `json:"q,omitempty"`
	PrefillRate   []int `json:"p,omitempty"`
	DecodeRate    []int `json:"d,omitempty"`
	MaxBatch      []int `json:"m,omitempty"`
	// KVPercent is the used share of the KV cache.
	KVPercent []int `json:"k,omitempty"`
}

// Endpoint is an endpoint of the region as the instance list described it.
type Endpoint struct {
	ID          string `json:"id"`
	Incarnation string `json:"inc"`
	Group       string `json:"group"`
	Region      string `json:"region"`
	DataCentre  string `json:"dc"`
	Address     string `json:"addr"`
	Leaving     bool   `json:"leaving,omitempty"`
	// ListedAgeMillis is the time since the list last contained it.
	ListedAgeMillis int64 `json:"listed_ms"`
}

// IncarnationHash returns the short hash that stands for an incarnation id in
// suspicions and load reports.
func IncarnationHash(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// RetiredIncarnation reports that an incarnation of an endpoint or gateway gets
// no new work.
type RetiredIncarnation struct {
	ID          string `json:"id"`
	Incarnation string `json:"inc"`
	AgeMillis   int64  `json:"age_ms"`
}

// Exchange is the gossip message with which two gateways synchronize their soft
// state. Its size is limited, and none of its contents are subject to consensus.
type Exchange struct {
	From GatewayStatus `json:"from" lenient:"parts"`
	// MembershipDigest is a hash of the region's gateways that the sender knows.
	// If it differs from the receiver's, they send each other their Gateways.
	MembershipDigest uint64                     `json:"digest"`
	Gateways         []GatewayStatus            `json:"members,omitempty"`
	Suspicions       []Suspicion                `json:"suspects,omitempty"`
	LoadReports      LoadReports                `json:"loads" lenient:"columns"`
	Retired          []RetiredIncarnation       `json:"retired,omitempty"`
	Regions          []blackboard.RegionSummary `json:"regions,omitempty" lenient:"parts"`
	// Usage is the usage, at the sender, of the customers with the most of it.
	Usage []admit.CustomerUsage `json:"usage,omitempty"`
	// RequestQuarantine is what the sender knows of requests that crash endpoints.
	RequestQuarantine *quarantine.Digest `json:"request_quarantine,omitempty" lenient:"parts"`
	// Unreadable tells the receiver which parts of its last exchange the sender can't read.
	Unreadable *lenient.Report `json:"unreadable,omitempty"`
	// Problems are set by the receiver: the parts of this exchange that can't be read.
	Problems []lenient.Problem `json:"-"`
}

// decodeExchange decodes what can be read of an exchange.
func decodeExchange(body []byte) Exchange {
	var e Exchange
	problems := lenient.Decode(body, &e)
	e.Problems = problems
	return e
}

// IsFromComplete reports whether all of From could be read.
func (e Exchange) IsFromComplete() bool {
	return e.From.ID != "" && e.From.Incarnation != "" && !slices.ContainsFunc(e.Problems, func(p lenient.Problem) bool { return strings.HasPrefix(p.Path, "from") })
}

// Estimated sizes of the parts of an encoded exchange, in bytes, and the traffic
// budget. NextInterval derives the interval between exchanges from them.
const (
	fixedBytes         = 800
	loadReportBytes    = 45
	retiredBytes       = 90
	regionSummaryBytes = 700
	customerUsageBytes = 50
	// messagesPerInterval counts the request and the response of the exchange
	// that a gateway starts and of the one that it receives in each interval.
	messagesPerInterval = 4
	// budgetBytesPerSecond limits exchange traffic, sent and received together.
	budgetBytesPerSecond = 4000
)

// NextInterval returns the time to wait before the next exchange so that
// exchanges of this size stay within budgetBytesPerSecond. It is at least
// minInterval.
func (e Exchange) NextInterval(minInterval time.Duration) time.Duration {
	size := fixedBytes + loadReportBytes*len(e.LoadReports.EndpointIDs) +
		retiredBytes*len(e.Retired) + regionSummaryBytes*len(e.Regions) + customerUsageBytes*len(e.Usage)
	return max(minInterval, time.Duration(size*messagesPerInterval)*time.Second/budgetBytesPerSecond)
}

// SnapshotRequest requests the configuration of a gateway if its revision is at
// least MinRevision.
type SnapshotRequest struct {
	MinRevision uint64 `json:"min"`
	// Have lists the digests of contents that the response may leave out.
	Have []string `json:"have,omitempty"`
}

// Limits on messages between gateways.
const (
	// MaxLoadReports, MaxGateways, MaxSuspicions, MaxRetired, MaxRegions and
	// MaxUsage limit the rows of an exchange.
	MaxLoadReports = 16
	MaxGateways    = 200
	MaxSuspicions  = 16
	MaxRetired     = 16
	MaxRegions     = 1
	MaxUsage       = 8
	// MaxExchangeBytes limits the body of an exchange.
	MaxExchangeBytes = 64 << 10
	// MaxEndpointsBytes limits the list of a region's endpoints.
	MaxEndpointsBytes = 1 << 20
	// MaxSnapshotBytes limits a configuration snapshot.
	MaxSnapshotBytes = 8 << 20
	// MaxForwardBytes limits the body of a forwarded request.
	MaxForwardBytes = 4 << 20
)

// Forward is the metadata of a forwarded request. It is sent in HeaderForward,
// which the signature covers.
type Forward struct {
	RequestID string `json:"id"`
	Customer  string `json:"customer"`
	// Visited lists the ids of the gateways that the request has passed, in order.
	Visited []string `json:"visited"`
	// RegionHopsLeft and OwnerHopsLeft are how often the request may still be
	// forwarded to another region and to the owner of a ticket.
	RegionHopsLeft int `json:"region_moves"`
	OwnerHopsLeft  int `json:"owner_moves"`
	// RemainingMillis is the time left until the caller's deadline.
	RemainingMillis int64 `json:"remaining_ms"`
	// Revision is the configuration revision that the sender decided with.
	Revision uint64 `json:"rev"`
	Priority int    `json:"priority"`
	// PermittedRegions lists the regions that the sender's configuration permits
	// for the request.
	PermittedRegions []string `json:"permitted"`
}

// Remaining returns the time left until the caller's deadline.
func (f Forward) Remaining() time.Duration {
	return time.Duration(f.RemainingMillis) * time.Millisecond
}

// HasVisited reports whether the request has passed the gateway id.
func (f Forward) HasVisited(id string) bool {
	for _, v := range f.Visited {
		if v == id {
			return true
		}
	}
	return false
}
