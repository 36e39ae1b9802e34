package main

import (
	"math"
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/hickorystage/hickorystage/internal/memory"
)

// setMemoryLimit sets the soft limit of the Go runtime for a process that may use the given
// memory; none if that is 0. GOMEMLIMIT takes precedence.
func setMemoryLimit(memoryBytes int64) {
	if _, set := os.LookupEnv("GOMEMLIMIT"); set {
		return
	}
	limit := memory.RuntimeLimit(memoryBytes)
	if limit == 0 {
		limit = math.MaxInt64
	}
	debug.SetMemoryLimit(limit)
}

// machineMemory returns the memory of the machine, 0 if it is not known.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

// openFilesLimit returns the number of file descriptors that the process may open, 0 if it
// is not known or not limited.
func openFilesLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
