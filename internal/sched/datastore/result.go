package datastore

// Result is the way in which a request at an endpoint ended.
type Result int

// Results of requests.
const (
	// Success means that the response was complete.
	Success Result = iota
	// DialFailed means that no connection could be established.
	DialFailed
	// Unresponsive means that nothing arrived on the connection within the time
	// limit.
	Unresponsive
	// ErrorStatus means that the endpoint answered with an error.
	ErrorStatus
	// Truncated means that the response ended without its end marker.
	Truncated
	// Cancelled means that the gateway or its caller ended the request, which
	// says nothing about the endpoint.
	Cancelled
)

// isFailure reports whether the result counts as a failure of the endpoint.
func (r Result) isFailure() bool { return r != Success && r != Cancelled }

// CacheOp is the operation of a cache event.
type CacheOp string

// Operations of cache events. Cleared applies to all blocks of the endpoint.
const (
	Stored  CacheOp = "stored"
	Removed CacheOp = "removed"
	Cleared CacheOp = "cleared"
)

// CacheEvent is a change of an endpoint's prefix cache. Seq increases with each
// event of an endpoint.
type CacheEvent struct {
	Seq   uint64  `json:"seq"`
	Op    CacheOp `json:"op"`
	Block uint64  `json:"block"`
}
