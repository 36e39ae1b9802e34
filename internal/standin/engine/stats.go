package engine

import (
	"sync"
	"time"
)

// maxAttempts bounds the attempts with statistics of their own; beyond it the
// oldest are dropped from Stats.ByAttempt.
const maxAttempts = 1 << 14

// AttemptStats describes the engine's work on one attempt.
type AttemptStats struct {
	RequestID string `json:"request_id"`
	// FirstSeq is the number of the first requested token, above 0 for a resumed
	// stream.
	FirstSeq int `json:"from"`
	Tokens   int `json:"tokens"`
	// Cancelled is set if a closed connection, a cancel request or a fault ended
	// the attempt early.
	Cancelled bool `json:"cancelled"`
	// Completed is set if the response was sent completely, or ended cleanly by a
	// chunk fault.
	Completed bool `json:"whole"`
}

// Stats describes the engine's work since its start.
type Stats struct {
	Attempts  int `json:"attempts"`
	InFlight  int `json:"in_flight"`
	Completed int `json:"whole"`
	Cancelled int `json:"cancelled"`
	// CancelOrders counts the cancel requests.
	CancelOrders int `json:"cancel_orders"`
	Tokens       int `json:"tokens"`
	// TokensAfterCancel counts tokens generated for attempts after their
	// cancellation.
	TokensAfterCancel int `json:"tokens_after_cancel"`
	// AttemptsAfterLeaving counts the attempts that arrived after the engine began
	// to leave; LatestAfterLeavingMillis is the time from then to the last of them.
	AttemptsAfterLeaving     int                     `json:"after_leaving"`
	LatestAfterLeavingMillis int64                   `json:"latest_after_leaving_ms"`
	ByAttempt                map[string]AttemptStats `json:"by_attempt,omitempty"`
}

// statsRecorder collects Stats.
type statsRecorder struct {
	mu    sync.Mutex
	total Stats
	byID  map[string]*AttemptStats
	// attemptIDs holds the keys of byID, oldest first.
	attemptIDs []string
	// leavingSince is zero until the engine begins to leave.
	leavingSince time.Time
}

func newStatsRecorder() *statsRecorder { return &statsRecorder{byID: make(map[string]*AttemptStats)} }

func (s *statsRecorder) recordStart(id, requestID string, firstSeq int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.Attempts++
	s.total.InFlight++
	if !s.leavingSince.IsZero() {
		s.total.AttemptsAfterLeaving++
		s.total.LatestAfterLeavingMillis = now.Sub(s.leavingSince).Milliseconds()
	}
	if len(s.attemptIDs) >= maxAttempts {
		delete(s.byID, s.attemptIDs[0])
		s.attemptIDs = s.attemptIDs[1:]
	}
	s.byID[id] = &AttemptStats{RequestID: requestID, FirstSeq: firstSeq}
	s.attemptIDs = append(s.attemptIDs, id)
}

// update calls fn with the attempt's statistics and the totals, under the lock.
// An attempt that was dropped still counts in the totals.
func (s *statsRecorder) update(id string, fn func(a *AttemptStats, total *Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byID[id]
	if a == nil {
		a = &AttemptStats{}
	}
	fn(a, &s.total)
}

func (s *statsRecorder) recordToken(id string) {
	s.update(id, func(a *AttemptStats, total *Stats) {
		a.Tokens++
		total.Tokens++
		if a.Cancelled {
			total.TokensAfterCancel++
		}
	})
}

func (s *statsRecorder) recordCancelled(id string) {
	s.update(id, func(a *AttemptStats, total *Stats) {
		if !a.Cancelled && !a.Completed {
			a.Cancelled = true
			total.Cancelled++
		}
	})
}

func (s *statsRecorder) recordEnd(id string, completed bool) {
	s.update(id, func(a *AttemptStats, total *Stats) {
		total.InFlight--
		if completed {
			a.Completed = true
			total.Completed++
		}
	})
}

func (s *statsRecorder) recordCancelOrder() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.CancelOrders++
}

func (s *statsRecorder) recordLeaving(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		s.leavingSince = now
	}
}

func (s *statsRecorder) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total.InFlight
}

func (s *statsRecorder) snapshot() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.total
	w.ByAttempt = make(map[string]AttemptStats, len(s.byID))
	for id, a := range s.byID {
		w.ByAttempt[id] = *a
	}
	return w
}
