package fault

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

// crossWait is how long a request waits for another one to swap answers with.
const crossWait = time.Second

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
	if !s.thawed(r) {
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

// thawed waits while Freeze is on.
func (s *Switches) thawed(r *http.Request) bool {
	for {
		frozen, changed := s.on(Freeze, r.Method, r.URL.Path)
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
		next.ServeHTTP(newRecorder(), r.WithContext(context.WithoutCancel(r.Context())))
		panic(http.ErrAbortHandler)
	}
	if _, ok := s.Consume(SwapResponses, r.Method, r.URL.Path); ok {
		s.cross(w, r, next)
		return
	}
	if t, ok := s.Consume(Truncate, r.Method, r.URL.Path); ok {
		w = &truncator{ResponseWriter: w, bytes: t.Bytes, chunks: t.Chunks}
	}
	next.ServeHTTP(w, r)
}

// recorder keeps an answer in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}, status: http.StatusOK} }

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Flush()                      {}

func (r *recorder) copyTo(w http.ResponseWriter) {
	for k, v := range r.header {
		w.Header()[k] = v
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}

// crossed is an answer that waits for another one to be swapped with.
type crossed struct {
	own   *recorder
	other chan *recorder
}

func (s *Switches) cross(w http.ResponseWriter, r *http.Request, next http.Handler) {
	own := newRecorder()
	next.ServeHTTP(own, r)
	first, mine := s.meet(own)
	if first != nil {
		first.other <- own
		first.own.copyTo(w)
		return
	}
	s.await(mine).copyTo(w)
}

// meet takes the waiting answer, or leaves own to wait for another one.
func (s *Switches) meet(own *recorder) (first, mine *crossed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parked != nil {
		first, s.parked = s.parked, nil
		return first, nil
	}
	s.parked = &crossed{own: own, other: make(chan *recorder, 1)}
	return nil, s.parked
}

// await waits for another answer and returns it, or the own one when none comes.
func (s *Switches) await(mine *crossed) *recorder {
	timer := time.NewTimer(crossWait)
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
func (s *Switches) withdraw(mine *crossed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parked != mine {
		return false
	}
	s.parked = nil
	return true
}

// truncator cuts the connection after a number of bytes or flushes.
type truncator struct {
	http.ResponseWriter
	bytes  int64
	chunks int
	sent   int64
	shown  int
}

func (t *truncator) Write(p []byte) (int, error) {
	if t.bytes > 0 && t.sent+int64(len(p)) > t.bytes {
		_, _ = t.ResponseWriter.Write(p[:t.bytes-t.sent])
		t.cut()
	}
	n, err := t.ResponseWriter.Write(p)
	t.sent += int64(n)
	return n, err
}

// Flush implements http.Flusher.
func (t *truncator) Flush() {
	_ = http.NewResponseController(t.ResponseWriter).Flush()
	t.shown++
	if t.chunks > 0 && t.shown >= t.chunks {
		t.cut()
	}
}

func (t *truncator) cut() {
	_ = http.NewResponseController(t.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
