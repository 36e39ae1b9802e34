package httpmeta

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RetryAfterError reports a Retry-After header that is not a number of seconds above 0.
type RetryAfterError struct{ Value string }

// Error implements error.
func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("Retry-After %.40q is not a number of seconds", e.Value)
}

// maxRetryAfterSeconds keeps a Retry-After within the range of a time.Duration.
const maxRetryAfterSeconds = 1e9

// RetryAfter returns the time that the Retry-After header states in seconds, which may
// have a fraction. It returns 0 if there is none, and the longest if there are several.
// The error is a *RetryAfterError for the first value that can't be read; the others
// count nevertheless.
func RetryAfter(h http.Header) (time.Duration, error) {
	var longest time.Duration
	var err error
	for _, value := range h.Values("Retry-After") {
		seconds, parseErr := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if parseErr != nil && seconds == 0 || !(seconds >= 0) {
			if err == nil {
				err = &RetryAfterError{Value: value}
			}
			continue
		}
		longest = max(longest, time.Duration(min(seconds, maxRetryAfterSeconds)*float64(time.Second)))
	}
	return longest, err
}
