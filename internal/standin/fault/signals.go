package fault

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/httpmeta"
)

// Signals let an endpoint say in its responses that it is leaving or wants no requests
// for a while. The zero value says nothing. It is safe for concurrent use.
type Signals struct {
	mu          sync.Mutex
	leaving     bool
	pausedUntil time.Time
	turnedAway  []time.Time
}

// SetLeaving lets all further responses say that the endpoint is leaving.
func (s *Signals) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Pause lets the endpoint turn away all requests for the given time, with the time that
// is left.
func (s *Signals) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// TurnedAway returns when requests were turned away.
func (s *Signals) TurnedAway() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.turnedAway...)
}

// Middleware applies the signals to the responses of next. attemptHeader is the header
// by which responses name their request.
func (s *Signals) Middleware(attemptHeader string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.leaving {
			w.Header().Set(httpmeta.HeaderLeaving, "1")
		}
		now := time.Now()
		remaining := s.pausedUntil.Sub(now)
		if remaining > 0 {
			s.turnedAway = append(s.turnedAway, now)
		}
		s.mu.Unlock()
		if remaining > 0 {
			// A caller that is still sending when the connection closes may miss the response.
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(attemptHeader, r.Header.Get(attemptHeader))
			w.Header().Set("Retry-After", fmt.Sprintf("%.3f", remaining.Seconds()))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}
