package httpmeta

import (
	"net/http"
	"time"
)

// HeaderLeaving is "1" in every response of an endpoint that is leaving, where the
// endpoint speaks the gateway's own protocol.
const HeaderLeaving = "X-Leaving"

// Signals are what a response says of its endpoint.
type Signals struct {
	// Leaving says that the endpoint wants no new requests.
	Leaving bool
	// Pause is the time for which it wants none from this gateway; 0 for no pause.
	Pause time.Duration
}

// ReadSignals returns what a response with the given status and header says of its
// endpoint. An error is that of PauseOf.
func ReadSignals(status int, h http.Header) (Signals, error) {
	pause, err := PauseOf(status, h)
	return Signals{Leaving: h.Get(HeaderLeaving) == "1", Pause: pause}, err
}

// PauseOf returns the time for which the endpoint of a response wants no requests: that
// of Retry-After, if it turns the request away. The error is that of RetryAfter.
func PauseOf(status int, h http.Header) (time.Duration, error) {
	if status != http.StatusServiceUnavailable {
		return 0, nil
	}
	return RetryAfter(h)
}
