package discovery

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor, for the reason given at TestMain of
// package configsync.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
