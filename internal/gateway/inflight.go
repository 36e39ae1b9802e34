package gateway

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

// wait returns a channel that is closed while no request is under way, and the
// number of requests under way.
func (f *inFlight) wait() (<-chan struct{}, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.idle, f.n
}

// InFlight returns the number of requests under way and a channel that is
// closed when there are none.
func (g *Gateway) InFlight() (<-chan struct{}, int) { return g.inFlight.wait() }
