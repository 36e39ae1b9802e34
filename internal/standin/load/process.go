package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor time in /proc/PID/stat, see proc(5).
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command's name, see proc(5).
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// processStats is the processor time and memory of a process.
type processStats struct {
	cpuTime       time.Duration
	residentBytes int64
}

func readProcessStats(pid int) (processStats, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processStats{}, errors.Wrap(err, "read the process's use")
	}
	_, rest, _ := bytes.Cut(stat, []byte(") "))
	fields := bytes.Fields(rest)
	if len(fields) <= fieldResident {
		return processStats{}, &ConfigError{Reason: "the process's use can't be read"}
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(string(fields[i]), 10, 64)
		return n
	}
	return processStats{
		cpuTime:       time.Duration(number(fieldUserTime)+number(fieldSystemTime)) * clockTick,
		residentBytes: number(fieldResident) * int64(os.Getpagesize()),
	}, nil
}
