package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// boundedCollections are those whose changes have to take effect at each daemon within a time:
// new configurations, and servers that leave.
var boundedCollections = []platform.Collection{platform.Configurations, platform.Servers}

const (
	outdatedAge    = 2 * time.Second // from which on a copy is logged as outdated
	ageCheckPeriod = 250 * time.Millisecond
)

// watchAges logs when the copy of a bounded collection becomes outdated, and when it is current
// again, until ctx ends.
func (f *Follower) watchAges(ctx context.Context) {
	outdatedSince := map[platform.Collection]time.Time{}
	for ctx.Err() == nil {
		for _, c := range boundedCollections {
			f.logIfOutdated(c, outdatedSince)
		}
		sleep(ctx, ageCheckPeriod)
	}
}

// logIfOutdated logs a change of one copy from current to outdated or back. since holds the
// times up to which the outdated copies were complete.
func (f *Follower) logIfOutdated(c platform.Collection, since map[platform.Collection]time.Time) {
	asOf := f.completeAsOf[c].Load()
	if asOf == nil {
		return
	}
	from, wasOutdated := since[c]
	switch outdated := time.Since(*asOf) > outdatedAge; {
	case outdated && !wasOutdated:
		since[c] = *asOf
		f.log.Warn("copy of the collection is outdated", zap.String("collection", string(c)), zap.Duration("copy_age", time.Since(*asOf)))
	case !outdated && wasOutdated:
		delete(since, c)
		f.log.Info("copy of the collection is current again", zap.String("collection", string(c)), zap.Duration("after", time.Since(from)))
	}
}
