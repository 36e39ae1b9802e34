package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/overload"
)

const step = 10 * time.Millisecond

// queued is a request that has not been read yet.
type queued struct {
	priority  int
	arrivedAt time.Time
}

// machine serves a number of requests in each step and keeps the others waiting; refusing one costs
// a part of serving it. Its lag is that of a probe, ten times a second.
type machine struct {
	capacity, refusalCost float64
	backlog               []queued
	now                   time.Time
	shedder               overload.Shedder
	probeLag              time.Duration
	served, refused       map[int]int
	worstWait             time.Duration
}

func newMachine(capacity float64) *machine {
	return &machine{capacity: capacity, refusalCost: 0.2, now: time.Now(), served: map[int]int{}, refused: map[int]int{}}
}

// run plays steps in which requests of the given priorities arrive.
func (m *machine) run(steps int, arrivals func(step int) []int) {
	for i := range steps {
		m.now = m.now.Add(step)
		for _, p := range arrivals(i) {
			m.backlog = append(m.backlog, queued{p, m.now})
		}
		if i%10 == 0 {
			m.probeLag = 0
			if len(m.backlog) > 0 {
				m.probeLag = m.now.Sub(m.backlog[0].arrivedAt)
			}
		}
		for budget := m.capacity; budget > 0 && len(m.backlog) > 0; {
			r := m.backlog[0]
			m.backlog = m.backlog[1:]
			m.worstWait = max(m.worstWait, m.now.Sub(r.arrivedAt))
			if m.shedder.Admit(r.priority, m.probeLag, m.now) {
				m.served[r.priority]++
				budget--
				continue
			}
			m.refused[r.priority]++
			budget -= m.refusalCost
		}
	}
}

func repeated(counts map[int]int) func(int) []int {
	var out []int
	for _, p := range []int{1, 3, 5} {
		for range counts[p] {
			out = append(out, p)
		}
	}
	return func(int) []int { return out }
}

func TestNothingIsRefusedInCalm(t *testing.T) {
	m := newMachine(10)
	m.run(1000, repeated(map[int]int{1: 4, 5: 5}))
	require.Empty(t, m.refused)
}

// TestBurstLeavesNoLongQueue guards against requests that wait unread for half a second, after
// which work for callers that have left counts as such.
func TestBurstLeavesNoLongQueue(t *testing.T) {
	for _, load := range []int{2, 3, 4} {
		m := newMachine(10)
		normal := repeated(map[int]int{1: 2, 3: 2, 5: 4})
		burst := repeated(map[int]int{1: 2 * load, 3: 2 * load, 5: 6 * load})
		m.run(100, normal)
		m.run(100, burst)
		m.worstWait = 0
		clear(m.served)
		clear(m.refused)
		m.run(400, burst)
		require.Less(t, m.worstWait, 500*time.Millisecond, "load %d", load)
		// fit is what a step can serve if all the rest of 10 for each unit of load is refused.
		fit := (m.capacity - m.refusalCost*float64(10*load)) / (1 - m.refusalCost)
		require.Greater(t, float64(m.served[1]), 400*0.7*min(fit, float64(2*load)), "load %d: the most urgent", load)
		require.Greater(t, float64(m.served[1]+m.served[3]+m.served[5]), 400*0.7*fit, "load %d", load)
		require.Greater(t, m.refused[5], m.refused[3])
		m.run(300, normal)
		clear(m.refused)
		m.run(100, normal)
		require.Empty(t, m.refused, "load %d: the burst is over", load)
	}
}

// TestPauseRefusesNothing guards against refusals after a process stood still for a moment: what
// waits is worked off without.
func TestPauseRefusesNothing(t *testing.T) {
	for _, pause := range []int{5, 20, 50} {
		m := newMachine(10)
		arrivals := repeated(map[int]int{1: 1, 5: 2})
		m.run(100, arrivals)
		for range pause {
			m.now = m.now.Add(step)
			for _, p := range arrivals(0) {
				m.backlog = append(m.backlog, queued{p, m.now})
			}
		}
		m.run(1000, arrivals)
		require.Empty(t, m.refused, "pause of %d steps", pause)
	}
}

// TestFewRequestsAreServed guards against refusals for callers who come one at a time, when it is
// other processes that take the processor.
func TestFewRequestsAreServed(t *testing.T) {
	var s overload.Shedder
	now := time.Now()
	for range 500 {
		now = now.Add(60 * time.Millisecond)
		require.True(t, s.Admit(5, 3*time.Second, now))
	}
}

// TestRefusalsEndSoonAfterTheOverload guards against refusals that go on while nothing waits.
func TestRefusalsEndSoonAfterTheOverload(t *testing.T) {
	var s overload.Shedder
	now := time.Now()
	refused := 0
	for range 2000 {
		now = now.Add(time.Millisecond)
		if !s.Admit(5, time.Second, now) {
			refused++
		}
	}
	require.Positive(t, refused)
	for range 700 {
		now = now.Add(time.Millisecond)
		s.Admit(5, 0, now)
	}
	for range 2000 {
		now = now.Add(time.Millisecond)
		require.True(t, s.Admit(5, 0, now))
	}
}

// TestOneLateProbeRefusesNothing guards against refusals for a hiccup, also under many requests.
func TestOneLateProbeRefusesNothing(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
		var s overload.Shedder
		start := time.Now()
		for at := time.Duration(0); at < 3*time.Second; at += time.Millisecond {
			lag := time.Duration(0)
			if at >= time.Second && at < time.Second+late {
				lag = 2 * time.Second
			}
			require.True(t, s.Admit(5, lag, start.Add(at)))
		}
	}
}
