package blackboard

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
)

// IntentState is the revision in force at this gateway. Revision 0 means none.
type IntentState struct {
	Revision uint64
	// Digest is the hex SHA-256 of the head that names the revision's files.
	Digest string
	// Snapshot is the revision in the form that peers exchange.
	Snapshot     []byte
	Intent       *intent.Intent
	InForceSince time.Time
}

// LoadReport is what an endpoint says of its load. It lags.
type LoadReport struct {
	// TakenAt is when the report was taken, by this gateway's clock.
	TakenAt time.Time `json:"-"`
	// AgeMillis is the report's age when it was sent on to a peer.
	AgeMillis int64 `json:"age_ms"`
	// Running and Waiting count the requests in the batch and in the queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedPrefillTokens is the prompt tokens that wait for prefill.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// PrefillRate and DecodeRate are in tokens a second; DecodeRate is for
	// one stream.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// MaxBatch is the number of requests the endpoint runs at once.
	MaxBatch int `json:"max_batch"`
	// KVUsed is the used share of the cache memory, 0 to 1.
	KVUsed  float64 `json:"kv_used"`
	Leaving bool    `json:"leaving"`
}

// EndpointState is what this gateway knows of one endpoint of its own region.
type EndpointState struct {
	ID          string
	Incarnation string
	Group       string
	Region      string
	DataCentre  string
	Address     string
	// Leaving is set by the first sign of leaving, from whatever source, and
	// lifted only by a newer incarnation.
	Leaving bool
	// LeavingSince is when this gateway saw the first sign.
	LeavingSince time.Time
	// LastListed is when the instance list last named the endpoint.
	LastListed time.Time
	Report     LoadReport
	// HasReport says that Report has been filled at least once, Direct that it
	// came from the endpoint itself and not from a peer.
	HasReport      bool
	ReportIsDirect bool
}

// PeerState is what this gateway knows of another gateway.
type PeerState struct {
	ID          string
	Incarnation string
	Region      string
	// Address is host:port of the peer listener; CallerAddress that of the
	// caller listener.
	Address       string
	CallerAddress string
	Leaving       bool
	// Ready says that the peer holds an intent and serves.
	Ready bool
	// Revision is the newest revision the peer is known to hold.
	Revision uint64
	// LastSeen is when this gateway last had reason to believe that the peer is
	// alive: a sign of life, or the absence of a suspicion.
	LastSeen time.Time
	// Suspected says that the peer did not answer in its present epoch and has
	// not been heard directly since.
	Suspected bool
	// HeartbeatSeq is the peer's own counter, which orders signs of life.
	HeartbeatSeq uint64
	// Epoch grows each time the peer refutes a suspicion.
	Epoch uint64
}

// RegionSummary is what one region tells the others about itself.
type RegionSummary struct {
	Region string `json:"region"`
	// From and Seq order the summaries of one sender.
	From string `json:"from"`
	Seq  uint64 `json:"seq"`
	// AsOf is when this gateway received it, less its age at that time.
	AsOf time.Time `json:"-"`
	// AgeMillis is the summary's age when it was sent on.
	AgeMillis int64                   `json:"age_ms,omitempty"`
	Groups    map[string]GroupSummary `json:"groups"`
	// Gateways lists some gateways that take callers' and forwarded requests.
	Gateways []GatewayAddress `json:"gateways"`
	Revision uint64           `json:"revision"`
	// GatewaysByRevision counts the region's gateways per revision held.
	GatewaysByRevision map[uint64]int `json:"holding"`
}

// GatewayAddress is where a gateway is reached, as host:port.
type GatewayAddress struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
}

// GroupSummary sums up the load of a group of endpoints in one region.
type GroupSummary struct {
	Endpoints           int     `json:"endpoints"`
	Running             int     `json:"running"`
	Waiting             int     `json:"waiting"`
	QueuedPrefillTokens int     `json:"queued_prefill_tokens"`
	PrefillRate         float64 `json:"prefill_rate"`
	FreeSlots           int     `json:"free_slots"`
}

// Lifecycle is the state of this gateway.
type Lifecycle string

// The lifecycle states in their order.
const (
	Starting Lifecycle = "starting"
	Serving  Lifecycle = "serving"
	Draining Lifecycle = "draining"
	Stopped  Lifecycle = "stopped"
)

// Self identifies this gateway; it does not change.
type Self struct {
	ID            string
	Incarnation   string
	Region        string
	DataCentre    string
	PeerAddress   string
	CallerAddress string
}

// Board holds every section.
type Board struct {
	Self      Self
	Lifecycle *Value[Lifecycle]
	Intent    *Value[IntentState]
	// EndpointsDiscovered turns true when the region's endpoints have been learned for
	// the first time, from the instance list or from a peer, and Scheduled
	// when the scheduler knows them.
	EndpointsDiscovered *Value[bool]
	SchedulerReady      *Value[bool]
	Endpoints           *ShardedMap[EndpointState]
	Peers               *ShardedMap[PeerState]
	Regions             *ShardedMap[RegionSummary]
	// Retired holds the incarnations of endpoints and peers that have left or
	// have been replaced, by RetiredKey. A live sign of one is ignored.
	Retired *ShardedMap[RetiredIncarnation]
}

// RetiredIncarnation is a mark that an incarnation takes no new work.
type RetiredIncarnation struct {
	ID          string
	Incarnation string
	RetiredAt   time.Time
}

// RetiredKey is the key of an incarnation in Board.Retired.
func RetiredKey(id, incarnation string) string { return id + "/" + incarnation }

// New returns an empty board for the given gateway.
func New(self Self) *Board {
	return &Board{
		Self:                self,
		Lifecycle:           NewValue(Starting),
		Intent:              NewValue(IntentState{}),
		EndpointsDiscovered: NewValue(false),
		SchedulerReady:      NewValue(false),
		Endpoints:           NewShardedMap[EndpointState](),
		Peers:               NewShardedMap[PeerState](),
		Regions:             NewShardedMap[RegionSummary](),
		Retired:             NewShardedMap[RetiredIncarnation](),
	}
}
