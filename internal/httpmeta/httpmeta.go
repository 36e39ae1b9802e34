// Package httpmeta describes one request of a caller and its answer, whatever
// headers they are written in.
package httpmeta

import (
	"net/http"
	"time"
)

// Request is what a caller says of its request besides method, path and body.
type Request struct {
	// AttemptID names the client attempt. Every attempt of a client has its own.
	AttemptID string
	// Timeout is how long the caller waits; 0 if it doesn't say.
	Timeout time.Duration
	// LastEventID is set when the caller goes on with a broken stream.
	LastEventID string
	// Prompt is nil for requests without a model.
	Prompt *PromptInfo
}

// PromptInfo sizes up the work of a model request.
type PromptInfo struct {
	Model string
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutputTokens bounds the tokens of the answer; LikelyOutput is the caller's
	// own guess, 0 if it has none.
	MaxOutputTokens      int
	ExpectedOutputTokens int
	// Segments are the parts of the prompt in order. Requests share leading parts.
	Segments []PromptSegment
}

// PromptSegment is one part of a prompt. An engine that holds it and all parts before
// it does not read it again.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	// EndpointID is the id that the endpoint must have to run the request.
	EndpointID string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// Priority is 0 for the most urgent requests of a service.
	Priority int
	// LastEventID overrides the caller's when a stream goes on; empty keeps it.
	LastEventID string
}

// Response is what an endpoint says beside status and body.
type Response struct {
	// AttemptID is the client attempt that the answer belongs to.
	AttemptID string
	// Stamped says that the endpoint vouches for the answer.
	Stamped bool
	// NotExecuted says that the endpoint did not run the request.
	NotExecuted bool
	// EndpointID is the id of the endpoint, where it tells it.
	EndpointID string
	// Load is nil where the endpoint does not tell it.
	Load *Load
}

// Load is what an endpoint tells of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// HeaderCodec writes and reads what goes between gateway and endpoint in headers.
type HeaderCodec interface {
	// ReadRequest reads a caller's request.
	ReadRequest(h http.Header) Request
	// WriteAttempt turns a caller's header into that of an attempt: it takes
	// out what only the system may set and adds what the attempt says.
	WriteAttempt(h http.Header, a Attempt)
	// ReadResponse reads an endpoint's answer.
	ReadResponse(h http.Header) Response
	// StripResponseHeader takes out of an answer's header what callers are not told.
	StripResponseHeader(h http.Header)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the headers that concern one connection only, those
// that Connection names included.
func StripHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
