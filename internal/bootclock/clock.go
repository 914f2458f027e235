// Package bootclock reads the clock that continues while the machine is suspended.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, including the time in which it was suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only if the kernel does not support the clock.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
