package ownership

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// EraOf returns the era of the table in which a version was written.
func EraOf(seq model.Seq) platform.Era { return platform.EraOfNumber(uint64(seq)) }

// AsUnsettled returns the assignment as a coordinator takes it over in an era of the
// table for which no version was written, when it does not know the latest one of the
// era before: without dispatchers and moves, and with epochs above all earlier ones.
// Each shard keeps the last known owner. A pool without keys has no owners, so that
// its assignment stays as it is.
func (a *Assignment) AsUnsettled(era platform.Era) *Assignment {
	if !a.Keyed && a.Seq > 0 {
		return a
	}
	next := *a
	next.Unsettled = true
	next.HotKeys = slices.DeleteFunc(slices.Clone(a.HotKeys), func(h HotKey) bool { return h.Pending })
	next.Shards = slices.Clone(a.Shards)
	for id := range next.Shards {
		shard := &next.Shards[id]
		*shard = Shard{Server: shard.Server, Epoch: model.Epoch(platform.NextInEra(uint64(shard.Epoch), era))}
	}
	next.Servers = slices.Clone(a.Servers)
	for i := range next.Servers {
		next.Servers[i].Dispatchers = nil
	}
	return &next
}

// settles reports whether all permits of versions before an unsettled one have expired.
func (v *View) settles(unsettled *Assignment) bool {
	return unsettled.Term == v.Term && unsettled.Coordinator == v.Coordinator && v.BarrierSeq >= unsettled.Seq
}

// planUnsettled writes an unsettled assignment again under the planner's term, if that
// was not done, so that the barrier is passed with a version of this term.
func (p *planner) planUnsettled() (*Assignment, []Change) {
	if len(p.changes) == 0 {
		return nil, nil
	}
	return p.next, p.changes
}

// settle removes the mark of an unsettled assignment.
func (p *planner) settle() {
	if !p.next.Unsettled {
		return
	}
	p.next.Unsettled = false
	p.addChange(ChangeSettled, string(p.view.Coordinator.Daemon), "all permits of versions that the table has lost have expired")
}
