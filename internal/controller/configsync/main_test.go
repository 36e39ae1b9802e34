package configsync_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests with GOMAXPROCS=1. The timers of a synctest bubble share
// one race detector context, and two Ps that run such timers at the same time can
// abort the process with "ThreadSanitizer: CHECK failed: tsan_rtl.cpp". The detector
// works by happens-before order, so it finds races with one P as well.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
