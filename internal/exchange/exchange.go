// Package exchange describes one request of a caller and its answer, whatever
// headers they are written in.
package exchange

import (
	"net/http"
	"time"
)

// Request is what a caller says of its request besides method, path and body.
type Request struct {
	// ID names the client attempt. Every attempt of a client has its own.
	ID string
	// Patience is how long the caller waits; 0 if it doesn't say.
	Patience time.Duration
	// LastEventID is set when the caller goes on with a broken stream.
	LastEventID string
	// Prompt is nil for requests without a model.
	Prompt *Prompt
}

// Prompt sizes up the work of a model request.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutput bounds the tokens of the answer; LikelyOutput is the caller's
	// own guess, 0 if it has none.
	MaxOutput    int
	LikelyOutput int
	// Parts are the parts of the prompt in order. Requests share leading parts.
	Parts []Part
}

// Part is one part of a prompt. An engine that holds it and all parts before
// it does not read it again.
type Part struct {
	ID     string
	Tokens int
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	// Endpoint is the id that the endpoint must have to run the request.
	Endpoint string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// Urgency is 0 for the most urgent requests of a service.
	Urgency int
	// LastEventID overrides the caller's when a stream goes on; empty keeps it.
	LastEventID string
}

// Answer is what an endpoint says beside status and body.
type Answer struct {
	// ID is the client attempt that the answer belongs to.
	ID string
	// Signed says that the endpoint vouches for the answer.
	Signed bool
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Endpoint is the id of the endpoint, where it tells it.
	Endpoint string
	// Load is nil where the endpoint does not tell it.
	Load *Load
}

// Load is what an endpoint tells of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Codec writes and reads what goes between gateway and endpoint in headers.
type Codec interface {
	// Request reads a caller's request.
	Request(h http.Header) Request
	// WriteAttempt turns a caller's header into that of an attempt: it takes
	// out what only the system may set and adds what the attempt says.
	WriteAttempt(h http.Header, a Attempt)
	// Answer reads an endpoint's answer.
	Answer(h http.Header) Answer
	// CleanAnswer takes out of an answer's header what callers are not told.
	CleanAnswer(h http.Header)
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
