package app

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs virtual time on one processor under the race detector: the
// timers of a synctest bubble share one race context, which the runtime's
// detector can't use from two processors at once (it ends the process with
// "ThreadSanitizer: CHECK failed", with no data race).
func TestMain(m *testing.M) {
	if raceDetector {
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}
