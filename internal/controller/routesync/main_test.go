package routesync

import (
	"os"
	"runtime"
	"testing"

	"github.com/hickorystage/hickorystage/internal/standin/rapidseed"
)

// TestMain runs virtual time on one processor; see configsync's for why.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(rapidseed.Run(m, ""))
}
