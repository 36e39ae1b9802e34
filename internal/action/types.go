// Package action runs calls that must not be repeated. An action is named by
// its customer and its idempotency key; whatever is retried, forwarded, lost
// or paused, it is dispatched to an endpoint at most once, and an outcome of
// failure.NotRun is only told when the action has not run and never will.
//
// A key is either a ticket, which the gateway incarnation that issued it
// dispatches from its memory alone, or the caller's own key, which is claimed
// in the key-value store first. docs/design/actions.md weighs the two.
package action

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// Call is one request to run an action.
type Call struct {
	Customer string `json:"customer"`
	// Key is the caller's idempotency key: a ticket or a key of its own.
	Key     string `json:"key"`
	Service string `json:"service"`
	Name    string `json:"name"`
	// Body is passed to the endpoint unchanged.
	Body        []byte `json:"body,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	RequestID   string `json:"request_id"`
	// Timeout bounds the wait for the endpoint's answer; it may be longer than
	// the caller's own deadline, which comes with the context. 0 means
	// Limits.DefaultTimeout.
	Timeout time.Duration `json:"timeout,omitempty"`
	// VisitedGateways holds the ids of the gateways that passed the call on.
	VisitedGateways []string `json:"visited,omitempty"`
	// Forwarded says that a peer passed the call to the ticket's owner; it is
	// not passed on again.
	Forwarded bool `json:"forwarded,omitempty"`
}

// OutcomeSource names how an outcome came about.
type OutcomeSource string

// The ways.
const (
	// SourceTicket is a ticket of this incarnation.
	SourceTicket OutcomeSource = "ticket"
	// SourceForwardedTicket is a ticket that its owner was asked to run.
	SourceForwardedTicket OutcomeSource = "ticket_forwarded"
	// SourceClaim is a key of the caller's own, claimed in the store.
	SourceClaim OutcomeSource = "claim"
	// SourceSeal is an outcome read from the records of a stopped gateway.
	SourceSeal OutcomeSource = "sealed"
)

// Response is the outcome of a call that an endpoint answered. Outcome is
// failure.Ran for a status of the 200s and failure.Unknown for any other: the
// endpoint's own answer then says what it did.
type Response struct {
	Outcome     failure.Outcome `json:"outcome"`
	Status      int             `json:"status"`
	Body        []byte          `json:"body,omitempty"`
	ContentType string          `json:"content_type,omitempty"`
	// BodyDropped says that the answer is a replay whose body was not kept.
	BodyDropped bool `json:"body_dropped,omitempty"`
	// Replayed says that the action was run by an earlier request.
	Replayed bool          `json:"replayed"`
	Source   OutcomeSource `json:"way"`
}

// State tells an action that is being run from a finished one.
type State string

// The states of an action.
const (
	StateInProgress State = "in_progress"
	StateFinished   State = "finished"
)

// Record is what is known of an action, as GET /v1/actions/{key} shows it.
type Record struct {
	Key     string          `json:"key"`
	State   State           `json:"state"`
	Outcome failure.Outcome `json:"outcome"`
	// Status is the endpoint's HTTP status, 0 if it gave no answer or if the
	// status was not kept.
	Status int `json:"status,omitempty"`
	// Reason is the code of the failure, empty when the endpoint answered.
	Reason failure.Code  `json:"reason,omitempty"`
	Source OutcomeSource `json:"way"`
}

// Query asks for the outcome of an action.
type Query struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
	// Attempt is the attempt that holds the claim of a caller's own key, for a
	// question to the claim's owner.
	Attempt string `json:"attempt,omitempty"`
	// Forwarded says that a peer asks; the query is not passed on again.
	Forwarded bool `json:"forwarded,omitempty"`
}

// TicketRange is a run of tickets for one customer. Ticket n of the range,
// First <= n <= Last, is the idempotency key Token + "." + n in decimal.
type TicketRange struct {
	Token string `json:"token"`
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// ValidMillis is how long the tickets are good for from the answer on.
	ValidMillis int64 `json:"valid_ms"`
}
