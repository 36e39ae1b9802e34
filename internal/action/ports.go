package action

import (
	"context"
	"fmt"
	"time"
)

// DispatchRequest is one dispatch of an action to an endpoint.
type DispatchRequest struct {
	Customer    string
	Service     string
	Name        string
	Body        []byte
	ContentType string
	RequestID   string
	// AttemptID names this dispatch; the endpoint echoes it.
	AttemptID string
	// ActionID names the action; it is the same for every attempt, so that an
	// endpoint can deduplicate by it.
	ActionID string
	// FencingToken is the number for endpoints that check one, within ActionID.
	FencingToken uint64
	// Timeout bounds the wait for the whole answer from the commit on.
	Timeout time.Duration
	// Commit must be called once, after a connection is made and before the
	// first byte may leave. After an error nothing may be sent.
	Commit func() error
}

// EndpointResponse is an endpoint's whole answer.
type EndpointResponse struct {
	EndpointID  string
	Status      int
	Body        []byte
	ContentType string
}

// Dispatcher sends an order to an endpoint at most once. It fails with
// *NotSentError when certainly no byte has left. Every other error means that
// the endpoint may have run the order.
type Dispatcher interface {
	Dispatch(ctx context.Context, o DispatchRequest) (EndpointResponse, error)
}

// NotSentError says that nothing was sent to any endpoint.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// MaybeSentError says that the endpoint may have run the order.
type MaybeSentError struct{ Cause error }

// Error implements error.
func (e *MaybeSentError) Error() string { return fmt.Sprintf("maybe sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MaybeSentError) Unwrap() error { return e.Cause }

// Forwarder reaches other gateways. Its errors are the *failure.Refusal that
// the peer answered, *PeerUnknownError, or *PeerUnreachableError. The owner
// keeps a record of each ticket, so a call may be forwarded more than once.
type Forwarder interface {
	// ForwardAction asks the incarnation to run a call of its tickets.
	ForwardAction(ctx context.Context, incarnation string, c Call) (Response, error)
	// ForwardOutcome asks the incarnation for the outcome of a key.
	ForwardOutcome(ctx context.Context, incarnation string, q Query) (Record, error)
	// FindSeal asks the peers that may hold the seal of a stopped incarnation:
	// the first of SealHolders, and some more than were given it, since peers
	// have come since. *PeerUnknownError means that none does.
	FindSeal(ctx context.Context, incarnation string) (Seal, error)
}

// PeerUnknownError says that no peer is known to have the incarnation.
type PeerUnknownError struct{ Incarnation string }

// Error implements error.
func (e *PeerUnknownError) Error() string {
	return fmt.Sprintf("no peer with incarnation %q", e.Incarnation)
}

// PeerUnreachableError says that a peer gave no answer. Sent says that the
// request may have reached it.
type PeerUnreachableError struct {
	Incarnation string
	MaybeSent   bool
	Cause       error
}

// Error implements error.
func (e *PeerUnreachableError) Error() string {
	return fmt.Sprintf("peer %q gave no answer (sent: %t): %v", e.Incarnation, e.MaybeSent, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerUnreachableError) Unwrap() error { return e.Cause }

// SealSender gives the seal of this incarnation to peers, which import it.
type SealSender interface {
	// Send returns nil once at least one peer has imported the seal.
	Send(ctx context.Context, s Seal) error
}

// Admitter decides whether a new action may run now. Release is called when
// the action is finished. The error is a *failure.Refusal.
type Admitter interface {
	AdmitAction(ctx context.Context, c Call) (release func(), err error)
}
