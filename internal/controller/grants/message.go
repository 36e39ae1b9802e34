package grants

import (
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
	"github.com/hickorystage/hickorystage/internal/streamversion"
)

// Request asks a coordinator to admit a request to one of its endpoints. A
// granted request counts as load of that endpoint at once.
type Request struct {
	Service string `json:"s" lenient:"required"`
	// RankKey determines the ranking of the endpoints. Requests that share a
	// prompt prefix have the same key.
	RankKey string `json:"k" lenient:"required"`
	// PromptTokens is the length of the prompt, SharedTokens the length of its
	// prefix that other requests have in common, OutputTokens the expected
	// length of the response.
	PromptTokens int `json:"t" lenient:"required"`
	SharedTokens int `json:"h,omitempty"`
	OutputTokens int `json:"a,omitempty" lenient:"required"`
	// Outputs and LongTokens are the length of the response that few such requests
	// exceed, in outputs of the endpoint and in tokens; 0 if unknown.
	Outputs    int `json:"v,omitempty"`
	LongTokens int `json:"z,omitempty"`
	// Priority is the priority of the request; 0 is the highest.
	Priority int `json:"u,omitempty" lenient:"required"`
	// HasAccountPriority is set if Priority is that of the client account; RoutePriority is
	// then that of the route.
	HasAccountPriority bool `json:"ap,omitempty" lenient:"required"`
	RoutePriority      int  `json:"rp,omitempty" lenient:"required"`
	// TimeToObjectiveMillis is the time left until the latency objective is
	// missed; it may be negative. EstimateLimitMillis limits the estimated time
	// to the first output at an endpoint without a cached prefix of the prompt,
	// HardLimitMillis at any endpoint.
	TimeToObjectiveMillis int64 `json:"o" lenient:"required"`
	EstimateLimitMillis   int64 `json:"w" lenient:"required"`
	HardLimitMillis       int64 `json:"l" lenient:"required"`
	// TimeToDeadlineMillis is the time left until the deadline of the whole response, 0
	// if the asking gateway doesn't say.
	TimeToDeadlineMillis int64 `json:"d,omitempty" lenient:"required"`
	// TimePercent is how long work takes on the machine of OnlyEndpoint, in percent of the
	// usual time, as the endpoint told the asking gateway TimePercentAgeMillis ago; 0 if
	// nothing recent is known.
	TimePercent          int   `json:"m,omitempty" lenient:"required"`
	TimePercentAgeMillis int64 `json:"n,omitempty" lenient:"required"`
	// GrantID identifies the grant in its Release, 0 if it is not released.
	GrantID uint64 `json:"g,omitempty"`
	// ResponseStarted is set if the caller already has part of the response.
	ResponseStarted bool `json:"b,omitempty"`
	// Segments are the segments of the prompt in order.
	Segments []endpointload.Segment `json:"p,omitempty"`
	// OnlyEndpoint is the only endpoint that may be granted; empty for any.
	OnlyEndpoint string `json:"i,omitempty" lenient:"required"`
	// ExcludedEndpoints are endpoints that must not be granted.
	ExcludedEndpoints []string `json:"x,omitempty" lenient:"required"`
	// SoftwareVersion is the only version whose endpoints may be granted; empty for any.
	SoftwareVersion string `json:"sw,omitempty" lenient:"required"`
}

// Response grants a request or gives the reason for refusing it.
type Response struct {
	// Endpoint is the granted endpoint, empty if the request is refused.
	Endpoint string `json:"e,omitempty" lenient:"required"`
	// EstimateMillis is the estimated time to the first output. In a refusal it
	// is the shortest estimate, or 0 if unknown.
	EstimateMillis int64 `json:"w,omitempty"`
	// ForecastMillis is the forecast time to the end of the response, 0 if unknown.
	ForecastMillis int64 `json:"v,omitempty"`
	// CachedTokens is the length of the prompt prefix that the endpoint is
	// believed to have cached. QueuedPrefillMillis is the prefill time ahead of
	// the request. PrefillUtilizationPercent is the share of the endpoint's
	// time spent on prefill.
	CachedTokens              int   `json:"c,omitempty"`
	QueuedPrefillMillis       int64 `json:"q,omitempty"`
	PrefillUtilizationPercent int   `json:"u,omitempty"`
	// Ahead is the number of requests that the endpoint had before a grant with a GrantID.
	Ahead int `json:"f,omitempty"`
	// Reason is the reason of a refusal, RetryAfterMillis when a request may be granted.
	Reason           string `json:"r,omitempty"`
	RetryAfterMillis int64  `json:"b,omitempty"`
	// Paced is set if the coordinator keeps a window for the granted endpoint: it is to be
	// told how the endpoint responds.
	Paced bool `json:"pc,omitempty"`
}

