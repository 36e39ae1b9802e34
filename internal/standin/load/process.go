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

// use is the processor time and memory of a process.
type use struct {
	processor time.Duration
	resident  int64
}

func processUse(pid int) (use, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return use{}, errors.Wrap(err, "read the process's use")
	}
	_, rest, _ := bytes.Cut(stat, []byte(") "))
	fields := bytes.Fields(rest)
	if len(fields) <= fieldResident {
		return use{}, &InvalidError{Reason: "the process's use can't be read"}
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(string(fields[i]), 10, 64)
		return n
	}
	return use{
		processor: time.Duration(number(fieldUserTime)+number(fieldSystemTime)) * clockTick,
		resident:  number(fieldResident) * int64(os.Getpagesize()),
	}, nil
}
