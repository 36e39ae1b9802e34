package edge

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// readLag returns how long bytes that are read at now have waited at most.
func (e *Edge) readLag(now time.Time) time.Duration {
	if e.ReadLag == nil {
		return 0
	}
	return e.ReadLag(now)
}

// arrivalTime returns when a request whose header is read at now may have arrived. Deadlines are
// counted from then: a gateway that reads late must not work on for callers that have left.
func (e *Edge) arrivalTime(now time.Time) time.Time { return now.Add(-e.readLag(now)) }

var requestsShed = telemetry.NewCounter("route_shed", "requests", "route requests refused because this gateway was behind its sockets")

// shedRetryDelay is the least Retry-After of a gateway that is behind: a queue that stands lasts
// longer.
const shedRetryDelay = 250 * time.Millisecond

// overloadRefusal returns the refusal of a request that this gateway is too far behind to serve,
// nil for all others. The request's route is known, its body hasn't been read. The rest of a stream
// isn't refused: the caller has a part of it.
func (s *session) overloadRefusal() error {
	if s.req.LastEventID != "" || s.forwarded != nil && s.forwarded.LastEventID != "" {
		return nil
	}
	now := time.Now()
	lag := s.edge.readLag(now)
	if s.edge.shedder.Admit(s.priority(), lag, now) {
		return nil
	}
	requestsShed.Inc()
	return failure.Refuse(failure.CodeOverloaded, "the gateway is %d ms behind its sockets", lag.Milliseconds()).
		WithRetryAfter(max(2*lag, shedRetryDelay))
}
