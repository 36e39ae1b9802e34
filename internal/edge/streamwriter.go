package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var streamsBlocked = telemetry.NewCounter("route_streams_blocked", "events", "events of streams that were not read on from the endpoint until their callers had read earlier ones")

// Endpoints cut off a response that stays unread for some seconds. A caller that reads slowly
// must not hold up the reading from the endpoint for that long, so events that the caller
// doesn't take yet are kept, within limits.

const (
	// maxStreamBacklog is the largest backlog of one stream: more than whole responses of
	// some thousand tokens have, and little enough for hundreds of slow callers.
	maxStreamBacklog = 128 << 10
	// maxTotalBacklog is the largest backlog of all streams of a gateway together, a small
	// part of the memory of the smallest machines.
	maxTotalBacklog = 8 << 20
	// abortGrace is how long a stream that is broken off may take to send its backlog.
	abortGrace = 200 * time.Millisecond
)

// streamWriter writes the events of a stream to its caller from a goroutine of its own. Its
// methods must be called from one goroutine.
type streamWriter struct {
	w     http.ResponseWriter
	total *atomic.Int64
	// hold is charged for the backlog and for the events that are being written, until the
	// goroutine ends.
	hold *memory.Holder

	// wake tells the writing goroutine of events or of the end, space tells the other one
	// that the backlog has become smaller. done is closed when the goroutine has ended.
	wake, space chan struct{}
	done        chan struct{}

	mu      sync.Mutex
	backlog []byte
	ending  bool
	err     error
}

// newStreamWriter returns a writer to w, whose backlog counts in total and is charged to
// account.
func newStreamWriter(w http.ResponseWriter, total *atomic.Int64, account *memory.Account) *streamWriter {
	s := &streamWriter{w: w, total: total, hold: account.Open(memory.Response), wake: make(chan struct{}, 1), space: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// run writes the backlog whenever there is one, until the end or an error.
func (s *streamWriter) run() {
	defer close(s.done)
	defer s.hold.Close()
	rc := http.NewResponseController(s.w)
	var chunk []byte
	for range s.wake {
		for {
			s.mu.Lock()
			chunk, s.backlog = s.backlog, chunk[:0]
			ending := s.ending
			s.mu.Unlock()
			if len(chunk) == 0 && ending {
				return
			}
			if len(chunk) == 0 {
				break
			}
			_, err := s.w.Write(chunk)
			if err == nil {
				err = rc.Flush()
			}
			s.total.Add(-int64(len(chunk)))
			s.hold.Release(int64(len(chunk)))
			if cap(chunk) > streamBufferBytes {
				// The buffer of a large backlog is not kept, uncharged, until the stream ends.
				chunk = nil
			}
			signal(s.space)
			if err != nil {
				s.fail(err)
				return
			}
		}
	}
}

// fail ends the writer with an error and drops the backlog.
func (s *streamWriter) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	s.total.Add(-int64(len(s.backlog)))
	s.backlog = nil
}

// write adds an event, which it copies. It waits while the backlog is full. more is set if
// another event follows at once, with which this one may be sent.
func (s *streamWriter) write(ctx context.Context, event []byte, more bool) error {
	for blocked := false; ; blocked = true {
		added, err := s.tryAdd(event)
		if added && !more || err == nil && !added {
			signal(s.wake)
		}
		if added || err != nil {
			return err
		}
		if !blocked {
			streamsBlocked.Inc()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.done:
		case <-s.space:
		}
	}
}

// tryAdd adds an event if the backlog and the memory account have room. An empty backlog has
// room for any event, so that streams go on, at the pace of their callers, while memory is
// short.
func (s *streamWriter) tryAdd(event []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.backlog)
	switch {
	case s.err != nil:
		return false, s.err
	case n == 0:
		s.hold.Charge(int64(len(event)))
	case n+len(event) > maxStreamBacklog || s.total.Load()+int64(len(event)) > maxTotalBacklog:
		return false, nil
	case s.hold.Reserve(int64(len(event))) != nil:
		return false, nil
	}
	s.backlog = append(s.backlog, event...)
	s.total.Add(int64(len(event)))
	return true, nil
}

// finish waits until all events have been sent, however late, or the connection has ended.
func (s *streamWriter) finish() error {
	s.end()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *streamWriter) end() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	signal(s.wake)
}

// abort ends the writer, whose backlog may take up to grace to be sent. The response must not
// be used by others before.
func (s *streamWriter) abort(grace time.Duration) {
	s.end()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-s.done:
		return
	case <-timer.C:
	}
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Unix(1, 0))
	<-s.done
}

// closeStream ends the session's writer, if it has one that hasn't finished.
func (s *session) closeStream() {
	if s.out != nil {
		s.out.abort(abortGrace)
	}
}
