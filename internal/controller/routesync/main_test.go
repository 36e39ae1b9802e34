package routesync

import (
	"os"
	"runtime"
	"testing"

	"github.com/hickorystage/hickorystage/internal/standin/rapidseed"
)

// TestMain runs the tests on one processor, for the reason given at TestMain of
// package configsync.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(rapidseed.Run(m, ""))
}
