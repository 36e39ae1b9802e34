package dispatch

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// onceBody is a request body that net/http can't rewind: it hides the type
// that http.NewRequest would make Request.GetBody of.
type onceBody struct{ io.Reader }

// newBody returns the body of a request, http.NoBody if it is empty.
func newBody(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return onceBody{bytes.NewReader(b)}
}

// watchedReader restarts a timer at each piece that it reads.
type watchedReader struct {
	r     io.Reader
	timer *time.Timer
	gap   time.Duration
}

// Read implements io.Reader.
func (w *watchedReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	w.timer.Reset(w.gap)
	return n, err
}

// ResponseMismatchError says that an endpoint answered another attempt's request.
type ResponseMismatchError struct {
	Endpoint string
	Want     string
	Got      string
}

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("endpoint %s echoed attempt %q instead of %q", e.Endpoint, e.Got, e.Want)
}

// ResponseTooLongError says that an endpoint's answer is longer than the limit.
type ResponseTooLongError struct {
	Endpoint string
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *ResponseTooLongError) Error() string {
	return fmt.Sprintf("endpoint %s answered more than %d bytes", e.Endpoint, e.Limit)
}
