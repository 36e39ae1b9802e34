package relay

import (
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// SilenceTimeoutError means that nothing arrived on a connection within the
// timeout of the current phase.
type SilenceTimeoutError struct {
	// Phase is what the attempt waited for.
	Phase Phase
	Limit time.Duration
}

// Error implements error.
func (e *SilenceTimeoutError) Error() string {
	return fmt.Sprintf("no data for %v while waiting for the %s", e.Limit, e.Phase)
}

// Phase is a phase of an attempt with a timeout of its own.
type Phase string

// The phases of an attempt.
const (
	PhaseDial       Phase = "connection"
	PhaseHeader     Phase = "response header"
	PhaseFirstToken Phase = "first token"
	PhaseNextToken  Phase = "next token"
	PhaseBody       Phase = "response body"
)

// ResponseMismatchError means that a response or a chunk carried the id of
// another attempt, or a successful response carried none.
type ResponseMismatchError struct{ Want, Got string }

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("response to attempt %q received on attempt %q", e.Got, e.Want)
}

// MissingChunkError means that a stream skipped at least one chunk, or went on
// after its last one.
type MissingChunkError struct{ Want, Got uint64 }

// Error implements error.
func (e *MissingChunkError) Error() string {
	return fmt.Sprintf("received chunk %d, expected chunk %d", e.Got, e.Want)
}

// MalformedError means that a response violated the protocol.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// TruncatedError means that a response ended before its end marker.
type TruncatedError struct{ Cause error }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("response ended before its end marker: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// StatusError means that the target responded with an error status. Code and
// Outcome are set if the target is another gateway and its response had them.
type StatusError struct {
	Status  int
	Message string
	Code    failure.Code
	Outcome failure.Outcome
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint responded with status %d: %s", e.Status, e.Message)
}

// StreamError is an error that the endpoint itself reported in a stream.
type StreamError struct{ Message string }

// Error implements error.
func (e *StreamError) Error() string { return "endpoint reported an error in the stream: " + e.Message }

// CallerGoneError means that the caller disconnected or stopped reading.
type CallerGoneError struct{ Cause error }

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("caller is unreachable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// NotResumableError says why a broken response can't be resumed.
type NotResumableError struct{ Reason string }

// Error implements error.
func (e *NotResumableError) Error() string { return "response can't be resumed: " + e.Reason }
