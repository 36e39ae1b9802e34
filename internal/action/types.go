// Package action runs calls that are not idempotent. An action is identified by
// its customer and its idempotency key. Whatever is retried, forwarded, lost or
// paused, an action is dispatched to an endpoint at most once, and the outcome
// failure.NotRun is reported only if the action has not run and never will.
//
// A key is either a ticket or a caller key. A ticket is dispatched only by the
// gateway incarnation that issued it, its owner, which needs no more than the
// records in its memory. An incarnation is one start of a gateway process.
// A caller key is chosen by the caller and has to be claimed in the key-value
// store first. docs/design/actions.md compares the two.
package action

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// Call is one request to run an action.
type Call struct {
	Customer string `json:"customer"`
	// Key is the idempotency key: a ticket or a caller key.
	Key     string `json:"key"`
	Service string `json:"service"`
	// Name is the name of the call as declared by the service.
	Name string `json:"name"`
	// Body is passed to the endpoint unchanged.
	Body        []byte `json:"body,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	RequestID   string `json:"request_id"`
	// Timeout bounds the wait for the endpoint's response. It may exceed the
	// caller's deadline, which comes with the context. 0 means
	// Limits.DefaultTimeout.
	Timeout time.Duration `json:"timeout,omitempty"`
	// VisitedGateways holds the ids of the gateways that forwarded the call.
	VisitedGateways []string `json:"visited,omitempty"`
	// Forwarded reports whether a peer forwarded the call to the ticket's
	// owner. A forwarded call is not forwarded again.
	Forwarded bool `json:"forwarded,omitempty"`
}

// OutcomeSource tells where an outcome was found.
type OutcomeSource string

// The sources of outcomes.
const (
	// SourceTicket is the record of a ticket of this incarnation.
	SourceTicket OutcomeSource = "ticket"
	// SourceForwardedTicket is the response of the ticket's owner, to which the
	// call was forwarded.
	SourceForwardedTicket OutcomeSource = "ticket_forwarded"
	// SourceClaim is the claim of a caller key in the store.
	SourceClaim OutcomeSource = "claim"
	// SourceSeal is the seal of the ticket's owner, which has stopped.
	SourceSeal OutcomeSource = "sealed"
)

// Response is the outcome of a call to which an endpoint responded. Outcome is
// failure.Ran for a 2xx status and failure.Unknown for any other: only the
// endpoint's response then tells what the endpoint did. An outcome from a seal
// has Status 0 and no body, since a seal doesn't hold the endpoint's response.
type Response struct {
	Outcome     failure.Outcome `json:"outcome"`
	Status      int             `json:"status"`
	Body        []byte          `json:"body,omitempty"`
	ContentType string          `json:"content_type,omitempty"`
	// BodyDropped reports whether this is a replay whose body was not kept.
	BodyDropped bool `json:"body_dropped,omitempty"`
	// Replayed reports whether an earlier request ran the action.
	Replayed bool          `json:"replayed"`
	Source   OutcomeSource `json:"way"`
}

// State tells whether an action is in progress or finished.
type State string

// The states of an action.
const (
	StateInProgress State = "in_progress"
	StateFinished   State = "finished"
)

// Record is the state of an action, as returned by GET /v1/actions/{key}.
type Record struct {
	Key     string          `json:"key"`
	State   State           `json:"state"`
	Outcome failure.Outcome `json:"outcome"`
	// Status is the endpoint's HTTP status, or 0 if there was no response or
	// the status was not kept.
	Status int `json:"status,omitempty"`
	// Reason is the code of the failure, empty if the endpoint responded.
	Reason failure.Code  `json:"reason,omitempty"`
	Source OutcomeSource `json:"way"`
}

// Query asks for the outcome of an action.
type Query struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
	// Attempt is the id of the attempt that holds the claim of a caller key. It
	// is set only in a query to the owner of the claim.
	Attempt string `json:"attempt,omitempty"`
	// Forwarded reports whether a peer sent the query. A forwarded query is not
	// forwarded again.
	Forwarded bool `json:"forwarded,omitempty"`
}

// TicketRange is a range of tickets with consecutive numbers for one customer.
// Ticket n of the range, First <= n <= Last, is the idempotency key
// Token + "." + n in decimal.
type TicketRange struct {
	Token string `json:"token"`
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// ValidMillis is how long the tickets are valid, counted from the response.
	ValidMillis int64 `json:"valid_ms"`
}
