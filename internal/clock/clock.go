// Package clock reads the system clocks. Event loops pass the readings to the packages that hold
// the logic, such as replication and dispatch, which read no clock themselves.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including time spent suspended.
// CLOCK_MONOTONIC, which package time uses, stops while a VM is suspended, so a lease measured with
// it would last too long after a resume.
func SinceBoot() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Steady returns the time since the machine booted without the time spent suspended.
func Steady() time.Duration { return read(unix.CLOCK_MONOTONIC) }

func read(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// Both clocks exist on every supported kernel (Linux 2.6.39 and later).
		panic("clock: a clock of the kernel is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// WallMillis returns the wall clock as milliseconds since the Unix epoch.
func WallMillis() int64 {
	return time.Now().UnixMilli()
}
