// Package sched decides which endpoint or region serves a request. It performs
// no I/O and reads neither a clock nor a global random source. A decision
// depends on its arguments alone, so that it can be replayed from a trace.
package sched

import "time"

// Request describes a request to the scheduler.
type Request struct {
	ID       string
	Customer string
	Model    string
	// Groups are the endpoint groups that may serve the request.
	Groups []string
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// PrefixHashes holds one hash for each leading block of TokensPerBlock prompt
	// tokens. Each hash covers the prompt up to the end of its block.
	PrefixHashes []uint64
	// Priority ranges from 0 to 9; 9 is the highest.
	Priority int
	// TimeToDeadline is the time left until the caller's deadline; 0 or less
	// means that there is no deadline.
	TimeToDeadline time.Duration
	// PermittedRegions is the set of regions that the residency rules permit.
	PermittedRegions map[string]bool
	// ForwardsLeft is the number of times the request may still be forwarded to
	// another region.
	ForwardsLeft int
	// ExcludedEndpoints is the set of ids of the endpoints already tried.
	ExcludedEndpoints map[string]bool
	// OutputBytes is the estimated size of the response on a link.
	OutputBytes int
}

// TokensPerBlock is the number of tokens in a block of the prefix cache.
const TokensPerBlock = 64

// Decision is the scheduler's decision for one request.
type Decision struct {
	Kind Kind
	// Endpoint is set when Kind is Serve.
	Endpoint string
	// Region is the target region; it is set when Kind is Forward.
	Region string
	// EstimatedTTFT is the estimated time to first token.
	EstimatedTTFT time.Duration
	// CachedTokens is the number of prompt tokens that the endpoint is believed
	// to have in its prefix cache.
	CachedTokens int
	// Reason explains the decision to operators.
	Reason Reason
}

// Kind is the kind of a Decision.
type Kind int

// Kinds of decisions.
const (
	// Refuse refuses the request without running it.
	Refuse Kind = iota
	// Serve sends the request to an endpoint of this region.
	Serve
	// Forward sends the request to another region.
	Forward
	// Wait queues the request at this gateway until an endpoint has capacity.
	Wait
)

// Reason states why a decision was made.
type Reason string

// Reasons of decisions.
const (
	ReasonBestEstimate      Reason = "best_estimate"
	ReasonOtherRegionFaster Reason = "other_region_faster"
	ReasonNoLocalEndpoint   Reason = "no_local_endpoint"
	ReasonResidency         Reason = "residency"
	ReasonNoEndpoint        Reason = "no_endpoint"
	ReasonDeadline          Reason = "deadline"
	ReasonSaturated         Reason = "saturated"
	ReasonForwardBudget     Reason = "away_budget"
	ReasonOnlyEndpoint      Reason = "only_endpoint"
)
