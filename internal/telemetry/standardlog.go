package telemetry

import (
	"bytes"
	stdlog "log"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxStandardMessage is the number of bytes that are logged of a message of the standard
	// library's logger. net/http quotes what a connection sent unasked.
	maxStandardMessage = 200
	// standardMessageInterval is the least time between two of these messages in the log.
	standardMessageInterval = time.Second
)

var standardDropped = NewCounter("log_standard_dropped", "messages", "messages of the standard library's logger that were not logged, since another one had been within a second")

// RedirectStandardLog sends what libraries write with the standard library's logger to
// logger, as warnings. Endpoints can cause such messages, so that they are shortened and
// limited in number.
func RedirectStandardLog(logger *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&standardLogWriter{logger: logger, now: time.Now})
}

// standardLogWriter is the output of the standard library's logger. It is safe for
// concurrent use.
type standardLogWriter struct {
	logger *log.Logger
	now    func() time.Time

	mu       sync.Mutex
	loggedAt time.Time
}

// Write implements io.Writer for one message.
func (w *standardLogWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if !w.loggedAt.IsZero() && now.Sub(w.loggedAt) < standardMessageInterval {
		standardDropped.Inc()
		return len(p), nil
	}
	w.loggedAt = now
	message := bytes.TrimSpace(p)
	w.logger.Warn("message of a library", "text", string(message[:min(len(message), maxStandardMessage)]))
	return len(p), nil
}
