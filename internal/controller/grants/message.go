package grants

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/endpointload"
)

// Request asks a coordinator for a place at one of its endpoints. The work is
// counted there as soon as it is granted.
type Request struct {
	Service string `json:"s"`
	// RankKey ranks the endpoints for this request; requests that share their first
	// parts have the same one.
	RankKey string `json:"k"`
	// PromptTokens is the length of the prompt, Shared the part of it that others have
	// too, Output the likely length of the answer, all in tokens.
	PromptTokens int `json:"t"`
	SharedTokens int `json:"h,omitempty"`
	OutputTokens int `json:"a,omitempty"`
	// Priority is 0 for the most urgent requests.
	Priority int `json:"u,omitempty"`
	// TimeToObjectiveMillis is the time left until the answer is late, which may be
	// negative. WithinMillis bounds the estimated time until the answer begins at
	// an endpoint that holds nothing of the prompt, LeftMillis that at any.
	TimeToObjectiveMillis int64 `json:"o"`
	EstimateLimitMillis   int64 `json:"w"`
	HardLimitMillis       int64 `json:"l"`
	// ResponseStarted says that the caller has a part of the answer already.
	ResponseStarted bool `json:"b,omitempty"`
	// Segments are the prompt's parts, each with all before it.
	Segments []endpointload.Segment `json:"p,omitempty"`
	// OnlyEndpoint names the endpoint that is asked for; empty for any.
	OnlyEndpoint string `json:"i,omitempty"`
	// ExcludedEndpoints are endpoints that won't do.
	ExcludedEndpoints []string `json:"x,omitempty"`
}

// Response grants a place at an endpoint, or says why there is none.
type Response struct {
	// Endpoint is empty if there is no place.
	Endpoint string `json:"e,omitempty"`
	// EstimateMillis is the estimated time until the answer begins; without a
	// place, the soonest, or 0 if that is not known.
	EstimateMillis int64 `json:"w,omitempty"`
	// CachedTokens is the part of the prompt that the endpoint is believed to hold, in
	// tokens; Queued the reading time before this prompt, Use the share of the
	// endpoint's time that goes to reading, in hundredths.
	CachedTokens              int   `json:"c,omitempty"`
	QueuedPrefillMillis       int64 `json:"q,omitempty"`
	PrefillUtilizationPercent int   `json:"u,omitempty"`
	// Reason says why there is no place.
	Reason string `json:"r,omitempty"`
}

// Estimate is the estimated time until the answer begins.
func (a Response) Estimate() time.Duration { return time.Duration(a.EstimateMillis) * time.Millisecond }

// message is one datagram: a question, or the answer to the one of the same
// number.
type message struct {
	Number   uint64    `json:"n"`
	Question *Request  `json:"q,omitempty"`
	Answer   *Response `json:"a,omitempty"`
}

// Admits says whether an endpoint will do.
func (q Request) Admits(endpoint string) bool {
	return (q.OnlyEndpoint == "" || q.OnlyEndpoint == endpoint) && !slices.Contains(q.ExcludedEndpoints, endpoint)
}
