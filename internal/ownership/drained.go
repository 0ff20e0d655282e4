package ownership

import "github.com/chicorylug/chicorylug/internal/model"

// DrainedMove states that the move of a shard has drained: no request that was
// sent under the shard's present epoch can still run at its old owner. Once true,
// it stays true. The shard is as the table has it during the move, which
// identifies the move.
type DrainedMove struct {
	ID model.ShardID `json:"id"`
	Shard
}

// afterMove returns the ownership with which a move ends. It depends on nothing
// but the move, so the target may serve as soon as the shard has drained, before
// the table shows the end.
func (s Shard) afterMove() Shard {
	return Shard{Server: s.Next, Epoch: s.Epoch + 1}
}

// splits reports whether the shard drains in place, so that a hot key can be split
// out of it.
func (s Shard) splits() bool { return s.Next == s.Server }

// DrainedMoves returns the moves of an assignment that have drained. current must
// have been written to the table by the coordinator whose view it is; its lease may
// have expired since. Shards that are split are left out: their end also depends on
// the hot keys.
func DrainedMoves(current *Assignment, view View) []DrainedMove {
	var moves []DrainedMove
	for id, shard := range current.Shards {
		if shard.Next == "" || shard.splits() {
			continue
		}
		if current.drained(model.ShardID(id), view) {
			moves = append(moves, DrainedMove{ID: model.ShardID(id), Shard: shard})
		}
	}
	return moves
}

// drained reports whether no request on a moving shard can still run at its
// present owner.
func (a *Assignment) drained(id model.ShardID, view View) bool {
	shard := a.Shards[id]
	server := a.Server(shard.Server)
	if server == nil {
		return true
	}
	for i := range server.Dispatchers {
		if !view.shardDrained(server.ID, &server.Dispatchers[i], shard.MoveSeq, id) {
			return false
		}
	}
	return true
}

// WithDrained returns the assignment with the drained moves ended, or the
// assignment itself when it has none of these moves.
func (a *Assignment) WithDrained(moves []DrainedMove) *Assignment {
	next := *a
	next.Shards = nil
	for _, move := range moves {
		shard, ok := a.Shard(move.ID)
		if !ok || shard != move.Shard || shard.Next == "" || shard.splits() {
			continue
		}
		if next.Shards == nil {
			next.Shards = append(next.Shards, a.Shards...)
		}
		next.Shards[move.ID] = shard.afterMove()
		next.EndedMoves++
	}
	if next.Shards == nil {
		return a
	}
	return &next
}

// NewerThan reports whether the assignment has a later version than b, or the same
// version with more moves ended. b may be nil.
func (a *Assignment) NewerThan(b *Assignment) bool {
	if b == nil {
		return true
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.EndedMoves > b.EndedMoves
}
