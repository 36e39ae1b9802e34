package grants

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/ledger"
)

// Question asks a coordinator for a place at one of its endpoints. The work is
// counted there as soon as it is granted.
type Question struct {
	Service string `json:"s"`
	// Key ranks the endpoints for this request; requests that share their first
	// parts have the same one.
	Key string `json:"k"`
	// Tokens is the length of the prompt, Shared the part of it that others have
	// too, Output the likely length of the answer, all in tokens.
	Tokens int `json:"t"`
	Shared int `json:"h,omitempty"`
	Output int `json:"a,omitempty"`
	// Urgency is 0 for the most urgent requests.
	Urgency int `json:"u,omitempty"`
	// ObjectiveMillis is the time left until the answer is late, which may be
	// negative. WithinMillis bounds the estimated time until the answer begins at
	// an endpoint that holds nothing of the prompt, LeftMillis that at any.
	ObjectiveMillis int64 `json:"o"`
	WithinMillis    int64 `json:"w"`
	LeftMillis      int64 `json:"l"`
	// Begun says that the caller has a part of the answer already.
	Begun bool `json:"b,omitempty"`
	// Parts are the prompt's parts, each with all before it.
	Parts []ledger.Part `json:"p,omitempty"`
	// Only names the endpoint that is asked for; empty for any.
	Only string `json:"i,omitempty"`
	// Except are endpoints that won't do.
	Except []string `json:"x,omitempty"`
}

// Answer grants a place at an endpoint, or says why there is none.
type Answer struct {
	// Endpoint is empty if there is no place.
	Endpoint string `json:"e,omitempty"`
	// EstimateMillis is the estimated time until the answer begins; without a
	// place, the soonest, or 0 if that is not known.
	EstimateMillis int64 `json:"w,omitempty"`
	// Cached is the part of the prompt that the endpoint is believed to hold, in
	// tokens; Queued the reading time before this prompt, Use the share of the
	// endpoint's time that goes to reading, in hundredths.
	Cached       int   `json:"c,omitempty"`
	QueuedMillis int64 `json:"q,omitempty"`
	UsePercent   int   `json:"u,omitempty"`
	// Reason says why there is no place.
	Reason string `json:"r,omitempty"`
}

// Estimate is the estimated time until the answer begins.
func (a Answer) Estimate() time.Duration { return time.Duration(a.EstimateMillis) * time.Millisecond }

// message is one datagram: a question, or the answer to the one of the same
// number.
type message struct {
	Number   uint64    `json:"n"`
	Question *Question `json:"q,omitempty"`
	Answer   *Answer   `json:"a,omitempty"`
}

// Admits says whether an endpoint will do.
func (q Question) Admits(endpoint string) bool {
	return (q.Only == "" || q.Only == endpoint) && !slices.Contains(q.Except, endpoint)
}
