// Package httpmeta defines what the headers of a caller's request and of an
// endpoint's response convey, independent of the header names of a platform.
package httpmeta

import (
	"net/http"
	"time"
)

// Request is the metadata of a caller's request.
type Request struct {
	// AttemptID identifies the caller's attempt. A caller uses a new id each
	// time it sends a request.
	AttemptID string
	// Timeout is how long the caller waits for the response; 0 if it does not
	// say.
	Timeout time.Duration
	// LastEventID is the id of the last event that a caller received of a
	// broken stream which it wants to continue; empty for other requests.
	LastEventID string
	// Resumes is the AttemptID of the attempt that brought the first event of that stream;
	// empty if the caller doesn't say.
	Resumes string
	// Key is the key of the caller's account; empty if the request has none.
	Key string
	// TokenCount is the number of prompt tokens and of the output tokens at most, together;
	// nil if the request doesn't say.
	TokenCount *int
	// Prompt is nil for requests without a model.
	Prompt *PromptInfo
}

// PromptInfo describes the prompt and the expected output of a model request.
type PromptInfo struct {
	Model string
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutputTokens limits the length of the output.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the output length; 0 if
	// it gives none.
	ExpectedOutputTokens int
	// Segments are the segments of the prompt in order. Prompts of different
	// requests may have leading segments in common.
	Segments []PromptSegment
}

// PromptSegment is a section of a prompt. An engine that has it and all segments
// before it in its KV cache does not compute it again.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Attempt is the metadata that the gateway adds to a request for an endpoint.
type Attempt struct {
	// EndpointID is the id of the endpoint that may execute the request. If it
	// is empty, any may.
	EndpointID string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority orders the requests of a service; 0 is the highest.
	Priority int
	// Account is the name of the caller's account. If it is empty, no name is written.
	Account string
	// LastEventID replaces the caller's value when the gateway resumes a
	// stream. If it is empty, the caller's value is kept.
	LastEventID string
}

// Response is the metadata of an endpoint's response.
type Response struct {
	// AttemptID is the id of the caller's attempt that the response belongs to.
	AttemptID string
	// Stamped reports whether the response carries an endpoint's stamp, by
	// which the endpoint confirms that it produced the response.
	Stamped bool
	// NotExecuted reports that the endpoint did not execute the request.
	NotExecuted bool
	// Leaving reports that the endpoint is about to leave and wants no new requests.
	Leaving bool
	// RequestLimit is the number of requests a second that the endpoint takes from all
	// gateways together; nil if it names no limit. It is not negative.
	RequestLimit *float64
	// RequestLimitErr is a *RequestLimitError if the endpoint names a limit that can't be
	// read. RequestLimit is then nil.
	RequestLimitErr error
	// EndpointID is the id of the endpoint; empty if the response does not
	// contain it.
	EndpointID string
	// Load is nil if the response does not contain it.
	Load *Load
	// ColdRemaining is how much longer the endpoint is slow after a cold start. Only
	// health responses say so.
	ColdRemaining time.Duration
}

// Load is the load that an endpoint reports.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// Slots is the number of requests that can run at a time.
	Slots int
	// TimePercent is how long work takes on the endpoint's machine now, in percent of the
	// usual time; 0 if the endpoint doesn't say.
	TimePercent int
}

// HeaderCodec converts between headers and the metadata they carry.
type HeaderCodec interface {
	// ReadRequest reads the header of a caller's request.
	ReadRequest(h http.Header) Request
	// WriteAttempt turns the header of a caller's request into the header of
	// the request to an endpoint: it removes the headers that callers may not
	// set and writes those of the attempt.
	WriteAttempt(h http.Header, a Attempt)
	// RemoveAccount removes the key and the account's name from the header of a
	// caller's request.
	RemoveAccount(h http.Header)
	// ReadResponse reads the header of an endpoint's response.
	ReadResponse(h http.Header) Response
	// StripResponseHeader removes the headers of an endpoint's response that
	// are not passed on to callers.
	StripResponseHeader(h http.Header)
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the headers that apply to a single connection, including
// those that the Connection header names.
func StripHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
