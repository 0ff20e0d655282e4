package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// Periods and time limits of announcements.
const (
	announcePeriod = 50 * time.Millisecond  // time between two checks for drained moves
	endWriteGrace  = 200 * time.Millisecond // time for the write that ends a drained move, before the move is announced
)

// announceDrained announces moves that have drained while the write that ends them does
// not succeed, so that their targets serve without it. It needs no lease: that a move has
// drained stays true. It returns when ctx ends.
func (ctl *controller) announceDrained(ctx context.Context) {
	for sleep(ctx, announcePeriod) {
		_ = ctl.c.loop.Call(ctx, func() { ctl.announceOverdue(time.Now()) })
	}
}

// announceOverdue announces the moves that drained at least endWriteGrace ago. It runs
// on the control goroutine.
func (ctl *controller) announceOverdue(now time.Time) {
	since := map[ownership.DrainedMove]time.Time{}
	for _, move := range ctl.drainedMoves(now) {
		first, seen := ctl.drainedSince[move]
		if !seen {
			first = now
		}
		since[move] = first
		if now.Sub(first) >= endWriteGrace {
			ctl.announce(move)
		}
	}
	ctl.drainedSince = since
}

// drainedMoves returns the moves of the newest assignment of this term that have drained.
// It runs on the control goroutine.
func (ctl *controller) drainedMoves(now time.Time) []ownership.DrainedMove {
	compiled := ctl.c.directory.Load().Settings
	if ctl.current == nil || compiled == nil || compiled.Pools[ctl.pool] == nil {
		return nil
	}
	return ownership.DrainedMoves(ctl.current, ownership.View{
		Now:        now,
		Rules:      rulesOf(compiled.Pools[ctl.pool]),
		Acks:       ctl.acks,
		EndedAt:    ctl.ended,
		BarrierSeq: ctl.barrierSeq,
	})
}

// announce spreads a drained move, unless that was done before. It runs on the control
// goroutine.
func (ctl *controller) announce(move ownership.DrainedMove) {
	if !ctl.c.store.MarkDrained(ctl.pool, move) {
		return
	}
	ctl.c.journal.Add(journal.Event{
		Kind:    journal.ShardMoveEnded,
		Pool:    ctl.pool,
		Subject: fmt.Sprintf("shard %d", move.ID),
		Cause:   fmt.Sprintf("nothing runs at %s; %s serves it before the table shows the end of the move", move.Server, move.Next),
		Term:    ctl.term,
		Seq:     ctl.current.Seq,
	})
}

// applyAckWithoutLease records an acknowledgement while the lease is not valid, as the
// drain of a move is announced without it. ctl may be nil. It runs on the control
// goroutine.
func (ctl *controller) applyAckWithoutLease(ack ownership.Ack) {
	if ctl != nil && ctl.current != nil {
		ctl.applyAck(ack, time.Now())
	}
}
