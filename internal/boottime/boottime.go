// Package boottime reads a clock that also counts the time in which the machine or the
// process was suspended. Leases and tokens that others count on must end in that time.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the machine, including suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call has no other failure than an unknown clock, which Linux has since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
