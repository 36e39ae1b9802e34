package fault

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

// swapTimeout is how long a request waits for another one to swap answers with.
const swapTimeout = time.Second

// Middleware applies the switches to every request of next.
func (s *Switches) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(r) {
			panic(http.ErrAbortHandler)
		}
		s.serve(w, r, next)
	})
}

// admit applies the switches that act before processing; false drops the
// request.
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

// waitWhileFrozen waits while Freeze is on.
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

// responseRecorder keeps an answer in memory.
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

// responseSwap is an answer that waits for another one to be swapped with.
type responseSwap struct {
	own   *responseRecorder
	other chan *responseRecorder
}

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

// pairOrWait takes the waiting answer, or leaves own to wait for another one.
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

// awaitOther waits for another answer and returns it, or the own one when none comes.
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

// withdraw ends the wait and says whether nobody had taken the answer.
func (s *Switches) withdraw(mine *responseSwap) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitingSwap != mine {
		return false
	}
	s.waitingSwap = nil
	return true
}

// truncatingWriter cuts the connection after a number of bytes or flushes.
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

func (t *truncatingWriter) abort() {
	_ = http.NewResponseController(t.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
