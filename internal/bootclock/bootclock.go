// Package bootclock reads the clock that counts suspensions of the machine, and
// derives from it a time of day that steps of the wall clock don't move.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has the clock; the monotonic one is the next best.
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
			panic(err)
		}
	}
	return time.Duration(ts.Nano())
}

// Civil is a time of day that keeps the offset it was created with.
type Civil struct{ offset time.Duration }

// NewCivil reads the wall clock once.
func NewCivil() *Civil { return &Civil{offset: time.Duration(time.Now().UnixNano()) - Now()} }

// Now returns the time of day.
func (c *Civil) Now() time.Time { return time.Unix(0, int64(c.offset+Now())) }
