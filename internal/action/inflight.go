package action

import (
	"context"
	"sync"
)

// inFlightCounter counts the actions in flight and can wait until there are
// none.
type inFlightCounter struct {
	mu sync.Mutex
	n  int
	// idle is closed when n drops to 0. It is nil while nobody waits.
	idle chan struct{}
}

func (f *inFlightCounter) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

func (f *inFlightCounter) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait waits until nothing is in flight or ctx is done. It returns the number
// of actions still in flight.
func (f *inFlightCounter) wait(ctx context.Context) int {
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
