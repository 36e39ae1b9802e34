package sched

import (
	"sync/atomic"
	"time"
)

// Health is the health of an endpoint as judged by this gateway's own requests.
type Health int

// Health states.
const (
	// Healthy endpoints take requests without restriction.
	Healthy Health = iota
	// Recovering endpoints are considered for a RecoveryShare of the requests.
	Recovering
	// Ejected endpoints take no requests while another endpoint is usable.
	Ejected
)

// Endpoint is an immutable snapshot of the state of one endpoint of this region.
type Endpoint struct {
	ID      string
	Group   string
	Region  string
	Leaving bool
	Health  Health
	// RecoveryShare is the share of requests for which a recovering endpoint is
	// considered, from 0 to 1.
	RecoveryShare float64
	// ReportAt is the time of the last load report; zero means none yet.
	ReportAt time.Time
	// Running, Waiting, QueuedPrefillTokens, PrefillRate, DecodeRate, MaxBatch
	// and KVUsed are copied from the load report; see blackboard.LoadReport.
	Running             int
	Waiting             int
	QueuedPrefillTokens int
	PrefillRate         float64
	DecodeRate          float64
	MaxBatch            int
	KVUsed              float64
	// BacklogTokens is the estimated prefill backlog at BacklogAt: the reported
	// backlog plus the uncached tokens sent since the report, less what the
	// engine can have prefilled in that time.
	BacklogTokens float64
	BacklogAt     time.Time
	// Preferred reports whether this gateway prefers the endpoint; see
	// Options.PreferredMargin.
	Preferred bool
	// SentSinceReport and SentTokensSinceReport count the requests sent after the
	// report, and their uncached prompt tokens: those of this gateway and those
	// that other gateways announced.
	SentSinceReport       int
	SentTokensSinceReport int
	// CompletedSinceReport counts this gateway's requests that ended after the
	// report.
	CompletedSinceReport int
	// InFlight counts this gateway's requests in progress at the endpoint.
	InFlight int
	// TTFTBiasSeconds is the smoothed difference between the observed and the
	// estimated time to first token.
	TTFTBiasSeconds float64
	// RTT is the round-trip time to the endpoint.
	RTT time.Duration
	// MaxConcurrent limits the requests at the endpoint; 0 means no limit.
	MaxConcurrent int
	// Ordinal identifies the endpoint in the prefix index. The ordinal of a removed
	// endpoint is reused.
	Ordinal int
}

// EndpointRef refers to the latest snapshot of an endpoint. It is safe for
// concurrent use.
type EndpointRef struct{ snapshot atomic.Pointer[Endpoint] }

// NewEndpointRef returns a reference to the snapshot e.
func NewEndpointRef(e *Endpoint) *EndpointRef {
	r := &EndpointRef{}
	r.snapshot.Store(e)
	return r
}

// Load returns the latest snapshot.
func (r *EndpointRef) Load() *Endpoint { return r.snapshot.Load() }

// Store replaces the snapshot. The caller must not change e afterwards.
func (r *EndpointRef) Store(e *Endpoint) { r.snapshot.Store(e) }

// GroupView is an endpoint group of this region.
type GroupView struct {
	Endpoints []*EndpointRef
	// CostPerMillionTokens is in the operators' currency.
	CostPerMillionTokens float64
}

// Link describes the network link to another region.
type Link struct {
	OneWayDelay time.Duration
	// BytesPerSecond is the capacity in each direction; 0 means unknown.
	BytesPerSecond float64
}

// RegionView is this gateway's view of another region.
type RegionView struct {
	Region string
	// SummaryReceivedAt is when the last summary arrived; zero means none yet.
	SummaryReceivedAt time.Time
	Groups            map[string]GroupSummary
	Link              Link
	// LinkBytesPerSecond is the rate of this gateway's traffic on the link.
	LinkBytesPerSecond float64
	// ForwardedSinceSummary and ForwardedTokensSinceSummary count the requests and
	// prompt tokens that this gateway has forwarded there since
	// SummaryReceivedAt.
	ForwardedSinceSummary       int
	ForwardedTokensSinceSummary int
	// Ordinal identifies the region in the prefix index, which holds the prefixes
	// that this gateway has forwarded there.
	Ordinal int
	// RecentlyUsed reports whether this gateway has forwarded requests there
	// recently; see Options.Hysteresis.
	RecentlyUsed bool
	// RecoveryShare limits the share of requests for which the region is considered
	// after it was unreachable, from 0 to 1.
	RecoveryShare float64
}

// GroupSummary is the total load of an endpoint group in another region.
type GroupSummary struct {
	Endpoints            int
	QueuedPrefillTokens  int
	PrefillRate          float64
	FreeSlots            int
	Waiting              int
	Running              int
	CostPerMillionTokens float64
}

// RoutingPolicy holds the operators' weights and limits; see intent.Routing.
type RoutingPolicy struct {
	TailLatencyWeight float64
	ForwardWeight     float64
	CostWeight        float64
	ForwardMargin     time.Duration
	MaxForwardShare   float64
	MaxLinkShare      float64
	TTFTTarget        time.Duration
}

// PrefixIndex records which endpoints and regions have which prompt blocks cached.
type PrefixIndex interface {
	// Match sets matchedBlocks, indexed by ordinal, to the number of leading blocks
	// of prefix that are believed to be cached there. Entries of ordinals without
	// a match are left unchanged.
	Match(prefix []uint64, matchedBlocks []int)
}

// View is the state that a decision is based on. It holds nothing about
// customers.
type View struct {
	Now     time.Time
	Region  string
	Groups  map[string]*GroupView
	Regions map[string]*RegionView
	Policy  RoutingPolicy
	// PrefixIndex may be nil, which means that nothing is known about caches.
	PrefixIndex PrefixIndex
	// OrdinalCount is the number of ordinals of the prefix index, including those
	// that are free for reuse.
	OrdinalCount int
	// Gateways is the number of live gateways that share the endpoints.
	Gateways int
	// ForwardShare is the smoothed share of requests that this gateway forwarded to
	// other regions.
	ForwardShare float64
}
