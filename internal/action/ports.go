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
	// AttemptID identifies this dispatch. The endpoint echoes it.
	AttemptID string
	// ActionID identifies the action. It is the same for every attempt, so that
	// an endpoint can use it for deduplication.
	ActionID string
	// FencingToken is for endpoints that check fencing tokens. It is relative
	// to ActionID.
	FencingToken uint64
	// Timeout bounds the time from the commit to the complete response.
	Timeout time.Duration
	// Commit must be called once, after a connection is established and before
	// the first byte may be sent. After an error nothing may be sent.
	Commit func() error
}

// EndpointResponse is an endpoint's complete response.
type EndpointResponse struct {
	EndpointID  string
	Status      int
	Body        []byte
	ContentType string
}

// Dispatcher sends a request to an endpoint at most once. It fails with
// *NotSentError only if no byte can have been sent. Any other error means that
// the endpoint may have run the action.
type Dispatcher interface {
	Dispatch(ctx context.Context, o DispatchRequest) (EndpointResponse, error)
}

// NotSentError reports that nothing was sent to any endpoint.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// MaybeSentError reports that the endpoint may have run the action.
type MaybeSentError struct{ Cause error }

// Error implements error.
func (e *MaybeSentError) Error() string { return fmt.Sprintf("maybe sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MaybeSentError) Unwrap() error { return e.Cause }

// Forwarder sends calls and queries to peers. Its errors are the
// *failure.Refusal that the peer returned, *PeerUnknownError, or
// *PeerUnreachableError. The owner keeps a record of each ticket, so a call may
// be forwarded more than once.
type Forwarder interface {
	// ForwardAction asks the incarnation to run a call under one of its
	// tickets.
	ForwardAction(ctx context.Context, incarnation string, c Call) (Response, error)
	// ForwardOutcome asks the incarnation for the outcome of a key.
	ForwardOutcome(ctx context.Context, incarnation string, q Query) (Record, error)
	// FindSeal asks the peers that may hold the seal of a stopped incarnation.
	// These are the first of SealHolders, and more of them than the seal was
	// sent to, since peers may have joined in the meantime. *PeerUnknownError
	// means that none of them holds it.
	FindSeal(ctx context.Context, incarnation string) (Seal, error)
}

// PeerUnknownError reports that no known peer has the incarnation.
type PeerUnknownError struct{ Incarnation string }

// Error implements error.
func (e *PeerUnknownError) Error() string {
	return fmt.Sprintf("no peer with incarnation %q", e.Incarnation)
}

// PeerUnreachableError reports that a peer did not respond. MaybeSent reports
// whether the request may have reached it.
type PeerUnreachableError struct {
	Incarnation string
	MaybeSent   bool
	Cause       error
}

// Error implements error.
func (e *PeerUnreachableError) Error() string {
	return fmt.Sprintf("no response from peer %q (may have been sent: %t): %v", e.Incarnation, e.MaybeSent, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerUnreachableError) Unwrap() error { return e.Cause }

// SealSender sends the seal of this incarnation to peers, which import it.
type SealSender interface {
	// Send returns nil once at least one peer has imported the seal.
	Send(ctx context.Context, s Seal) error
}

// Admitter decides whether a new action may run now. The manager calls release
// when the action is finished. The error is a *failure.Refusal.
type Admitter interface {
	AdmitAction(ctx context.Context, c Call) (release func(), err error)
}
