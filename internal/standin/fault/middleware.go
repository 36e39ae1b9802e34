package fault

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

// swapTimeout is how long a request waits for another one to swap responses with.
const swapTimeout = time.Second

// Middleware returns a handler that applies the switches to the requests of next.
func (s *Switches) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(r) {
			panic(http.ErrAbortHandler)
		}
		s.serve(w, r, next)
	})
}

// admit applies the switches that act before a request is processed. It returns
// false if the request must be dropped.
func (s *Switches) admit(r *http.Request) bool {
	if d, ok := s.Consume(Delay, r.Method, r.URL.Path); ok && !sleep(r.Context(), d.Delay()) {
		return false
	}
	if !s.waitWhileFrozen(r) {
		return false
	}
	_, drop := s.Consume(DropRequest, r.Method, r.URL.Path)
	return !drop
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitWhileFrozen waits while Freeze applies. It returns false if the caller has
// gone before.
func (s *Switches) waitWhileFrozen(r *http.Request) bool {
	for {
		frozen, changed := s.active(Freeze, r.Method, r.URL.Path)
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// serve processes an admitted request and applies the switches to its response.
func (s *Switches) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if _, ok := s.Consume(DropResponse, r.Method, r.URL.Path); ok {
		next.ServeHTTP(newResponseRecorder(), r.WithContext(context.WithoutCancel(r.Context())))
		panic(http.ErrAbortHandler)
	}
	if _, ok := s.Consume(SwapResponses, r.Method, r.URL.Path); ok {
		s.swapResponses(w, r, next)
		return
	}
	if t, ok := s.Consume(Truncate, r.Method, r.URL.Path); ok {
		w = &truncatingWriter{ResponseWriter: w, maxBytes: t.Bytes, maxFlushes: t.Chunks}
	}
	next.ServeHTTP(w, r)
}

// responseRecorder keeps a response in memory.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newResponseRecorder() *responseRecorder {
	return &responseRecorder{header: http.Header{}, status: http.StatusOK}
}

func (r *responseRecorder) Header() http.Header         { return r.header }
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }
func (r *responseRecorder) WriteHeader(status int)      { r.status = status }
func (r *responseRecorder) Flush()                      {}

func (r *responseRecorder) copyTo(w http.ResponseWriter) {
	for k, v := range r.header {
		w.Header()[k] = v
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}

// responseSwap is a response that waits for another one to be swapped with.
type responseSwap struct {
	own *responseRecorder
	// other delivers the response of the other request; its capacity is 1.
	other chan *responseRecorder
}

// swapResponses sends the response of another request in place of the own one.
func (s *Switches) swapResponses(w http.ResponseWriter, r *http.Request, next http.Handler) {
	own := newResponseRecorder()
	next.ServeHTTP(own, r)
	first, mine := s.pairOrWait(own)
	if first != nil {
		first.other <- own
		first.own.copyTo(w)
		return
	}
	s.awaitOther(mine).copyTo(w)
}

// pairOrWait returns the waiting response as first, or registers own as the waiting
// one and returns it as mine.
func (s *Switches) pairOrWait(own *responseRecorder) (first, mine *responseSwap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitingSwap != nil {
		first, s.waitingSwap = s.waitingSwap, nil
		return first, nil
	}
	s.waitingSwap = &responseSwap{own: own, other: make(chan *responseRecorder, 1)}
	return nil, s.waitingSwap
}

// awaitOther waits for the response of another request. It returns the own one if
// none comes within swapTimeout.
func (s *Switches) awaitOther(mine *responseSwap) *responseRecorder {
	timer := time.NewTimer(swapTimeout)
	defer timer.Stop()
	select {
	case other := <-mine.other:
		return other
	case <-timer.C:
	}
	if s.withdraw(mine) {
		return mine.own
	}
	return <-mine.other
}

// withdraw ends the wait. It returns false if another request has already taken
// the response and will send its own.
func (s *Switches) withdraw(mine *responseSwap) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitingSwap != mine {
		return false
	}
	s.waitingSwap = nil
	return true
}

// truncatingWriter closes the connection after a number of bytes or of flushes; 0
// means no limit.
type truncatingWriter struct {
	http.ResponseWriter
	maxBytes     int64
	maxFlushes   int
	writtenBytes int64
	flushes      int
}

func (t *truncatingWriter) Write(p []byte) (int, error) {
	if t.maxBytes > 0 && t.writtenBytes+int64(len(p)) > t.maxBytes {
		_, _ = t.ResponseWriter.Write(p[:t.maxBytes-t.writtenBytes])
		t.abort()
	}
	n, err := t.ResponseWriter.Write(p)
	t.writtenBytes += int64(n)
	return n, err
}

// Flush implements http.Flusher.
func (t *truncatingWriter) Flush() {
	_ = http.NewResponseController(t.ResponseWriter).Flush()
	t.flushes++
	if t.maxFlushes > 0 && t.flushes >= t.maxFlushes {
		t.abort()
	}
}

// abort sends what was written and closes the connection. It doesn't return.
func (t *truncatingWriter) abort() {
	_ = http.NewResponseController(t.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
