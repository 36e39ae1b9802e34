package sender

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// nonRewindableBody is a request body that net/http can't rewind. It hides the
// reader's type, from which http.NewRequest would derive Request.GetBody.
type nonRewindableBody struct{ io.Reader }

// newRequestBody returns b as the body of a request, or http.NoBody if b is
// empty.
func newRequestBody(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return nonRewindableBody{bytes.NewReader(b)}
}

// idleTimeoutReader restarts a timer at each read.
type idleTimeoutReader struct {
	r       io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.timer.Reset(r.timeout)
	return n, err
}

// ResponseMismatchError reports a response to the request of another attempt.
type ResponseMismatchError struct {
	EndpointID string
	Want       string
	Got        string
}

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("endpoint %s echoed attempt id %q instead of %q", e.EndpointID, e.Got, e.Want)
}

// ResponseTooLongError reports a response body that is longer than the limit.
type ResponseTooLongError struct {
	EndpointID string
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *ResponseTooLongError) Error() string {
	return fmt.Sprintf("response body of endpoint %s is longer than %d bytes", e.EndpointID, e.Limit)
}
