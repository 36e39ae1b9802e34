package edge

import "time"

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
