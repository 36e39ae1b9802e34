package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/quarantine"
)

// Headers of each request to an endpoint. The response must carry the
// HeaderAttemptID of its request.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttemptID = "X-Attempt-Id"
	HeaderPriority  = "X-Priority"
)

// headerOutcome marks a response of a gateway's listener to a request that it has not read
// and that has no HeaderAttemptID for that reason.
const headerOutcome = "X-Gateway-Outcome"

// NotRunHeader returns the header of such responses. The sender tries elsewhere.
func NotRunHeader() http.Header { return http.Header{headerOutcome: {string(failure.NotRun)}} }

// ChatPath is the path of chat completions at engines and gateways.
const ChatPath = "/v1/chat/completions"

// CancelPath is the path, up to the attempt id, of requests to endpoints that
// cancel an attempt's work.
const CancelPath = "/v1/cancel/"

// Target is where an attempt is sent: an endpoint or a gateway of another
// region.
type Target struct {
	ID string
	// Incarnation is that of an endpoint; empty for a gateway.
	Incarnation string
	Group       string
	Region      string
	// Address is host:port.
	Address string
	// Header holds additional headers for this target, such as those of a
	// forwarded request. It is not modified.
	Header http.Header
	// Peer is set if the target is another gateway, nil for an endpoint.
	Peer *PeerRoute
}

// PeerRoute says how to send requests to another gateway.
type PeerRoute struct {
	// PathPrefix precedes the path of each request.
	PathPrefix string
	// HeaderTimeout replaces Settings.HeaderTimeout unless it is zero. Gateways
	// need a longer one, since they respond only after their endpoint has.
	HeaderTimeout time.Duration
	// Prepare signs the request. It is called when all headers are set, just
	// before the request is sent, and must not be nil.
	Prepare func(req *http.Request, body []byte)
}

// ChatRequest is one chat completion to relay.
type ChatRequest struct {
	RequestID string
	Customer  string
	Model     string
	// Body is the caller's JSON as ParseChat accepted it.
	Body []byte
	// Priority is passed to the endpoint, from 0 (lowest) to 9.
	Priority int
	// Resume is set if a gateway of another region requests the rest of a
	// response whose beginning has already reached the caller.
	Resume *Resume
	// Hold is charged for what is kept of the response; nil if nothing is to be charged.
	Hold *memory.Holder
	// RepeatKey is the same for all requests that are alike. It is passed on to the Observer.
	RepeatKey quarantine.Key
}

// Resume requests the rest of a response, from the token with the number
// NextSeq (counted from 0). Text is the response's text before that token.
type Resume struct {
	NextSeq uint64 `json:"next_seq"`
	Text    string `json:"text"`
}

// Picker chooses the target of the next attempt. tried holds the ids of the
// targets at which earlier attempts failed through the target's fault; it must
// not be kept or modified. An error ends the request; a *failure.Refusal is
// passed on to the caller.
type Picker func(ctx context.Context, tried map[string]bool) (Target, error)

// RetryBudget limits the attempts beyond the first of each request.
type RetryBudget interface {
	// TrySpend takes one retry from the budget. It returns false if the budget
	// is exhausted, and the retry must not be made.
	TrySpend() bool
}

// Attempt describes one attempt of a request at one target.
type Attempt struct {
	ID        string
	RequestID string
	Customer  string
	Target    Target
	// Number is the attempt's number within its request, from 1.
	Number int
	// NextSeq is the number of the first token requested, above 0 if the
	// attempt resumes a response.
	NextSeq   uint64
	StartedAt time.Time
	// RepeatKey is that of the request.
	RepeatKey quarantine.Key
}

// Observer is notified of each attempt, for the scheduler's statistics. Its
// methods are called on the request's own goroutine and must not block.
type Observer interface {
	// AttemptStarted is called before the connection is made.
	AttemptStarted(a Attempt)
	// SignalsReceived is called when the response of an endpoint says something of the
	// endpoint, before anything of it is passed on. err is set if a part of it can't be
	// read.
	SignalsReceived(a Attempt, s httpmeta.Signals, err error)
	// FirstTokenReceived is called when the attempt's first chunk has been
	// written to the caller; after is the time since the attempt's start.
	FirstTokenReceived(a Attempt, after time.Duration)
	// AttemptEnded is called once for each attempt that was started.
	AttemptEnded(a Attempt, r Result)
}

