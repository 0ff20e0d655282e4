package keeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseClock measures the time between two calls of lap. It includes the time in
// which the machine was suspended, which Go's monotonic clock does not count.
type pauseClock struct {
	now  func() int64 // nanoseconds, also while the machine is suspended
	last int64        // time of the last lap
}

func newPauseClock(now func() int64) *pauseClock { return &pauseClock{now: now, last: now()} }

// lap returns the time since the last lap.
func (c *pauseClock) lap() time.Duration {
	now := c.now()
	elapsed := time.Duration(now - c.last)
	c.last = now
	return elapsed
}

// sinceBoot returns the nanoseconds since the machine started.
func sinceBoot() int64 {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0 // only on kernels without this clock; pauses are then not detected
	}
	return ts.Nano()
}
