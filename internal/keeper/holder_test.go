package keeper

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// When an earlier keeper confirmed late that it had granted nothing for long, the grants that
// this keeper had sent meanwhile counted as expired with those of the earlier one: keys could
// move from a server that still held them.
func TestGrantsOutlastThoseOfAnEarlierKeeper(t *testing.T) {
	const hold = defaultHold
	now := time.Now()
	server := &catalog.Server{ID: "s", StartedMS: 1}
	keeper := &Keeper{newServerClient: func(*catalog.Server) serverClient { return nil }}
	s := &serviceKeeper{keeper: keeper, holders: map[model.ServerID]*holder{}, earlierGrantsUntil: now.Add(time.Minute)}
	h := s.addHolder(server, s.earlierGrantsUntil)
	must.False(t, h.holdsNothing(now.Add(hold)))
	h.recordSent(now, hold)
	s.endEarlierGrantsAt(now)
	must.False(t, h.holdsNothing(now.Add(hold)))
	must.True(t, h.holdsNothing(now.Add(2*hold)))
}
