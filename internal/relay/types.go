package relay

import (
	"context"
	"net/http"
	"time"
)

// Headers that go with each request to an endpoint, and the one that its
// answer must echo.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttemptID = "X-Attempt-Id"
	HeaderPriority  = "X-Priority"
)

// ChatPath is the path of chat completions at engines and gateways.
const ChatPath = "/v1/chat/completions"

// CancelPath is followed by an attempt id to cancel that attempt's work.
const CancelPath = "/v1/cancel/"

// Target is an endpoint, or a gateway of another region, that an attempt is
// sent to.
type Target struct {
	ID     string
	Group  string
	Region string
	// Address is host:port.
	Address string
	// Header holds further headers for this target, such as the marks of a
	// forwarded request. It is not modified.
	Header http.Header
	// Peer is set when the target is another gateway.
	Peer *PeerRoute
}

// PeerRoute says how requests reach another gateway.
type PeerRoute struct {
	// PathPrefix precedes the path of each request.
	PathPrefix string
	// HeaderTimeout replaces Settings.HeaderTimeout, since a gateway answers
	// only once its own endpoint has begun to.
	HeaderTimeout time.Duration
	// Prepare is called last, before the request is sent, to sign it.
	Prepare func(req *http.Request, body []byte)
}

// ChatRequest is one chat completion to carry.
type ChatRequest struct {
	RequestID string
	Customer  string
	Model     string
	// Body is the caller's JSON as ParseChat accepted it.
	Body []byte
	// Priority goes to the engine, 0 (lowest) to 9.
	Priority int
	// Resume is set when a gateway of another region asks for the rest of an
	// answer whose beginning has already reached the caller.
	Resume *Resume
}

// Resume asks for an answer from its token number NextSeq on. Text is what
// was emitted before.
type Resume struct {
	NextSeq uint64 `json:"next_seq"`
	Text    string `json:"text"`
}

// Picker chooses where the next attempt goes. tried holds the ids of targets
// that earlier attempts were blamed on; it must not be kept or modified. An
// error ends the request; a *failure.Refusal is passed on to the caller.
type Picker func(ctx context.Context, tried map[string]bool) (Target, error)

// RetryBudget bounds the attempts beyond the first ones.
type RetryBudget interface {
	// TrySpend returns whether one more retry may be made, and takes it from the
	// budget.
	TrySpend() bool
}

// Attempt identifies one try of a request at one target.
type Attempt struct {
	ID        string
	RequestID string
	Customer  string
	Target    Target
	// Number counts the attempts of the request from 1.
	Number int
	// NextSeq is the first token asked for; above 0 for a resumed answer.
	NextSeq uint64
	// StartedAt is when the attempt began.
	StartedAt time.Time
}

// Observer hears of each attempt, so that scheduling can learn from it. Its
// methods are called on the request's own goroutine and must not block.
type Observer interface {
	AttemptStarted(a Attempt)
	FirstTokenReceived(a Attempt, after time.Duration)
	AttemptEnded(a Attempt, r Result)
}

// ResultKind says how an attempt ended.
type ResultKind string

// The kinds of results.
const (
	ResultOK ResultKind = "ok"
	// ResultDialFailed means that no connection was made; nothing was sent.
	ResultDialFailed ResultKind = "dial_failed"
	// ResultConnSilent means that an existing connection went silent. A new
	// one is tried before the endpoint is blamed.
	ResultConnSilent ResultKind = "connection_silent"
	// ResultConnLost means that an existing connection broke before the
	// answer's header. A new one is tried before the endpoint is blamed.
	ResultConnLost ResultKind = "connection_lost"
	// ResultEndpointSilent means that a new connection was silent too.
	ResultEndpointSilent ResultKind = "silent"
	// ResultBusy means that the endpoint refused the work for its load.
	ResultBusy ResultKind = "busy"
	// ResultRejected means that the endpoint found the request itself faulty.
	ResultRejected ResultKind = "rejected"
	// ResultBadStatus is any other status that is not a success.
	ResultBadStatus ResultKind = "bad_status"
	// ResultMismatched means that a part of another attempt's answer came.
	ResultMismatched ResultKind = "crossed"
	// ResultMissingChunk means that a chunk of the stream was left out.
	ResultMissingChunk ResultKind = "missing_chunk"
	// ResultMalformed means that the answer broke the protocol.
	ResultMalformed ResultKind = "malformed"
	// ResultTruncated means that the answer ended before its end mark.
	ResultTruncated ResultKind = "truncated"
	// ResultCallerGone means that the caller went away or stopped reading.
	ResultCallerGone ResultKind = "caller_gone"
	// ResultDeadlineExceeded means that the request's deadline passed.
	ResultDeadlineExceeded ResultKind = "deadline"
)

// closesIdleConns returns whether connections to the endpoint may be out of step or
// dead, so that idle ones are closed.
func (k ResultKind) closesIdleConns() bool {
	switch k {
	case ResultOK, ResultDialFailed, ResultBusy, ResultRejected, ResultCallerGone, ResultDeadlineExceeded:
		return false
	default:
		return true
	}
}

// Result is how an attempt ended.
type Result struct {
	Kind ResultKind
	// Status is the HTTP status of the answer, 0 if there was none.
	Status int
	// Tokens is the number of chunks that this attempt delivered.
	Tokens uint64
	// Duration is from the attempt's start to its end.
	Duration time.Duration
	// Err is the cause of a failure.
	Err error
}

// IsEndpointFault returns whether the result speaks against the endpoint.
func (r Result) IsEndpointFault() bool {
	switch r.Kind {
	case ResultOK, ResultConnSilent, ResultConnLost, ResultRejected, ResultCallerGone, ResultDeadlineExceeded:
		return false
	default:
		return true
	}
}

// Summary sums up a request after its last attempt.
type Summary struct {
	Attempts int
	// ResumedAttempts counts the attempts that went on with an answer already begun.
	ResumedAttempts int
	// ResponseStarted says that the caller has been sent a header. If so, Chat has
	// also sent the end of the answer or the error event, and nothing more
	// may be written.
	ResponseStarted bool
	// Tokens is the number of chunks delivered.
	Tokens uint64
	// TTFT is the time from the start of Chat to the first token.
	TTFT time.Duration
	// Target is where the last attempt went.
	Target Target
	// Usage is what the engine said of the whole answer's size.
	Usage Usage
}

// Usage is the size of a request and its answer in tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
