package datastore

// Result says how a request at an endpoint ended.
type Result int

// The results of requests.
const (
	// Success is a whole answer.
	Success Result = iota
	// DialFailed means that no connection could be made.
	DialFailed
	// Unresponsive means that a connection went silent past its limit.
	Unresponsive
	// ErrorStatus is an answer of failure by the endpoint.
	ErrorStatus
	// Truncated is an answer without its end mark.
	Truncated
	// Cancelled is an end by this side; it proves nothing about the endpoint.
	Cancelled
)

// failed says that the result counts against the endpoint.
func (r Result) failed() bool { return r != Success && r != Cancelled }

// CacheOp is what a cache event says of a block.
type CacheOp string

// The operations of cache events.
const (
	Stored  CacheOp = "stored"
	Removed CacheOp = "removed"
	Cleared CacheOp = "cleared"
)

// CacheEvent is one event of an endpoint's prefix cache.
type CacheEvent struct {
	Seq   uint64  `json:"seq"`
	Op    CacheOp `json:"op"`
	Block uint64  `json:"block"`
}
