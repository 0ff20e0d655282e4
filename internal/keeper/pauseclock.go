package keeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseClock measures the time between two calls of lap. It includes the time in
// which the machine was suspended, which Go's monotonic clock does not count.
type pauseClock struct {
	last int64 // time of the last lap, in nanoseconds since the machine started
}

func newPauseClock() *pauseClock { return &pauseClock{last: sinceBoot()} }

// lap returns the time since the last lap.
func (c *pauseClock) lap() time.Duration {
	now := sinceBoot()
	elapsed := time.Duration(now - c.last)
	c.last = now
	return elapsed
}

func sinceBoot() int64 {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0 // only on kernels without this clock; pauses are then not detected
	}
	return ts.Nano()
}
