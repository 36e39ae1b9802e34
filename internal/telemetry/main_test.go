package telemetry

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor, since timers of a synctest bubble
// that run on two at once can abort the race detector; see TestMain of
// configsync.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
