package keeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock measures pauses, the time included in which the machine was suspended
// and which Go's steady clock does not count.
type clock struct {
	last int64 // nanoseconds since the machine started
}

func newClock() *clock { return &clock{last: sinceBoot()} }

// lap returns the time since the last lap.
func (c *clock) lap() time.Duration {
	now := sinceBoot()
	passed := time.Duration(now - c.last)
	c.last = now
	return passed
}

func sinceBoot() int64 {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0 // only on kernels without this clock; pauses are then not seen
	}
	return ts.Nano()
}
