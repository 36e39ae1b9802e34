package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// TestStandardLogIsLimited guards against endpoints that fill the log with bytes that the HTTP
// client quotes.
func TestStandardLogIsLimited(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(100, 0)
	w := &standardLogWriter{logger: NewLogger(&out, log.InfoLevel), now: func() time.Time { return now }}
	message := []byte("Unsolicited response: " + strings.Repeat("x", 4096) + "\n")
	for range 1000 {
		n, err := w.Write(message)
		require.NoError(t, err)
		require.Len(t, message, n)
	}
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "Unsolicited response")
	require.Less(t, out.Len(), 2*maxStandardMessage)
	now = now.Add(standardMessageInterval)
	_, err := w.Write([]byte("another"))
	require.NoError(t, err)
	require.Contains(t, out.String(), "text=another")
}
