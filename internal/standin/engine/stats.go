package engine

import (
	"sync"
	"time"
)

// maxAttempts bounds the attempts that are remembered one by one.
const maxAttempts = 1 << 14

// AttemptStats is what the engine did for one attempt.
type AttemptStats struct {
	RequestID string `json:"request_id"`
	// FirstSeq is the number of the first token asked for.
	FirstSeq int `json:"from"`
	Tokens   int `json:"tokens"`
	// Cancelled says that a closed connection or an order ended the work.
	Cancelled bool `json:"cancelled"`
	Completed bool `json:"whole"`
}

// Stats is what the engine has done so far.
type Stats struct {
	Attempts  int `json:"attempts"`
	InFlight  int `json:"in_flight"`
	Completed int `json:"whole"`
	Cancelled int `json:"cancelled"`
	// CancelOrders counts the cancel orders that came.
	CancelOrders int `json:"cancel_orders"`
	Tokens       int `json:"tokens"`
	// TokensAfterCancel counts tokens made for attempts already cancelled.
	TokensAfterCancel int `json:"tokens_after_cancel"`
	// AttemptsAfterLeaving counts the attempts that came after the engine began to
	// leave; LatestAfterLeaving is how long after it the last of them came.
	AttemptsAfterLeaving     int                     `json:"after_leaving"`
	LatestAfterLeavingMillis int64                   `json:"latest_after_leaving_ms"`
	ByAttempt                map[string]AttemptStats `json:"by_attempt,omitempty"`
}

type stats struct {
	mu      sync.Mutex
	total   Stats
	byID    map[string]*AttemptStats
	order   []string
	leaving time.Time
}

func newStats() *stats { return &stats{byID: make(map[string]*AttemptStats)} }

func (s *stats) begin(id, requestID string, from int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.Attempts++
	s.total.InFlight++
	if !s.leaving.IsZero() {
		s.total.AttemptsAfterLeaving++
		s.total.LatestAfterLeavingMillis = now.Sub(s.leaving).Milliseconds()
	}
	if len(s.order) >= maxAttempts {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
	s.byID[id] = &AttemptStats{RequestID: requestID, FirstSeq: from}
	s.order = append(s.order, id)
}

func (s *stats) update(id string, fn func(a *AttemptStats, total *Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byID[id]
	if a == nil {
		a = &AttemptStats{}
	}
	fn(a, &s.total)
}

func (s *stats) token(id string) {
	s.update(id, func(a *AttemptStats, total *Stats) {
		a.Tokens++
		total.Tokens++
		if a.Cancelled {
			total.TokensAfterCancel++
		}
	})
}

func (s *stats) cancelled(id string) {
	s.update(id, func(a *AttemptStats, total *Stats) {
		if !a.Cancelled && !a.Completed {
			a.Cancelled = true
			total.Cancelled++
		}
	})
}

func (s *stats) end(id string, whole bool) {
	s.update(id, func(a *AttemptStats, total *Stats) {
		total.InFlight--
		if whole {
			a.Completed = true
			total.Completed++
		}
	})
}

func (s *stats) countOrder() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.CancelOrders++
}

func (s *stats) leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.IsZero() {
		s.leaving = now
	}
}

func (s *stats) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total.InFlight
}

func (s *stats) snapshot() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.total
	w.ByAttempt = make(map[string]AttemptStats, len(s.byID))
	for id, a := range s.byID {
		w.ByAttempt[id] = *a
	}
	return w
}
