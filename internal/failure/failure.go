// Package failure defines the typed failures that callers, peers and
// operators are shown. A failure that reaches a caller is a *Refusal.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known of the work that a request asked for.
type Outcome string

// The outcomes. NotRun is only used when it is certain.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Ran     Outcome = "ran"
)

// Code is a stable, machine-readable name of a failure.
type Code string

// The codes of refusals that callers are shown.
const (
	CodeBadRequest            Code = "bad_request"
	CodeBodyTooLarge          Code = "body_too_large"
	CodeUnauthenticated       Code = "unauthenticated"
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
	CodeOwnerUnreachable      Code = "owner_unreachable"
	CodeEndpointFailed        Code = "endpoint_failed"
	CodeIncompleteResponse    Code = "incomplete_answer"
	CodeInternal              Code = "internal"
)

// statusOf maps each code to its HTTP status.
var statusOf = map[Code]int{
	CodeBadRequest:            http.StatusBadRequest,
	CodeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	CodeUnauthenticated:       http.StatusUnauthorized,
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
	CodeOwnerUnreachable:      http.StatusServiceUnavailable,
	CodeEndpointFailed:        http.StatusBadGateway,
	CodeIncompleteResponse:    http.StatusBadGateway,
	CodeInternal:              http.StatusInternalServerError,
}

// Refusal is a failure that a caller is shown. Message is for people; Code and
// Outcome are for programs. RetryAfter is zero when a retry can't help.
type Refusal struct {
	Code       Code
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration
	// Ticket is a fresh action ticket that lets the caller go on without the
	// store; empty for every refusal but those of claims.
	Ticket string
	cause  error
}

// New makes a refusal with the given outcome and a formatted message.
func New(code Code, outcome Outcome, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Refuse makes a refusal whose outcome is NotRun.
func Refuse(code Code, format string, args ...any) *Refusal {
	return New(code, NotRun, format, args...)
}

// WithCause returns a copy of r that wraps cause.
func (r *Refusal) WithCause(cause error) *Refusal {
	c := *r
	c.cause = cause
	return &c
}

// WithRetryAfter returns a copy of r that tells the caller when to retry.
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

// Status is the HTTP status that goes with the refusal.
func (r *Refusal) Status() int {
	if s, ok := statusOf[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// AsRefusal returns the refusal in err's chain, or an internal failure with an
// unknown outcome that wraps err.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(CodeInternal, Unknown, "internal failure").WithCause(err)
}
