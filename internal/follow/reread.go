package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/platform"
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

// reread reads a whole collection after the store has said why it does not have the changes
// since the last poll. A daemon that is not designated leaves the first read to those that
// are, and polls one of them, so that a large fleet does not read the store all at once.
func (f *Follower) reread(ctx context.Context, c platform.Collection, why error) error {
	limiter := f.rereads[c]
	first := !limiter.again
	pause := limiter.pause()
	if first && !f.Designated() {
		return errors.Wrap(why, "the designated daemons read the whole collection first")
	}
	f.log.Info("the store does not have the changes since the last poll, reading the whole collection", zap.String("collection", string(c)), zap.Error(why))
	sleep(ctx, pause)
	return f.readCollection(ctx, c)
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
