// Package readlag measures how long bytes that have arrived at this process wait until it reads
// them. A process that is short of processor time reads late, and its own clocks don't show it:
// timers are served before sockets.
package readlag

import (
	"sync"
	"time"
)

// Func returns the lag at now.
type Func func(now time.Time) time.Duration

// awaitedEvents is how often a call waits for its socket: for the connection, the header and
// the body.
const awaitedEvents = 3

// Extend returns timeout, the limit on the duration of a call, with the time for which the call
// may wait unread. A process that is behind would otherwise give up responses that have arrived,
// each time anew. A nil Func stands for no lag.
func (f Func) Extend(timeout time.Duration) time.Duration {
	if f == nil {
		return timeout
	}
	return timeout + awaitedEvents*f(time.Now())
}

// maxOutstanding bounds the probes that have not arrived yet, and with them the lag that is
// reported: a probe beyond it counts as lost.
const maxOutstanding = 30

// Meter computes the lag from probes that the process sends to itself in regular intervals. It is
// safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// sent holds when the probes were sent that have not arrived yet, the oldest first; next
	// is the number of the probe after them.
	sent []time.Time
	next uint64
	last time.Duration
}

// Send returns the number of the probe that is sent now.
func (m *Meter) Send(now time.Time) (number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sent) == maxOutstanding {
		m.sent = m.sent[1:]
	}
	m.sent = append(m.sent, now)
	m.next++
	return m.next - 1
}

// Receive records the arrival of a probe. Earlier ones that have not arrived are lost.
func (m *Meter) Receive(number uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if oldest := m.next - uint64(len(m.sent)); number >= oldest && number < m.next {
		m.last = now.Sub(m.sent[number-oldest])
		m.sent = m.sent[number-oldest+1:]
	}
}

// Lag returns the lag at now: that of the last probe, or the age of the oldest one that has not
// arrived yet if that is longer. It is 0 before the first probe.
func (m *Meter) Lag(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sent) == 0 {
		return m.last
	}
	return max(m.last, now.Sub(m.sent[0]))
}
