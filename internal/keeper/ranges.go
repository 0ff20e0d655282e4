package keeper

import (
	"sort"

	"github.com/chicorylug/chicorylug/internal/catalog"
)

// assign returns a copy of the sorted ranges in which the target owns the keys of the
// interval [from, to] under the fence.
func assign(ranges []catalog.Range, from, to int, target *catalog.Server, fence catalog.Fence) []catalog.Range {
	var next []catalog.Range
	added := catalog.Range{From: from, To: to, Server: target.ID, StartedMS: target.StartedMS, Fence: fence}
	for _, r := range ranges {
		if r.From < from {
			left := r
			left.To = min(r.To, from-1)
			next = append(next, left)
		}
		if r.To > to {
			right := r
			right.From = max(r.From, to+1)
			next = append(next, right)
		}
	}
	next = append(next, added)
	sort.Slice(next, func(i, j int) bool { return next[i].From < next[j].From })
	return next
}

// merge joins adjacent ranges of the same server process. A joined range gets the given
// fence, which must be above those of its parts.
func merge(ranges []catalog.Range, fence catalog.Fence) []catalog.Range {
	var merged []catalog.Range
	for _, r := range ranges {
		last := len(merged) - 1
		if last >= 0 && merged[last].To+1 == r.From && merged[last].Server == r.Server && merged[last].StartedMS == r.StartedMS {
			merged[last].To = r.To
			merged[last].Fence = fence
			continue
		}
		merged = append(merged, r)
	}
	return merged
}
