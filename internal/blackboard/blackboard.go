package blackboard

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/intent"
)

// IntentState is the configuration in force at this gateway. Revision 0 means
// that there is none yet.
type IntentState struct {
	Revision uint64
	// Digest is the hex SHA-256 of the head that names the revision's files.
	Digest string
	// Snapshot is the encoded revision that peers send each other.
	Snapshot     []byte
	Intent       *intent.Intent
	InForceSince time.Time
}

// LoadReport is an endpoint's report of its load. It lags behind the actual load.
type LoadReport struct {
	// TakenAt is when the report was taken, by this gateway's clock.
	TakenAt time.Time `json:"-"`
	// AgeMillis is the report's age when it was sent.
	AgeMillis int64 `json:"age_ms"`
	// Running and Waiting are the numbers of requests in the batch and in the
	// queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedPrefillTokens is the number of prompt tokens that wait for prefill.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// PrefillRate and DecodeRate are in tokens per second; DecodeRate is that of
	// a single stream.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// MaxBatch is the number of requests that the endpoint runs at once.
	MaxBatch int `json:"max_batch"`
	// KVUsed is the used share of the KV cache, from 0 to 1.
	KVUsed  float64 `json:"kv_used"`
	Leaving bool    `json:"leaving"`
}

// EndpointState is what this gateway knows about an endpoint of its own region.
type EndpointState struct {
	ID          string
	Incarnation string
	Group       string
	Region      string
	DataCentre  string
	Address     string
	// Leaving is set when any source first reports the endpoint as leaving, and
	// cleared only by another incarnation.
	Leaving bool
	// LeavingSince is when the endpoint was first reported as leaving.
	LeavingSince time.Time
	// LastListed is when the instance list last contained the endpoint.
	LastListed time.Time
	Report     LoadReport
	// HasReport says that Report has been set; ReportIsDirect says that it came
	// from the endpoint itself and not through a peer.
	HasReport      bool
	ReportIsDirect bool
}

// PeerState is what this gateway knows about another gateway.
type PeerState struct {
	ID          string
	Incarnation string
	Region      string
	// Address and CallerAddress are the host:port of the peer listener and of the
	// caller listener.
	Address       string
	CallerAddress string
	Leaving       bool
	// Ready says that the peer is in the state Serving.
	Ready bool
	// Revision is the newest configuration revision that the peer is known to
	// hold.
	Revision uint64
	// LastSeen is when the peer was last assumed to be alive: when its latest
	// status was received, or when it was last found not to be suspected.
	LastSeen time.Time
	// Suspected says that the peer did not respond during its current epoch and
	// that no message has come from itself since.
	Suspected bool
	// HeartbeatSeq is the peer's own counter, which orders its status messages.
	// Zero means that none has been received.
	HeartbeatSeq uint64
	// Epoch grows each time the peer refutes a suspicion.
	Epoch uint64
}

// RegionSummary is the summary of its state that a region sends to the others.
type RegionSummary struct {
	Region string `json:"region" lenient:"required"`
	// From is the gateway that built the summary, as id/incarnation. Seq orders
	// the summaries of one From.
	From string `json:"from" lenient:"required"`
	Seq  uint64 `json:"seq" lenient:"required"`
	// AsOf is when the summary was built, by this gateway's clock: the time of
	// receipt less the age at that time.
	AsOf time.Time `json:"-"`
	// AgeMillis is the summary's age when it was sent.
	AgeMillis int64                   `json:"age_ms,omitempty" lenient:"required"`
	Groups    map[string]GroupSummary `json:"groups"`
	// Gateways lists some of the gateways that accept callers' and forwarded
	// requests.
	Gateways []GatewayAddress `json:"gateways"`
	Revision uint64           `json:"revision"`
	// GatewaysByRevision is the number of the region's gateways that hold each
	// configuration revision.
	GatewaysByRevision map[uint64]int `json:"holding"`
}

// GatewayAddress holds the host:port of a gateway's peer and caller listeners.
type GatewayAddress struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
}

// GroupSummary is the total load of a group of endpoints in one region.
type GroupSummary struct {
	Endpoints           int     `json:"endpoints"`
	Running             int     `json:"running"`
	Waiting             int     `json:"waiting"`
	QueuedPrefillTokens int     `json:"queued_prefill_tokens"`
	PrefillRate         float64 `json:"prefill_rate"`
	FreeSlots           int     `json:"free_slots"`
}

// Lifecycle is the lifecycle state of a gateway.
type Lifecycle string

// Lifecycle states, in the order in which a gateway passes through them.
const (
	Starting Lifecycle = "starting"
	Serving  Lifecycle = "serving"
	Draining Lifecycle = "draining"
	Stopped  Lifecycle = "stopped"
)

// IsEnding reports whether the gateway takes no new requests for good.
func (l Lifecycle) IsEnding() bool { return l == Draining || l == Stopped }

// Self identifies this gateway. It does not change while the process runs.
type Self struct {
	ID            string
	Incarnation   string
	Region        string
	DataCentre    string
	PeerAddress   string
	CallerAddress string
}

// Board is the blackboard of a gateway: the state that its controllers write and
// its request path reads.
type Board struct {
	Self      Self
	Lifecycle *Value[Lifecycle]
	Intent    *Value[IntentState]
	// EndpointsDiscovered turns true when the region's endpoints are first known,
	// from the instance list or from a peer. SchedulerReady turns true when the
	// scheduler has received them.
	EndpointsDiscovered *Value[bool]
	SchedulerReady      *Value[bool]
	Endpoints           *ShardedMap[EndpointState]
	Peers               *ShardedMap[PeerState]
	Regions             *ShardedMap[RegionSummary]
	// Retired holds the incarnations of endpoints and peers that are leaving or
	// have been replaced, by RetiredKey. Sources that still report one of them as
	// running are ignored.
	Retired *ShardedMap[RetiredIncarnation]
}

// RetiredIncarnation records that an incarnation gets no new work.
type RetiredIncarnation struct {
	ID          string
	Incarnation string
	RetiredAt   time.Time
}

// RetiredKey returns the key of an incarnation in Board.Retired.
func RetiredKey(id, incarnation string) string { return id + "/" + incarnation }

// New returns an empty blackboard for the given gateway.
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
