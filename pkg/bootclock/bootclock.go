// Package bootclock reads the clock that counts the time since the machine was
// booted, including the time for which it was suspended. The monotonic clock of
// package time stops during a suspension, so that a permission with an expiry would
// seem valid after it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted. Differences of two values are
// meaningful only on one machine and between two boots.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
