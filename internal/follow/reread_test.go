package follow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// While a restored store had none of the revisions that daemons asked for, each daemon read
// whole collections one after the other: 30,000 calls a day. The polls in between are
// answered at once then, so only the pauses bound the rate.
func TestRereadsOfAStoreWithoutHistoryAreRare(t *testing.T) {
	const (
		window     = 5 * time.Second
		maxRereads = 2 * int(window/storePollWait) // twice the polls of a quiet day
	)
	rapid.Check(t, func(t *rapid.T) {
		var l rereadLimiter
		elapsed, rereads := time.Duration(0), 0
		for elapsed < window {
			rereads++
			elapsed += l.pause() + time.Duration(rapid.IntRange(0, 20).Draw(t, "call_ms"))*time.Millisecond
		}
		must.LessEq(t, maxRereads, rereads)
		l.reset()
		must.Zero(t, l.pause())
	})
}
