package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's start, as a time after the Unix epoch.
// Unlike the monotonic clock it advances while the VM is suspended, and unlike the
// time of day it never jumps. After a suspension the age of recorded state is therefore
// its real age.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
