package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a LogWriter.
const (
	// logQueueLines is the number of lines that can be queued for writing.
	logQueueLines = 1024
	// logLinesPerSecond and logBurstLines are the rate and burst above which
	// lines are dropped. They leave room for several lines per request of a
	// busy gateway.
	logLinesPerSecond = 600
	logBurstLines     = 1200
	// logCloseTimeout is the maximum time that Close waits for queued lines.
	logCloseTimeout = 200 * time.Millisecond
)

var logDropped = NewCounter("log_dropped", "lines", "log lines dropped because they exceeded the rate limit or the backlog")

// LogWriter writes log lines in the background, so that its callers never
// block. It drops and counts lines beyond its rate limit or queue. Its methods
// may be called concurrently.
type LogWriter struct {
	out  io.Writer
	done chan struct{}

	mu     sync.Mutex
	lines  chan []byte
	closed bool
	// tokens is the number of lines that the rate limit allows, as of
	// refilledAt.
	tokens     float64
	refilledAt time.Time
	dropped    int64
}

// NewLogWriter returns a writer that writes lines to out until Close is called.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		out:        out,
		done:       make(chan struct{}),
		lines:      make(chan []byte, logQueueLines),
		tokens:     logBurstLines,
		refilledAt: time.Now(),
	}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never blocks and never returns an
// error.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.allow(time.Now()) {
		w.countDropped()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

func (w *LogWriter) countDropped() {
	w.dropped++
	logDropped.Inc()
}

// allow takes a token from the rate limit and returns whether there was one.
func (w *LogWriter) allow(now time.Time) bool {
	w.tokens = min(logBurstLines, w.tokens+logLinesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *LogWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.writeLine(line)
	}
}

func (w *LogWriter) writeLine(line []byte) {
	if n := w.resetDropped(); n > 0 {
		line = append(line, fmt.Sprintf("level=warn msg=\"log lines dropped\" count=%d\n", n)...)
	}
	// An error is ignored: a failure to write the log can't be logged.
	_, _ = w.out.Write(line)
}

func (w *LogWriter) resetDropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes the queued lines, for at most logCloseTimeout. Lines written
// afterwards are dropped.
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
