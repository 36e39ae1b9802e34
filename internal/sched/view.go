package sched

import (
	"sync/atomic"
	"time"
)

// Health is what this gateway's own calls say of an endpoint.
type Health int

// The states of health.
const (
	// Healthy endpoints take their full share.
	Healthy Health = iota
	// Recovering endpoints take ReturnShare of the requests that would pick them.
	Recovering
	// Ejected endpoints take none while the group has another usable one.
	Ejected
)

// Endpoint is an immutable snapshot of one endpoint of this region. A change
// makes a new one.
type Endpoint struct {
	ID      string
	Group   string
	Region  string
	Leaving bool
	Health  Health
	// RecoveryShare is the share of requests a returning endpoint takes, 0 to 1.
	RecoveryShare float64
	// ReportAt is when the load report below was taken; zero means none yet.
	ReportAt time.Time
	// Running, Waiting, QueuedPrefillTokens, PrefillRate, DecodeRate, MaxBatch
	// and KVUsed are the report's; see blackboard.LoadReport.
	Running             int
	Waiting             int
	QueuedPrefillTokens int
	PrefillRate         float64
	DecodeRate          float64
	MaxBatch            int
	KVUsed              float64
	// BacklogTokens is the prefill backlog at BacklogAt: the report's, with
	// what this gateway sent since, less what the engine can have done.
	BacklogTokens float64
	BacklogAt     time.Time
	// Preferred says that this gateway goes to the endpoint first.
	Preferred bool
	// SentSinceReport and SentTokens count the requests and the uncached prompt
	// tokens that this gateway sent after the report was taken.
	SentSinceReport       int
	SentTokensSinceReport int
	// CompletedSinceReport counts this gateway's requests that ended after the report.
	CompletedSinceReport int
	// InFlight counts this gateway's requests at the endpoint.
	InFlight int
	// TTFTBiasSeconds is the smoothed difference of observed and estimated time to
	// first token, in seconds.
	TTFTBiasSeconds float64
	// RTT is the round trip to the endpoint.
	RTT time.Duration
	// MaxConcurrent bounds the requests at the endpoint; 0 means no bound.
	MaxConcurrent int
	// Ordinal is the endpoint's place in the prefix index.
	Ordinal int
}

// EndpointRef holds the newest snapshot of one endpoint.
type EndpointRef struct{ p atomic.Pointer[Endpoint] }

// NewEndpointRef returns a slot that holds e.
func NewEndpointRef(e *Endpoint) *EndpointRef {
	s := &EndpointRef{}
	s.p.Store(e)
	return s
}

// Load returns the newest snapshot.
func (s *EndpointRef) Load() *Endpoint { return s.p.Load() }

// Store replaces the snapshot.
func (s *EndpointRef) Store(e *Endpoint) { s.p.Store(e) }

// GroupView is the endpoints of one group in this region.
type GroupView struct {
	Endpoints []*EndpointRef
	// CostPerMillionTokens is in the operators' currency.
	CostPerMillionTokens float64
}

// Link is the network to another region.
type Link struct {
	OneWayDelay time.Duration
	// BytesPerSecond is the capacity each way.
	BytesPerSecond float64
}

// RegionView is what this gateway knows of another region.
type RegionView struct {
	Region string
	// SummaryReceivedAt is when the summary arrived; zero means none.
	SummaryReceivedAt time.Time
	Groups            map[string]GroupSummary
	Link              Link
	// LinkBytesPerSecond is the rate this gateway sends over the link.
	LinkBytesPerSecond float64
	// ForwardedSinceSummary and SentTokens count what this gateway sent there since Heard.
	ForwardedSinceSummary       int
	ForwardedTokensSinceSummary int
	// Ordinal is the region's place in the prefix index: what this gateway sent
	// there.
	Ordinal int
	// RecentlyUsed says that requests have been sent there lately (hysteresis).
	RecentlyUsed bool
	// RecoveryShare bounds traffic after the region was unreachable, 0 to 1.
	RecoveryShare float64
}

// GroupSummary sums up a group in another region.
type GroupSummary struct {
	Endpoints            int
	QueuedPrefillTokens  int
	PrefillRate          float64
	FreeSlots            int
	Waiting              int
	Running              int
	CostPerMillionTokens float64
}

// RoutingPolicy are the operators' weights and bounds; see intent.Routing.
type RoutingPolicy struct {
	TailLatencyWeight float64
	ForwardWeight     float64
	CostWeight        float64
	ForwardMargin     time.Duration
	MaxForwardShare   float64
	MaxLinkShare      float64
	TTFTTarget        time.Duration
}

// PrefixIndex knows which endpoints hold which prefixes.
type PrefixIndex interface {
	// Match fills depth, indexed by Endpoint.Index, with the number of leading
	// blocks of prefix that each endpoint is believed to hold.
	Match(prefix []uint64, depth []int)
}

// View is what a decision sees. It holds nothing about customers.
type View struct {
	Now     time.Time
	Region  string
	Groups  map[string]*GroupView
	Regions map[string]*RegionView
	Policy  RoutingPolicy
	// PrefixIndex may be nil.
	PrefixIndex PrefixIndex
	// OrdinalCount is the number of places in the prefix index.
	OrdinalCount int
	// Gateways is the number of live gateways that share the endpoints.
	Gateways int
	// ForwardShare is the smoothed share of requests this gateway sent away.
	ForwardShare float64
}
