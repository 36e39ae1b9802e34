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

// stuckWriter blocks until it is released.
type stuckWriter struct {
	mu   sync.Mutex
	gate chan struct{}
	text bytes.Buffer
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestLogWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{gate: make(chan struct{})}
		w := NewLogWriter(out)
		start := time.Now()
		for range logBacklog + logBurst {
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(start))
		close(out.gate)
		w.Close()
		require.Contains(t, out.text.String(), "log lines dropped")
	})
}

func TestLogWriterBoundsTheRate(t *testing.T) {
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
		require.LessOrEqual(t, lines, logBurst+seconds*logRate)
		require.Greater(t, lines, seconds*logRate/2)
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
