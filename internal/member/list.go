package member

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// isReader reports whether this daemon is to read the list: it has one of the readerCount
// highest placement scores for it, or the list is missing or older than maxListAge.
func (m *Tracker) isReader() bool {
	members := m.Members()
	if len(members.Instances) == 0 || m.ListAge() > maxListAge {
		return true
	}
	var ids []string
	for id, daemon := range members.Daemons {
		if !daemon.Leaving {
			ids = append(ids, string(id))
		}
	}
	own := placement.Score(string(topicInstances), string(m.config.Name))
	higher := 0
	for _, id := range ids {
		if placement.Score(string(topicInstances), id) > own {
			higher++
		}
	}
	return higher < readerCount
}

// readList reads the list from the platform and spreads it if it changed. An error is only
// logged: the list then stays as it is.
func (m *Tracker) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m.countRead()
	list, err := m.platform.Instances(ctx)
	if err != nil {
		m.log.Debug("instance list could not be read from the platform", zap.String("step", "read"), zap.String("peer", "platform"), zap.Error(err))
		return
	}
	if m.listIsCopied(time.Now()) {
		return
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	m.publishList(list)
}

// publishList spreads a list that was read, if it changed, and the time of the read, if the
// last spread one is older than minFreshInterval or the list changed.
func (m *Tracker) publishList(list []platform.Instance) {
	value, err := json.Marshal(list)
	if err != nil {
		m.log.Error("instance list could not be encoded and is not spread", zap.String("step", "encode"), zap.Error(err))
		return
	}
	now := spread.Version(time.Now().UnixMilli())
	previous, ok := m.instances.Get(itemList)
	if !ok || string(previous.Value) != string(value) {
		m.instances.Set(spread.Item{Name: itemList, Version: max(now, previous.Version+1), Value: value})
	}
	fresh, ok := m.instances.Get(itemFresh)
	if !ok || time.Duration(now-fresh.Version)*time.Millisecond > minFreshInterval || string(previous.Value) != string(value) {
		m.instances.Set(spread.Item{Name: itemFresh, Version: now, Value: json.RawMessage("null")})
		m.spread.SchedulePush(topicInstances)
	}
	m.markListFresh()
	m.publishMembers()
}

// instancesItemChanged handles an item of topicInstances received from a peer.
func (m *Tracker) instancesItemChanged(item spread.Item) {
	if item.Name == itemFresh {
		m.markListFresh()
		return
	}
	m.publishMembers()
}

func (m *Tracker) markListFresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listFreshAt = time.Now()
}
