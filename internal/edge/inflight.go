package edge

import "sync"

// inFlight counts the requests under way and tells when there are none.
type inFlight struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

func newInFlight() *inFlight {
	idle := make(chan struct{})
	close(idle)
	return &inFlight{idle: idle}
}

func (f *inFlight) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n == 0 {
		f.idle = make(chan struct{})
	}
	f.n++
}

func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 {
		close(f.idle)
	}
}

func (f *inFlight) wait() (<-chan struct{}, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.idle, f.n
}
