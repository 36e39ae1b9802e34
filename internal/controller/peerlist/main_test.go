package peerlist

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs virtual time on one processor; see configsync's for why.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
