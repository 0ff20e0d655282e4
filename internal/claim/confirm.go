package claim

import (
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// topicConfirmed is the topic with an item for each daemon. Its version is the newest era
// of the store for which the daemon has written its claims again.
const topicConfirmed spread.TopicName = "claims_written_again"

// fleetConfirmations exchanges confirmations with the daemons of the fleet.
type fleetConfirmations struct {
	self   model.DaemonID
	member *member.Tracker
	spread *spread.Replicator
	items  *spread.Map
}

// newFleetConfirmations returns confirmations that tell a store of eras that other
// daemons have noticed.
func newFleetConfirmations(s *Store, m *member.Tracker, sp *spread.Replicator) *fleetConfirmations {
	f := &fleetConfirmations{self: s.holder, member: m, spread: sp}
	f.items = spread.NewMap(topicConfirmed, func(item spread.Item) { s.noticeEra(platform.Era(item.Version)) })
	sp.Add(f.items)
	return f
}

// AllConfirmed implements Confirmations.
func (f *fleetConfirmations) AllConfirmed(era platform.Era) bool {
	members := f.member.Members()
	if len(members.Instances) == 0 {
		return false
	}
	for _, instance := range members.Instances {
		if instance.Kind == platform.KindDaemon && !f.confirmed(model.DaemonID(instance.ID), era) {
			return false
		}
	}
	for id := range members.Daemons {
		if !f.confirmed(id, era) {
			return false
		}
	}
	return true
}

func (f *fleetConfirmations) confirmed(id model.DaemonID, era platform.Era) bool {
	if id == f.self {
		return true
	}
	item, ok := f.items.Get(spread.ItemName(id))
	return ok && platform.Era(item.Version) >= era
}

// Confirm implements Confirmations.
func (f *fleetConfirmations) Confirm(era platform.Era) {
	if f.items.Set(spread.Item{Name: spread.ItemName(f.self), Version: spread.Version(era)}) {
		f.spread.SchedulePush(topicConfirmed)
	}
}
