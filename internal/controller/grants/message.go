package grants

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
)

// Request asks a coordinator to admit a request to one of its endpoints. A
// granted request counts as load of that endpoint at once.
type Request struct {
	Service string `json:"s"`
	// RankKey determines the ranking of the endpoints. Requests that share a
	// prompt prefix have the same key.
	RankKey string `json:"k"`
	// PromptTokens is the length of the prompt, SharedTokens the length of its
	// prefix that other requests have in common, OutputTokens the expected
	// length of the response.
	PromptTokens int `json:"t"`
	SharedTokens int `json:"h,omitempty"`
	OutputTokens int `json:"a,omitempty"`
	// Priority is the priority of the request; 0 is the highest.
	Priority int `json:"u,omitempty"`
	// TimeToObjectiveMillis is the time left until the latency objective is
	// missed; it may be negative. EstimateLimitMillis limits the estimated time
	// to the first output at an endpoint without a cached prefix of the prompt,
	// HardLimitMillis at any endpoint.
	TimeToObjectiveMillis int64 `json:"o"`
	EstimateLimitMillis   int64 `json:"w"`
	HardLimitMillis       int64 `json:"l"`
	// ResponseStarted is set if the caller already has part of the response.
	ResponseStarted bool `json:"b,omitempty"`
	// Segments are the segments of the prompt in order.
	Segments []endpointload.Segment `json:"p,omitempty"`
	// OnlyEndpoint is the only endpoint that may be granted; empty for any.
	OnlyEndpoint string `json:"i,omitempty"`
	// ExcludedEndpoints are endpoints that must not be granted.
	ExcludedEndpoints []string `json:"x,omitempty"`
}

// Response grants a request or gives the reason for refusing it.
type Response struct {
	// Endpoint is the granted endpoint, empty if the request is refused.
	Endpoint string `json:"e,omitempty"`
	// EstimateMillis is the estimated time to the first output. In a refusal it
	// is the shortest estimate, or 0 if unknown.
	EstimateMillis int64 `json:"w,omitempty"`
	// CachedTokens is the length of the prompt prefix that the endpoint is
	// believed to have cached. QueuedPrefillMillis is the prefill time ahead of
	// the request. PrefillUtilizationPercent is the share of the endpoint's
	// time spent on prefill.
	CachedTokens              int   `json:"c,omitempty"`
	QueuedPrefillMillis       int64 `json:"q,omitempty"`
	PrefillUtilizationPercent int   `json:"u,omitempty"`
	// Reason is the reason of a refusal.
	Reason string `json:"r,omitempty"`
}

// PermitRequest asks the coordinator of an endpoint that names a limit for the permit to
// send it one request. The limit is what the asking gateway knows of it.
type PermitRequest struct {
	Limit requestlimit.Limit `json:"l"`
}

// PermitResponse gives the permit, or denies it.
type PermitResponse struct {
	Granted bool `json:"g,omitempty"`
	// HoldMillis is how long the asking gateway should not ask again.
	HoldMillis int64 `json:"h,omitempty"`
	// Lifted is set if the endpoint names no limit any more, so that no permit is needed.
	Lifted *requestlimit.Limit `json:"l,omitempty"`
}

// Hold returns how long the asking gateway should not ask again.
func (r PermitResponse) Hold() time.Duration { return time.Duration(r.HoldMillis) * time.Millisecond }

// Estimate returns the estimated time to the first output.
func (r Response) Estimate() time.Duration { return time.Duration(r.EstimateMillis) * time.Millisecond }

// message is one datagram: a request, or the response to the request with the
// same ID.
type message struct {
	RequestID      uint64          `json:"n"`
	Request        *Request        `json:"q,omitempty"`
	Response       *Response       `json:"a,omitempty"`
	PermitRequest  *PermitRequest  `json:"pq,omitempty"`
	PermitResponse *PermitResponse `json:"pa,omitempty"`
	CreditAsk      *CreditAsk      `json:"cq,omitempty"`
	CreditGrant    *CreditGrant    `json:"ca,omitempty"`
	ProofRequest   *ProofRequest   `json:"fq,omitempty"`
	ProofResponse  *ProofResponse  `json:"fa,omitempty"`
}

// Admits reports whether the request may be granted at the endpoint.
func (r Request) Admits(endpoint string) bool {
	return (r.OnlyEndpoint == "" || r.OnlyEndpoint == endpoint) && !slices.Contains(r.ExcludedEndpoints, endpoint)
}
