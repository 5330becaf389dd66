// Package bootclock reads the boot-time clock, which also advances while the machine
// is suspended, and derives from it a time of day that is not affected when the
// system clock is set.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including the time that the machine was
// suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has CLOCK_BOOTTIME. The fallback, CLOCK_MONOTONIC,
		// does not advance during suspension.
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
			panic(err)
		}
	}
	return time.Duration(ts.Nano())
}

// Civil is a clock for the time of day. Its offset to the boot-time clock is fixed
// when it is created.
type Civil struct{ offset time.Duration }

// NewCivil returns a clock that is set to the current system time.
func NewCivil() *Civil { return &Civil{offset: time.Duration(time.Now().UnixNano()) - Now()} }

// Now returns the time of day.
func (c *Civil) Now() time.Time { return time.Unix(0, int64(c.offset+Now())) }
