package tally_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/tally"
)

func TestRequestsAreCountedByLabels(t *testing.T) {
	counters := tally.New()
	reads := tally.Labels{Pool: "drafts", Rank: "urgent"}
	counters.Begin(reads)(false)
	counters.Begin(reads)(true)
	counters.Begin(reads)
	counters.Begin(tally.Labels{Pool: "archive", Server: "archive-1"})(false)
	counts := counters.Counts()
	must.SliceLen(t, 2, counts)
	must.Eq(t, "archive", counts[0].Pool)
	must.Eq(t, int64(1), counts[1].Done)
	must.Eq(t, int64(1), counts[1].Refused)
	must.Eq(t, int64(1), counts[1].Running)
}
