package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// SteadyClock tells instants that a step of the time of day doesn't move and that go
// on while the VM is suspended; it must be made by NewSteadyClock.
type SteadyClock struct {
	begun time.Time
	boot  time.Duration
}

// NewSteadyClock returns a clock that agrees with the time of day now.
func NewSteadyClock() *SteadyClock {
	return &SteadyClock{begun: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the present instant, without a monotonic part.
func (c *SteadyClock) Now() time.Time { return c.begun.Add(sinceBoot() - c.boot) }

// sinceBoot counts the time in which the VM was suspended, too.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had the clock since 2.6.39.
		panic(err)
	}
	return time.Duration(t.Nano())
}
