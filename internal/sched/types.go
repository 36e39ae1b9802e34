// Package sched decides which endpoint or region serves a request. It is pure:
// no I/O, no clock, no global random source. Everything a decision needs comes
// in as arguments, so that a decision can be replayed from a trace.
package sched

import "time"

// Request is what the scheduler knows of one request.
type Request struct {
	ID       string
	Customer string
	Model    string
	// Groups are the endpoint groups that may serve it.
	Groups []string
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// PrefixHashes holds the hashes of the prompt's leading blocks of BlockTokens
	// tokens, each covering everything before it.
	PrefixHashes []uint64
	Priority     int
	// TimeToDeadline is the time left until the caller's deadline.
	TimeToDeadline time.Duration
	// PermittedRegions are the regions residency allows, as a set.
	PermittedRegions map[string]bool
	// ForwardsLeft is the number of times it may still go to another region.
	ForwardsLeft int
	// ExcludedEndpoints holds the ids of endpoints already tried.
	ExcludedEndpoints map[string]bool
	// OutputBytes is an estimate of the answer's size on a link.
	OutputBytes int
}

// TokensPerBlock is the number of tokens in one block of a prefix cache.
const TokensPerBlock = 64

// Decision is what to do with a request.
type Decision struct {
	Kind Kind
	// Endpoint is set when Kind is Serve.
	Endpoint string
	// Region is set when Kind is Away.
	Region string
	// EstimatedTTFT is the estimated time to first token.
	EstimatedTTFT time.Duration
	// CachedTokens is the part of the prompt that the endpoint is believed to
	// hold.
	CachedTokens int
	// Reason explains the decision to operators.
	Reason Reason
}

// Kind is the kind of a decision.
type Kind int

// The kinds of decisions.
const (
	// Refuse it now, truthfully.
	Refuse Kind = iota
	// Serve it at an endpoint of this region.
	Serve
	// Forward sends it to another region.
	Forward
	// Wait keeps it in this gateway's queue for a while.
	Wait
)

// Reason names why a decision was taken.
type Reason string

// The reasons of decisions.
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
