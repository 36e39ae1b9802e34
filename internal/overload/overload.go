// Package overload decides which requests a gateway refuses at once while it is behind its
// sockets. It answers the load that exceeds the processor of one machine: without a bound,
// requests wait unread until their callers give up, and work goes on for callers that have left.
package overload

import (
	"sync"
	"time"
)

const (
	// Target is the lag that is tolerated: little of the time in which short requests are
	// served.
	Target = 50 * time.Millisecond
	// The share that is refused changes every interval: it grows, in proportion to the lag,
	// while that exceeds Target, and shrinks more slowly, so that it settles. Some requests are
	// always served, which show what the gateway can do.
	interval        = 100 * time.Millisecond
	growthPerTarget = 0.05
	maxGrowth       = 0.4
	shrinkage       = 0.04
	maxRefused      = 0.95
	// priorities is the number of priorities; 0 is the most urgent.
	priorities = 10
)

// Shedder refuses a share of the requests that follows the lag, the least urgent first. It is
// safe for concurrent use.
type Shedder struct {
	mu       sync.Mutex
	share    float64
	changed  time.Time
	arrivals [priorities]int
	// shares are the parts of the requests of each priority to be refused, debts what is left
	// of them after the requests that were refused.
	shares, debts [priorities]float64
}

// Admit reports whether a request of the given priority is served, for a lag at now.
func (s *Shedder) Admit(priority int, lag time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adjust(lag, now)
	p := min(max(priority, 0), priorities-1)
	s.arrivals[p]++
	if s.shares[p] == 0 {
		s.debts[p] = 0
		return true
	}
	s.debts[p] += s.shares[p]
	if s.debts[p] < 1 {
		return true
	}
	s.debts[p]--
	return false
}

// adjust changes the share once each interval. The caller holds the lock.
func (s *Shedder) adjust(lag time.Duration, now time.Time) {
	passed := now.Sub(s.changed)
	if passed < interval {
		return
	}
	s.changed = now
	if lag > Target {
		s.share = min(s.share+min(growthPerTarget*float64(lag)/float64(Target), maxGrowth), maxRefused)
	} else {
		s.share = max(s.share-shrinkage*float64(passed)/float64(interval), 0)
	}
	s.divide()
}

// divide divides the share among the priorities by what arrived since the last change. The
// caller holds the lock.
func (s *Shedder) divide() {
	total := 0
	for _, n := range s.arrivals {
		total += n
	}
	if total == 0 {
		// Nothing is known of the mix.
		for p := range s.shares {
			s.shares[p] = s.share
		}
		return
	}
	left := s.share * float64(total)
	for p := priorities - 1; p >= 0; p-- {
		n := float64(s.arrivals[p])
		s.arrivals[p] = 0
		refused := min(left, n)
		left -= refused
		switch {
		case n > 0:
			s.shares[p] = refused / n
		case left > 0:
			s.shares[p] = 1
		default:
			s.shares[p] = 0
		}
	}
}
