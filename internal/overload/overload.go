// Package overload decides which requests a gateway refuses at once while more arrives than its
// processor can serve. Without a bound requests wait unread until their callers give up, and news
// of endpoints and configurations waits with them.
package overload

import (
	"sync"
	"time"
)

const (
	// Target is the lag that is tolerated: little of the time in which short requests are
	// served.
	Target = 50 * time.Millisecond
	// interval is the time between two changes of the share that is refused.
	interval = 100 * time.Millisecond
	// A lag that exceeds Target for standing without a break shows a standing queue; a process
	// that stood still for a moment works off what waits. The overload is over once the lag
	// has been below Target for calm, whatever is refused until then.
	standing = 3 * interval
	calm     = 5 * interval
	// minServed is the number of requests that are served in each interval whatever the lag:
	// so few don't cause it.
	minServed = 2
	// While the lag exceeds Target and doesn't fall, the share grows each interval by growth for
	// each Target of lag, by at most maxGrowth; below Target it shrinks by shrinkage.
	growth     = 0.05
	maxGrowth  = 0.3
	shrinkage  = 0.06
	maxRefused = 0.95
	// priorities is the number of priorities; 0 is the most urgent.
	priorities = 10
)

// Shedder refuses a share of the requests while a queue stands before a process, the least urgent
// first. It is safe for concurrent use.
type Shedder struct {
	mu sync.Mutex
	// begunAt is when the current interval began. wasBelow is set if the lag was below Target in
	// it, and served counts the requests that were served in it.
	begunAt  time.Time
	wasBelow bool
	served   int
	// lateFor and calmFor are for how long the lag has been above Target or not, until the
	// current interval.
	lateFor, calmFor time.Duration
	isOverloaded     bool
	// lastLag is the lag at the end of the last interval.
	lastLag time.Duration

	share    float64
	arrivals [priorities]int
	// shares are the parts of the requests of each priority to be refused, debts what is left
	// of them after the requests that were refused.
	shares, debts [priorities]float64
}

// Admit reports whether a request of the given priority is served, for a lag at now.
func (s *Shedder) Admit(priority int, lag time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endInterval(lag, now)
	s.wasBelow = s.wasBelow || lag <= Target
	p := min(max(priority, 0), priorities-1)
	s.arrivals[p]++
	if !s.isOverloaded || s.served < minServed || !s.refuses(p) {
		s.served++
		return true
	}
	return false
}

// refuses reports whether a request of priority p is among those to be refused. s.mu has to be
// held.
func (s *Shedder) refuses(p int) bool {
	// Few requests of a priority don't save up refusals.
	s.debts[p] = min(s.debts[p]+s.shares[p], 2)
	if s.debts[p] < 1 {
		return false
	}
	s.debts[p]--
	return true
}

// endInterval ends the current interval if it is over. s.mu has to be held.
func (s *Shedder) endInterval(lag time.Duration, now time.Time) {
	passed := now.Sub(s.begunAt)
	if passed < interval {
		return
	}
	if passed >= standing {
		// Too few requests have come to know what the lag was.
		s.lateFor = 0
	}
	if s.wasBelow {
		s.lateFor, s.calmFor = 0, s.calmFor+passed
		s.share = max(s.share-shrinkage*float64(passed)/float64(interval), 0)
	} else {
		s.lateFor, s.calmFor = s.lateFor+min(passed, interval), 0
		if lag >= s.lastLag {
			s.share = min(s.share+min(growth*float64(lag)/float64(Target), maxGrowth), maxRefused)
		}
	}
	s.lastLag = lag
	switch {
	case s.lateFor >= standing:
		s.isOverloaded = true
	case s.calmFor >= calm:
		s.isOverloaded = false
	}
	if !s.isOverloaded {
		s.share = 0
	}
	s.divide()
	s.begunAt, s.wasBelow, s.served = now, false, 0
}

// divide divides the share among the priorities by what arrived in the interval. s.mu has to be
// held.
func (s *Shedder) divide() {
	total := 0
	for _, n := range s.arrivals {
		total += n
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