// Release tells a coordinator that the request of a grant has ended, or was never sent
// because the response of the coordinator didn't arrive. It is not answered; a grant
// whose Release is lost ends with the request's deadline.
type Release struct {
	Endpoint string `json:"e" lenient:"required"`
	GrantID  uint64 `json:"g" lenient:"required"`
}

// PermitRequest asks the coordinator of an endpoint that names a limit for the permit to
// send it one request. The limit is what the asking gateway knows of it.
type PermitRequest struct {
	Limit requestlimit.Limit `json:"l" lenient:"required"`
}

// PermitResponse gives the permit, or denies it.
type PermitResponse struct {
	Granted bool `json:"g,omitempty" lenient:"required"`
	// HoldMillis is how long the asking gateway should not ask again.
	HoldMillis int64 `json:"h,omitempty"`
	// Lifted is set if the endpoint names no limit any more, so that no permit is needed.
	Lifted *requestlimit.Limit `json:"l,omitempty"`
}

// Hold returns how long the asking gateway should not ask again.
func (r PermitResponse) Hold() time.Duration { return time.Duration(r.HoldMillis) * time.Millisecond }

// Estimate returns the estimated time to the first output.
func (r Response) Estimate() time.Duration { return time.Duration(r.EstimateMillis) * time.Millisecond }

// message is one datagram: a request, the response to the request with the same ID, or
// a release.
type message struct {
	RequestID      uint64          `json:"n"`
	Request        *Request        `json:"q,omitempty" lenient:"parts"`
	Response       *Response       `json:"a,omitempty" lenient:"parts"`
	PermitRequest  *PermitRequest  `json:"pq,omitempty" lenient:"parts"`
	PermitResponse *PermitResponse `json:"pa,omitempty" lenient:"parts"`
	ProofRequest   *ProofRequest   `json:"fq,omitempty" lenient:"parts"`
	ProofResponse  *ProofResponse  `json:"fa,omitempty" lenient:"parts"`
	CreditAsk      *CreditAsk      `json:"cq,omitempty" lenient:"parts"`
	CreditGrant    *CreditGrant    `json:"ca,omitempty" lenient:"parts"`
	Release        *Release        `json:"r,omitempty" lenient:"parts"`
	PaceReport     *PaceReport     `json:"pr,omitempty" lenient:"parts"`

	StreamRequest  *StreamRequest         `json:"sq,omitempty" lenient:"parts"`
	StreamResponse *StreamResponse        `json:"sa,omitempty" lenient:"parts"`
	StreamRecords  []streamversion.Record `json:"sr,omitempty"`
	// Unreadable tells which parts of the request can't be read. Without a response the
	// request is not decided.
	Unreadable *lenient.Report `json:"bad,omitempty"`
	// isDamaged is set at the receiver of a response of which nothing can be used.
	isDamaged bool
}

// isResponse reports whether the message is the response to a request.
func (m message) isResponse() bool {
	return m.Response != nil || m.PermitResponse != nil || m.ProofResponse != nil || m.StreamResponse != nil || m.Unreadable != nil || m.isDamaged
}

// Admits reports whether the request may be granted at the endpoint.
func (r Request) Admits(endpoint string) bool {
	return (r.OnlyEndpoint == "" || r.OnlyEndpoint == endpoint) && !slices.Contains(r.ExcludedEndpoints, endpoint)
}
