package platform

import "fmt"

// NotFoundError says that a key or lease does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q not found", e.Key) }

// ConflictError says that a compare-and-swap found another version than the
// expected one; nothing was written. ActualVersion is the version found, 0 if the
// key does not exist.
type ConflictError struct {
	Key           string
	ActualVersion uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has version %d", e.Key, e.ActualVersion)
}

// RestoredError says that the service has been restored from an older copy: its era is
// Got, not Want.
type RestoredError struct{ Want, Got uint64 }

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the store was restored: era %d instead of %d", e.Got, e.Want)
}

// UnavailableError says that a call got no usable response.
type UnavailableError struct {
	// Op names the call that failed, such as "store get".
	Op string
	// MaybeApplied says that the call is a write that may have taken effect.
	MaybeApplied bool
	Cause        error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: platform unavailable (maybe applied: %t): %v", e.Op, e.MaybeApplied, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
