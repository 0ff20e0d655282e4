package follow

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/retry"
)

// Pauses between reads of a whole collection by which no poll for changes succeeds. The
// longest one still lets a new configuration take effect in time.
const (
	rereadFirstPause   = 300 * time.Millisecond
	rereadLongestPause = 1200 * time.Millisecond
)

// rereadLimiter limits how often a collection is read in full because the store does not
// have the changes since the last poll. The first read comes at once; the pauses before
// the next ones grow, as a store that never has the changes would be read without end.
type rereadLimiter struct {
	backoff retry.Backoff
	again   bool // the collection has been read since the last successful poll
}

// pause returns the time to wait before the next read.
func (l *rereadLimiter) pause() time.Duration {
	if !l.again {
		l.again = true
		l.backoff = retry.Backoff{First: rereadFirstPause, Limit: rereadLongestPause}
		return 0
	}
	return l.backoff.Next()
}

// reset is called when a poll for changes has succeeded.
func (l *rereadLimiter) reset() { l.again = false }
