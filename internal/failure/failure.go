// Package failure defines the errors that gateways return to callers, peers and
// operators. Every error that reaches a caller is a *Refusal.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says whether the work that a request asked for was executed.
type Outcome string

// The outcomes. NotRun is set only if it is certain that the work was not
// started, so that a retry can't execute it twice.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Ran     Outcome = "ran"
)

// Code is a stable, machine-readable error code.
type Code string

// The error codes that callers receive.
const (
	CodeBadRequest            Code = "bad_request"
	CodeBodyTooLarge          Code = "body_too_large"
	CodeUnauthenticated       Code = "unauthenticated"
	CodeUnauthorized          Code = "unauthorized"
	CodeRevocationUnknown     Code = "revocation_unknown"
	CodeForbidden             Code = "forbidden"
	CodeUnknownModel          Code = "unknown_model"
	CodeUnknownService        Code = "unknown_service"
	CodeNotFound              Code = "not_found"
	CodeBadTicket             Code = "bad_ticket"
	CodeTicketExpired         Code = "ticket_expired"
	CodeIdempotencyKeyReused  Code = "idempotency_key_reused"
	CodeInProgress            Code = "in_progress"
	CodeResidencyNotPermitted Code = "residency_not_permitted"
	CodeNoEndpoint            Code = "no_endpoint"
	CodeLimitExceeded         Code = "limit_exceeded"
	CodeOverloaded            Code = "overloaded"
	CodeDeadlineExceeded      Code = "deadline_exceeded"
	CodeDraining              Code = "draining"
	CodeNotReady              Code = "not_ready"
	CodeForwardingLoop        Code = "forwarding_loop"
	CodeStoreUnavailable      Code = "store_unavailable"
	CodeStoreRestored         Code = "store_restored"
	CodeOwnerUnreachable      Code = "owner_unreachable"
	CodeEndpointFailed        Code = "endpoint_failed"
	CodeIncompleteResponse    Code = "incomplete_answer"
	CodePromptHeld            Code = "prompt_held"
	CodeRequestHeld           Code = "request_held"
	CodeStreamVersionUnknown  Code = "stream_version_unknown"
	CodeInternal              Code = "internal"
)

// httpStatuses holds the HTTP status of each code.
var httpStatuses = map[Code]int{
	CodeBadRequest:            http.StatusBadRequest,
	CodeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	CodeUnauthenticated:       http.StatusUnauthorized,
	CodeUnauthorized:          http.StatusUnauthorized,
	CodeRevocationUnknown:     http.StatusServiceUnavailable,
	CodeForbidden:             http.StatusForbidden,
	CodeUnknownModel:          http.StatusNotFound,
	CodeUnknownService:        http.StatusNotFound,
	CodeNotFound:              http.StatusNotFound,
	CodeBadTicket:             http.StatusBadRequest,
	CodeTicketExpired:         http.StatusGone,
	CodeIdempotencyKeyReused:  http.StatusUnprocessableEntity,
	CodeInProgress:            http.StatusConflict,
	CodeResidencyNotPermitted: http.StatusForbidden,
	CodeNoEndpoint:            http.StatusServiceUnavailable,
	CodeLimitExceeded:         http.StatusTooManyRequests,
	CodeOverloaded:            http.StatusServiceUnavailable,
	CodeDeadlineExceeded:      http.StatusGatewayTimeout,
	CodeDraining:              http.StatusServiceUnavailable,
	CodeNotReady:              http.StatusServiceUnavailable,
	CodeForwardingLoop:        http.StatusLoopDetected,
	CodeStoreUnavailable:      http.StatusServiceUnavailable,
	CodeStoreRestored:         http.StatusServiceUnavailable,
	CodeOwnerUnreachable:      http.StatusServiceUnavailable,
	CodeEndpointFailed:        http.StatusBadGateway,
	CodeIncompleteResponse:    http.StatusBadGateway,
	CodePromptHeld:            http.StatusServiceUnavailable,
	CodeRequestHeld:           http.StatusServiceUnavailable,
	CodeStreamVersionUnknown:  http.StatusServiceUnavailable,
	CodeInternal:              http.StatusInternalServerError,
}

// Refusal is an error as the caller receives it. Message is for people; Code and
// Outcome are for programs. RetryAfter is zero if a retry can't help.
type Refusal struct {
	Code       Code
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration
	// Ticket is a new action ticket with which the caller can continue without
	// the store. It is set only on errors of claims.
	Ticket string
	cause  error
}

// New returns a refusal with the given outcome and a formatted message.
func New(code Code, outcome Outcome, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Refuse returns a refusal with the outcome NotRun and a formatted message.
func Refuse(code Code, format string, args ...any) *Refusal {
	return New(code, NotRun, format, args...)
}

// WithCause returns a copy of r that wraps cause.
func (r *Refusal) WithCause(cause error) *Refusal {
	c := *r
	c.cause = cause
	return &c
}

// WithRetryAfter returns a copy of r that asks the caller to retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.cause == nil {
		return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", r.Code, r.Outcome, r.Message, r.cause)
}

// Unwrap returns the cause, if any.
func (r *Refusal) Unwrap() error { return r.cause }

// Status returns the HTTP status for the refusal's code, 500 for an unknown
// code.
func (r *Refusal) Status() int {
	if s, ok := httpStatuses[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// AsRefusal returns the first *Refusal in err's chain; if there is none, one
// with CodeInternal and an unknown outcome that wraps err.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(CodeInternal, Unknown, "internal failure").WithCause(err)
}
