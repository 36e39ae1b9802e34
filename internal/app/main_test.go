package app

import (
	"os"
	"runtime"
	"testing"
)

// TestMain sets GOMAXPROCS to 1 under the race detector. The timers of a synctest
// bubble share one race context, and the detector cannot use one from two
// processors at once: it ends the process with "ThreadSanitizer: CHECK failed"
// although there is no data race.
func TestMain(m *testing.M) {
	if raceDetector {
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}
