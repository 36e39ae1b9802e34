package relay

import (
	"context"
	"sync"
	"time"
)

// watchdog cancels an attempt on which nothing has arrived within the timeout of
// its current phase. The cause is a *SilenceTimeoutError.
type watchdog struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu    sync.Mutex
	armed bool
	phase Phase
	limit time.Duration
}

func newWatchdog(cancel context.CancelCauseFunc, phase Phase, limit time.Duration) *watchdog {
	w := &watchdog{cancel: cancel, armed: true, phase: phase, limit: limit}
	w.timer = time.AfterFunc(limit, w.expire)
	return w
}

// arm starts the timeout of a phase and replaces the one before.
func (w *watchdog) arm(phase Phase, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = true
	w.phase = phase
	w.limit = limit
	w.timer.Reset(limit)
}

// disarm stops the timeout.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
}

func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.armed {
		w.cancel(&SilenceTimeoutError{Phase: w.phase, Limit: w.limit})
	}
}
