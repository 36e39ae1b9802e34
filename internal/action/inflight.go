package action

import (
	"context"
	"sync"
)

// inflight counts the actions that are being run and tells when there is none.
type inflight struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

func (f *inflight) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

func (f *inflight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait returns when nothing is in flight or ctx is done, and the number of
// actions still in flight.
func (f *inflight) wait(ctx context.Context) int {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return 0
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
