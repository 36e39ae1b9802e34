package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// UsageError lists all problems with the arguments or the folder.
type UsageError struct{ Problems []string }

// Error implements error.
func (e *UsageError) Error() string { return strings.Join(e.Problems, "\n") }

// RejectedError says that a configuration or change is rejected. The reasons
// have been printed already.
type RejectedError struct{}

// Error implements error.
func (e *RejectedError) Error() string { return "rejected" }

// UnknownOutcomeError says that a change may have been published. How to settle
// it has been printed already.
type UnknownOutcomeError struct{ ChangeID string }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "unknown outcome of change " + e.ChangeID }

// NotInForceError says that an accepted revision was not seen in force in every
// region.
type NotInForceError struct {
	Revision uint64
	// Waited is how long it was looked for, at most the time of --wait.
	Waited time.Duration
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but was not seen in force everywhere within %s", e.Revision, e.Waited.Round(time.Millisecond))
}

// AdminError says that a call to a gateway's administration API failed or got no
// usable response.
type AdminError struct {
	URL string
	// Status is the HTTP status, 0 if the response's body was not read.
	Status int
	// Message is the start of an error response's body.
	Message string
	Cause   error
}

// Error implements error.
func (e *AdminError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s returned status %d: %s", e.URL, e.Status, e.Message)
	}
	return fmt.Sprintf("%s: %v", e.URL, e.Cause)
}

// Unwrap returns the cause.
func (e *AdminError) Unwrap() error { return e.Cause }

// reportError prints err to Stderr, unless the command has printed its cause
// already, and returns the exit code for it.
func reportError(env *Env, err error) int {
	var usage *UsageError
	var rejected *RejectedError
	var unknown *UnknownOutcomeError
	var notInForce *NotInForceError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &rejected):
		return ExitRejected
	case errors.As(err, &unknown):
		return ExitUnknownOutcome
	case errors.As(err, &notInForce):
		env.printErrf("%v\n", err)
		return ExitNotInForce
	case errors.As(err, &usage):
		for _, p := range usage.Problems {
			env.printErrf("hickorystage: %s\n", p)
		}
		return ExitUsage
	}
	env.printErrf("hickorystage: %v\n", err)
	return ExitRejected
}
