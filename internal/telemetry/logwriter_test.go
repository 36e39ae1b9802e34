package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter blocks until release is closed.
type blockingWriter struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestLogWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{release: make(chan struct{})}
		w := NewLogWriter(out)
		start := time.Now()
		for range logQueueLines + logBurstLines {
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(start))
		close(out.release)
		w.Close()
		require.Contains(t, out.text.String(), "log lines dropped")
	})
}

func TestLogWriterLimitsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewLogWriter(&out)
		const seconds = 5
		for range seconds * 100 {
			for range 100 {
				_, err := w.Write([]byte("line\n"))
				require.NoError(t, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.Close()
		lines := strings.Count(out.String(), "line\n")
		require.LessOrEqual(t, lines, logBurstLines+seconds*logLinesPerSecond)
		require.Greater(t, lines, seconds*logLinesPerSecond/2)
	})
}

func TestLogWriterDropsAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := NewLogWriter(&out)
	_, err := w.Write([]byte("before\n"))
	require.NoError(t, err)
	w.Close()
	_, err = w.Write([]byte("after\n"))
	require.NoError(t, err)
	require.Equal(t, "before\n", out.String())
}