// ResultKind says how an attempt ended.
type ResultKind string

// The kinds of results.
const (
	ResultOK ResultKind = "ok"
	// ResultDialFailed means that no connection could be made. Nothing was
	// sent.
	ResultDialFailed ResultKind = "dial_failed"
	// ResultConnSilent means that nothing arrived within a timeout on a
	// connection that was reused or had carried the response header. The
	// endpoint may be healthy: the next attempt uses a new connection to it.
	ResultConnSilent ResultKind = "connection_silent"
	// ResultConnLost means that a reused connection broke before the response
	// header. The endpoint may be healthy: the next attempt uses a new
	// connection to it.
	ResultConnLost ResultKind = "connection_lost"
	// ResultEndpointSilent means that nothing arrived within a timeout although
	// the connection was new.
	ResultEndpointSilent ResultKind = "silent"
	// ResultBusy means that the endpoint refused the request because of its
	// load, or that another gateway refused it before it was run.
	ResultBusy ResultKind = "busy"
	// ResultRejected means that the request itself was rejected as invalid.
	ResultRejected ResultKind = "rejected"
	// ResultBadStatus means any other status that is not a success.
	ResultBadStatus ResultKind = "bad_status"
	// ResultMismatched means that the response or a chunk of it carried the id
	// of another attempt, or a successful response carried none.
	ResultMismatched ResultKind = "crossed"
	// ResultMissingChunk means that the stream skipped at least one chunk, or
	// went on after the last one.
	ResultMissingChunk ResultKind = "missing_chunk"
	// ResultMalformed means that the response violated the protocol.
	ResultMalformed ResultKind = "malformed"
	// ResultTruncated means that the response ended before its end marker, or
	// with an error from the endpoint.
	ResultTruncated ResultKind = "truncated"
	// ResultCallerGone means that the caller disconnected or stopped reading.
	ResultCallerGone ResultKind = "caller_gone"
	// ResultDeadlineExceeded means that the request's deadline passed.
	ResultDeadlineExceeded ResultKind = "deadline"
)

// closesIdleConns returns whether idle connections to the endpoint must be
// closed after an attempt with this result, since they may be dead or carry
// the rest of another response.
func (k ResultKind) closesIdleConns() bool {
	switch k {
	case ResultOK, ResultDialFailed, ResultBusy, ResultRejected, ResultCallerGone, ResultDeadlineExceeded:
		return false
	default:
		return true
	}
}

// Result says how an attempt ended.
type Result struct {
	Kind ResultKind
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Tokens is the number of chunks that this attempt delivered to the caller.
	Tokens uint64
	// Duration is the time from the attempt's start to its end.
	Duration time.Duration
	// EndpointEnded is set if the response broke off and the endpoint refuses connections:
	// it has crashed or been killed.
	EndpointEnded bool
	// Err is the cause of a failure, nil for ResultOK.
	Err error
}

// IsEndpointFault returns whether the endpoint is at fault, so that it is not
// tried again for the same request.
func (r Result) IsEndpointFault() bool {
	switch r.Kind {
	case ResultOK, ResultConnSilent, ResultConnLost, ResultRejected, ResultCallerGone, ResultDeadlineExceeded:
		return false
	default:
		return true
	}
}

// Summary describes a request after its last attempt.
type Summary struct {
	Attempts int
	// ResumedAttempts is the number of attempts after the first that resumed a
	// response.
	ResumedAttempts int
	// ResponseStarted says that a response header has been sent to the caller.
	// If so, Chat has also sent the end of the response or the error event, and
	// nothing more may be written.
	ResponseStarted bool
	// Tokens is the number of chunks delivered to the caller.
	Tokens uint64
	// TTFT is the time from the start of Chat to the first token, 0 if none
	// was delivered.
	TTFT time.Duration
	// Target is the target of the last attempt.
	Target Target
	// Usage is the endpoint's token count for the complete response, zero if
	// the endpoint did not complete it.
	Usage Usage
}

// Usage is the size of a request and its response in tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
