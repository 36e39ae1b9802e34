package relay

import (
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// SilenceTimeoutError says that a connection was silent for longer than its limit.
type SilenceTimeoutError struct {
	// Phase is what was waited for.
	Phase Phase
	Limit time.Duration
}

// Error implements error.
func (e *SilenceTimeoutError) Error() string {
	return fmt.Sprintf("nothing heard for %v while waiting for the %s", e.Limit, e.Phase)
}

// Phase is a step of an attempt that has its own limit on silence.
type Phase string

// The phases of an attempt.
const (
	PhaseDial       Phase = "connection"
	PhaseHeader     Phase = "answer's header"
	PhaseFirstToken Phase = "first token"
	PhaseNextToken  Phase = "next token"
	PhaseBody       Phase = "answer's body"
)

// ResponseMismatchError says that a part of an answer carried another attempt's id.
type ResponseMismatchError struct{ Want, Got string }

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("answer of attempt %q on attempt %q", e.Got, e.Want)
}

// MissingChunkError says that a stream left out at least one chunk.
type MissingChunkError struct{ Want, Got uint64 }

// Error implements error.
func (e *MissingChunkError) Error() string {
	return fmt.Sprintf("chunk %d came in place of chunk %d", e.Got, e.Want)
}

// MalformedError says that a stream broke the protocol.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed stream: " + e.Reason }

// TruncatedError says that an answer ended before its end mark.
type TruncatedError struct{ Cause error }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer ended before its end mark: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// StatusError says that an endpoint answered with a failure status. Code and
// Outcome are set when the endpoint is another gateway that said them.
type StatusError struct {
	Status  int
	Message string
	Code    failure.Code
	Outcome failure.Outcome
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered %d: %s", e.Status, e.Message)
}

// StreamError is an error event that the endpoint itself sent in a stream.
type StreamError struct{ Message string }

// Error implements error.
func (e *StreamError) Error() string { return "endpoint ended the stream: " + e.Message }

// CallerGoneError says that the caller went away or stopped reading.
type CallerGoneError struct{ Cause error }

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("caller gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// NotResumableError says why a broken answer can't be resumed.
type NotResumableError struct{ Reason string }

// Error implements error.
func (e *NotResumableError) Error() string { return "the answer can't be resumed: " + e.Reason }
