package assignments

import (
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// topicDrained is the topic that spreads drained moves. The version of an item is the
// sequence number of the assignment in which the move began.
const topicDrained = spread.TopicName("drained_moves")

// drainedItem is the value of an item of topicDrained.
type drainedItem struct {
	Pool model.PoolName `json:"pool"`
	ownership.DrainedMove
}

// name returns the item's name: a shard has one item, that of its newest drained move.
func (i *drainedItem) name() spread.ItemName {
	return spread.ItemName(fmt.Sprintf("%s/%d", i.Pool, i.ID))
}

// Current returns a pool's newest assignment with the moves ended that are known to have
// drained, or nil when there is none.
func (s *Store) Current(pool model.PoolName) *ownership.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newest(pool)
	if newest == nil || len(s.drained[pool]) == 0 {
		return newest
	}
	moves := make([]ownership.DrainedMove, 0, len(s.drained[pool]))
	for _, move := range s.drained[pool] {
		moves = append(moves, move)
	}
	return newest.WithDrained(moves)
}

// MarkDrained records that a move of a pool has drained and spreads it, so that the target
// serves the shard before the table shows the end of the move. It reports false, without
// effect, when that was known.
func (s *Store) MarkDrained(pool model.PoolName, move ownership.DrainedMove) bool {
	item := drainedItem{Pool: pool, DrainedMove: move}
	value, err := json.Marshal(item)
	if err != nil {
		s.log.Error("drained move could not be encoded and is not spread", zap.String("step", "encode"), zap.Error(err))
		return false
	}
	if !s.drainedItems.Set(spread.Item{Name: item.name(), Version: spread.Version(move.MoveSeq), Value: value}) {
		return false
	}
	s.addDrained(&item)
	s.spread.SchedulePush(topicDrained)
	return true
}

// drainedItemChanged handles a drained move received from a peer.
func (s *Store) drainedItemChanged(item spread.Item) {
	var drained drainedItem
	if err := json.Unmarshal(item.Value, &drained); err != nil {
		s.log.Error("drained move received from a peer could not be decoded", zap.String("step", "decode"), zap.Error(err))
		return
	}
	s.addDrained(&drained)
}

// addDrained records a drained move and publishes the assignment that results.
func (s *Store) addDrained(item *drainedItem) {
	if !s.putDrained(item) {
		return
	}
	s.loop.Post(func() { s.publish(item.Pool) })
}

// putDrained stores a drained move unless a later one of the shard is stored.
func (s *Store) putDrained(item *drainedItem) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	moves := s.drained[item.Pool]
	if moves == nil {
		moves = map[model.ShardID]ownership.DrainedMove{}
		s.drained[item.Pool] = moves
	}
	if moves[item.ID].MoveSeq >= item.MoveSeq {
		return false
	}
	moves[item.ID] = item.DrainedMove
	return true
}
