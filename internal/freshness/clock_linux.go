package freshness

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns a clock that goes on while the process or the machine is frozen.
func BootClock() Clock { return bootClock{} }

type bootClock struct{}

// Now implements Clock.
func (bootClock) Now() Instant {
	var ts unix.Timespec
	// The call fails only for clocks that the kernel doesn't have, and Linux has had this
	// one since 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return Instant(time.Duration(ts.Nano()))
}
