package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a LogWriter.
const (
	// logBacklog is the number of lines that may wait to be written.
	logBacklog = 1024
	// logRate is the number of lines a second, and logBurst that at once, beyond
	// which lines are dropped: several for each request of a busy gateway.
	logRate  = 600
	logBurst = 1200
	// logCloseTimeout bounds the wait for the last lines.
	logCloseTimeout = 200 * time.Millisecond
)

var logDropped = NewCounter("log_dropped", "lines", "log lines dropped because there were too many")

// LogWriter passes log lines on without ever making its callers wait. Lines
// beyond its bounds are dropped and counted.
type LogWriter struct {
	out  io.Writer
	done chan struct{}

	mu     sync.Mutex
	lines  chan []byte
	closed bool
	// tokens are the lines that may pass now, as of at.
	tokens  float64
	at      time.Time
	dropped int64
}

// NewLogWriter returns a writer to out. Close ends it.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		out:    out,
		done:   make(chan struct{}),
		lines:  make(chan []byte, logBacklog),
		tokens: logBurst,
		at:     time.Now(),
	}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.take(time.Now()) {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *LogWriter) drop() {
	w.dropped++
	logDropped.Inc()
}

// take says whether one more line may pass.
func (w *LogWriter) take(now time.Time) bool {
	w.tokens = min(logBurst, w.tokens+logRate*now.Sub(w.at).Seconds())
	w.at = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *LogWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.pass(line)
	}
}

func (w *LogWriter) pass(line []byte) {
	if n := w.takeDropped(); n > 0 {
		line = append(line, fmt.Sprintf("level=warn msg=\"log lines dropped\" count=%d\n", n)...)
	}
	// There is nowhere to tell of a log that can't be written.
	_, _ = w.out.Write(line)
}

func (w *LogWriter) takeDropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes what is left, for a short time at most.
func (w *LogWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(logCloseTimeout):
	}
}
