// Package readlag measures how long bytes that have arrived at this process wait until it reads
// them. A process that is short of processor time reads late, and its own clocks don't show it:
// timers are served before sockets.
package readlag

import (
	"sync"
	"time"
)

// MaxLag is the largest lag that is reported. A probe that takes longer counts as lost.
const MaxLag = 3 * time.Second

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

// Meter computes the lag from probes that the process sends to itself, one at a time. It is
// safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// outstanding is the number of the probe that has not arrived yet; 0 for none.
	outstanding uint64
	sentAt      time.Time
	number      uint64
	last        time.Duration
}

// Send returns the number of the probe to be sent now, and false while another one is on its
// way.
func (m *Meter) Send(now time.Time) (number uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outstanding != 0 && now.Sub(m.sentAt) < MaxLag {
		return 0, false
	}
	m.number++
	m.outstanding, m.sentAt = m.number, now
	return m.number, true
}

// Receive records the arrival of a probe.
func (m *Meter) Receive(number uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if number == 0 || number != m.outstanding {
		return
	}
	m.outstanding = 0
	m.last = min(now.Sub(m.sentAt), MaxLag)
}

// Lag returns the lag at now, at most MaxLag: that of the last probe, or the age of the one
// that has not arrived yet if that is longer. It is 0 before the first probe.
func (m *Meter) Lag(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outstanding == 0 {
		return m.last
	}
	return min(max(m.last, now.Sub(m.sentAt)), MaxLag)
}
