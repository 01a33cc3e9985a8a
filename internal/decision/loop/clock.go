package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// SteadyClock is a clock that ignores steps of the wall clock and keeps running while
// the VM is suspended. Create it with NewSteadyClock.
type SteadyClock struct {
	begun time.Time
	boot  time.Duration
}

// NewSteadyClock returns a clock that starts at the current wall-clock time.
func NewSteadyClock() *SteadyClock {
	return &SteadyClock{begun: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the current time without a monotonic clock reading.
func (c *SteadyClock) Now() time.Time { return c.begun.Add(sinceBoot() - c.boot) }

// sinceBoot returns the time since boot, including time spent suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME has been available since Linux 2.6.39.
		panic(err)
	}
	return time.Duration(t.Nano())
}
