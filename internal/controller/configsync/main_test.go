package configsync_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. The timers of a synctest bubble
// share one context of the race detector, and two processors that run such
// timers at the same moment can abort the process with "ThreadSanitizer: CHECK
// failed: tsan_rtl.cpp". The detector judges by the order of events and works on
// one processor as well.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
