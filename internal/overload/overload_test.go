package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/overload"
)

// machine is a machine that can serve a number of requests in each step of 10 ms and keeps the
// others waiting; refusing one costs a part of serving it.
type machine struct {
	capacity, refusalCost float64
	backlog               []int
	now                   time.Time
	shedder               overload.Shedder
	served, refused       map[int]int
	worstLag              time.Duration
}

const step = 10 * time.Millisecond

func newMachine(capacity float64) *machine {
	return &machine{capacity: capacity, refusalCost: 0.2, now: time.Now(), served: map[int]int{}, refused: map[int]int{}}
}

func (m *machine) lag() time.Duration {
	return time.Duration(float64(len(m.backlog)) / m.capacity * float64(step))
}

// run plays steps in which requests of the given priorities arrive.
func (m *machine) run(steps int, arrivals func(step int) []int) {
	for i := range steps {
		m.now = m.now.Add(step)
		m.backlog = append(m.backlog, arrivals(i)...)
		for budget := m.capacity; budget > 0 && len(m.backlog) > 0; {
			p := m.backlog[0]
			m.backlog = m.backlog[1:]
			if m.shedder.Admit(p, m.lag(), m.now) {
				m.served[p]++
				budget--
				continue
			}
			m.refused[p]++
			budget -= m.refusalCost
		}
		m.worstLag = max(m.worstLag, m.lag())
	}
}

func repeated(counts map[int]int) []int {
	var out []int
	for _, p := range []int{1, 3, 5} {
		for range counts[p] {
			out = append(out, p)
		}
	}
	return out
}

func TestNothingIsRefusedInCalm(t *testing.T) {
	m := newMachine(10)
	m.run(1000, func(int) []int { return repeated(map[int]int{1: 4, 5: 5}) })
	require.Empty(t, m.refused)
}

// TestBurstLeavesNoLongQueue plays a burst of three times the capacity for five seconds.
func TestBurstLeavesNoLongQueue(t *testing.T) {
	m := newMachine(10)
	m.run(100, func(int) []int { return repeated(map[int]int{1: 2, 3: 2, 5: 4}) })
	m.worstLag = 0
	m.run(50, func(int) []int { return repeated(map[int]int{1: 6, 3: 8, 5: 16}) })
	m.worstLag = 0
	served := m.served[1]
	m.run(450, func(int) []int { return repeated(map[int]int{1: 6, 3: 8, 5: 16}) })
	require.Less(t, m.worstLag, 300*time.Millisecond)
	require.Greater(t, float64(m.served[1]-served), 0.7*450*6, "the most urgent fit")
	require.Greater(t, m.refused[5], m.refused[3])
	require.Greater(t, m.refused[3], m.refused[1])
	m.run(600, func(int) []int { return repeated(map[int]int{1: 2, 3: 2, 5: 4}) })
	clear(m.refused)
	m.run(100, func(int) []int { return repeated(map[int]int{1: 2, 3: 2, 5: 4}) })
	require.Empty(t, m.refused, "the burst is over")
}

// TestOneLatePauseRefusesLittle plays a process that stands still for half a second.
func TestOneLatePauseRefusesLittle(t *testing.T) {
	m := newMachine(10)
	arrivals := func(int) []int { return repeated(map[int]int{1: 2, 5: 2}) }
	m.run(100, arrivals)
	for range 50 {
		m.backlog = append(m.backlog, arrivals(0)...)
	}
	m.run(1000, arrivals)
	require.Less(t, m.refused[1]+m.refused[5], 250, "of those that waited and came within some seconds")
	clear(m.refused)
	m.run(100, arrivals)
	require.Empty(t, m.refused)
}
