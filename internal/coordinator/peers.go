package coordinator

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// Time limits and attempts of calls to dispatchers.
const (
	silentAfter   = 500 * time.Millisecond // time without contact after which a dispatcher is called
	pushTimeout   = 250 * time.Millisecond // limit of one call of an agent, over all attempts
	avoidDuration = 5 * time.Second        // time for which a silent daemon gets no servers

	// pushAttempts is the number of attempts of a push. The first may fail on a stale
	// connection; the second then dials. If that dial is refused, the control port is
	// closed, and pushDone records that the dispatcher's process has ended.
	pushAttempts = 2
)

// peerState is the controller's view of one daemon's process.
type peerState struct {
	lastHeard  time.Time // last message from the daemon
	avoidUntil time.Time // the daemon gets no servers before this time
	pushing    bool      // a push to the daemon is in progress
	pushAgain  bool      // another push must follow the one in progress
}

// peer returns the state of a daemon and creates it when missing. It runs on
// the control goroutine.
func (ctl *controller) peer(id model.DaemonID) *peerState {
	p, ok := ctl.peers[id]
	if !ok {
		p = &peerState{lastHeard: time.Now()}
		ctl.peers[id] = p
	}
	return p
}

// applyAck records an acknowledgement unless a newer one of the same
// incarnation is recorded. It runs on the control goroutine.
func (ctl *controller) applyAck(ack ownership.Ack, now time.Time) {
	p := ctl.peer(ack.Daemon)
	p.lastHeard = now
	p.avoidUntil = time.Time{}
	previous, ok := ctl.acks[ack.Daemon]
	if ok && previous.Incarnation == ack.Incarnation && previous.Seq > ack.Seq {
		return
	}
	ctl.acks[ack.Daemon] = ack
	ctl.endOlderIncarnations(ack.Daemon, ack.Incarnation, now)
	ctl.wakeUp()
}

// endOlderIncarnations records that the other incarnations of a daemon have
// ended, since a newer one answers.
func (ctl *controller) endOlderIncarnations(id model.DaemonID, living model.Incarnation, now time.Time) {
	for _, d := range ctl.dispatchers() {
		if d.Daemon == id && d.Incarnation != living {
			ctl.recordEnd(d, now, "a newer process answers")
		}
	}
}

// recordEnd records that a dispatcher's process has ended. It runs on the
// control goroutine.
func (ctl *controller) recordEnd(d ownership.Dispatcher, now time.Time, cause string) {
	if _, recorded := ctl.ended[d.Incarnation]; recorded {
		return
	}
	ctl.ended[d.Incarnation] = now
	ctl.c.journal.Add(journal.Event{Kind: journal.DaemonLost, Pool: ctl.pool, Subject: string(d.Daemon), Cause: cause, Term: ctl.term})
	ctl.wakeUp()
}

// dispatchers returns the dispatchers of all servers by incarnation. It runs on
// the control goroutine.
func (ctl *controller) dispatchers() map[model.Incarnation]ownership.Dispatcher {
	found := map[model.Incarnation]ownership.Dispatcher{}
	assignment := ctl.newest()
	for i := range assignment.Servers {
		for _, d := range assignment.Servers[i].Dispatchers {
			found[d.Incarnation] = d
		}
	}
	return found
}

// resetLastHeard records now as the time of the last message of all dispatchers.
func (ctl *controller) resetLastHeard(now time.Time) {
	for _, d := range ctl.dispatchers() {
		ctl.peer(d.Daemon).lastHeard = now
	}
}

// checkSilence pushes to the dispatchers that have been silent for silentAfter and
// records the end of those no longer listed. It runs on the control goroutine.
func (ctl *controller) checkSilence(ctx context.Context, now time.Time) {
	if ctl.current == nil {
		return
	}
	for _, d := range ctl.dispatchers() {
		if ctl.delisted(d) {
			ctl.recordEnd(d, now, "not listed any more")
		}
		_, ended := ctl.ended[d.Incarnation]
		if !ended && now.Sub(ctl.peer(d.Daemon).lastHeard) > silentAfter {
			ctl.push(ctx, d)
		}
	}
}

// delisted reports whether the instance list, when this daemon has one, lacks
// the dispatcher's daemon.
func (ctl *controller) delisted(d ownership.Dispatcher) bool {
	members := ctl.c.member.Members()
	if len(members.Instances) == 0 || d.Daemon == ctl.c.config.Name {
		return false
	}
	for _, instance := range members.Instances {
		if instance.ID == string(d.Daemon) {
			return false
		}
	}
	return true
}

// pushAll sends the newest assignment to all dispatchers that have not
// acknowledged it. It runs on the control goroutine.
func (ctl *controller) pushAll(ctx context.Context) {
	for _, d := range ctl.dispatchers() {
		if ack, ok := ctl.acks[d.Daemon]; ok && ack.Incarnation == d.Incarnation && ack.Seq >= ctl.current.Seq {
			continue
		}
		if _, ended := ctl.ended[d.Incarnation]; !ended {
			ctl.push(ctx, d)
		}
	}
}

// push sends the newest assignment to one dispatcher. At most one call to a
// daemon is in progress at a time. It runs on the control goroutine.
func (ctl *controller) push(ctx context.Context, d ownership.Dispatcher) {
	p := ctl.peer(d.Daemon)
	if p.pushing {
		p.pushAgain = true
		return
	}
	p.pushing = true
	var base model.Seq
	if ack, ok := ctl.acks[d.Daemon]; ok && ack.Incarnation == d.Incarnation {
		base = ack.Seq
	}
	request := &ctlproto.UpdateRequest{
		Pool:   ctl.pool,
		Term:   ctl.term,
		Update: ctl.c.store.DeltaFrom(ctl.pool, base),
	}
	go ctl.pushToAgent(ctx, d, request)
}

// pushToAgent makes one push and hands its outcome to the control goroutine.
func (ctl *controller) pushToAgent(ctx context.Context, d ownership.Dispatcher, request *ctlproto.UpdateRequest) {
	response, err := ctl.callWithRetry(ctx, d, request)
	ctl.c.loop.Post(func() { ctl.pushDone(ctx, d, response, err) })
}

// callWithRetry calls an agent and repeats the call once unless the connection
// was refused or ctx ended.
func (ctl *controller) callWithRetry(ctx context.Context, d ownership.Dispatcher, request *ctlproto.UpdateRequest) (*ctlproto.UpdateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var last error
	for range pushAttempts {
		response, err := rpc.Call[ctlproto.UpdateResponse](ctx, ctl.c.client, d.Control, ctlproto.MethodUpdate, request)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			return response, err
		}
		last = err
	}
	return nil, last
}

// pushDone processes the outcome of a push. It runs on the control goroutine.
func (ctl *controller) pushDone(ctx context.Context, d ownership.Dispatcher, response *ctlproto.UpdateResponse, err error) {
	p := ctl.peer(d.Daemon)
	p.pushing = false
	now := time.Now()
	switch {
	case err == nil && response.Refusal == nil:
		ctl.applyAck(response.Ack, now)
	case err == nil:
		ctl.log.Warn("the agent refused the assignment: it has a newer term", zap.String("peer", string(d.Daemon)))
		ctl.c.counters.refused(1)
	case errors.Is(err, syscall.ECONNREFUSED):
		p.avoidUntil = now.Add(avoidDuration)
		ctl.recordEnd(d, now, "its host refuses connections to its control address")
	case ctx.Err() == nil && now.Sub(p.lastHeard) > silentAfter:
		ctl.avoidSilent(d, p, now)
	}
	if p.pushAgain {
		p.pushAgain = false
		ctl.push(ctx, d)
	}
}

// avoidSilent excludes a silent daemon from being chosen as a dispatcher for
// avoidDuration. It runs on the control goroutine.
func (ctl *controller) avoidSilent(d ownership.Dispatcher, p *peerState, now time.Time) {
	if now.After(p.avoidUntil) {
		ctl.c.journal.Add(journal.Event{Kind: journal.DaemonLost, Pool: ctl.pool, Subject: string(d.Daemon), Cause: "does not answer", Term: ctl.term})
	}
	p.avoidUntil = now.Add(avoidDuration)
	ctl.wakeUp()
}

// startBarrier starts a barrier (see awaitBarrier) when a change is blocked by a
// silent dispatcher or the assignment is unsettled. Once the barrier is done, no dispatcher that has not acknowledged
// its version holds a permit of an earlier one. It runs on the control
// goroutine.
func (ctl *controller) startBarrier(ctx context.Context) {
	if ctl.barrierRunning || ctl.current == nil || !(ctl.blockedByUnsettled() || ctl.blockedBySilent()) {
		return
	}
	ctl.barrierRunning = true
	seq := ctl.current.Seq
	go func() {
		passed := ctl.awaitBarrier(ctx, seq)
		ctl.c.loop.Post(func() { ctl.barrierDone(seq, passed) })
	}()
}

// barrierDone records the outcome of a barrier; ok is false when it was
// aborted. It runs on the control goroutine.
func (ctl *controller) barrierDone(seq model.Seq, ok bool) {
	ctl.barrierRunning = false
	if !ok {
		return
	}
	ctl.barrierSeq = max(ctl.barrierSeq, seq)
	ctl.c.counters.barriers(1)
	ctl.wakeUp()
}

// blockedByUnsettled reports whether the assignment is unsettled and no barrier has been
// passed with it.
func (ctl *controller) blockedByUnsettled() bool {
	return ctl.current.Unsettled && ctl.barrierSeq < ctl.current.Seq
}

// blockedBySilent reports whether a retiring dispatcher, or a dispatcher of a
// server that shards move away from, is silent and not covered by the last
// barrier.
func (ctl *controller) blockedBySilent() bool {
	now := time.Now()
	moving := map[model.ServerID]model.Seq{}
	for _, shard := range ctl.current.Shards {
		if shard.Next != "" {
			moving[shard.Server] = max(moving[shard.Server], shard.MoveSeq)
		}
	}
	for i := range ctl.current.Servers {
		server := &ctl.current.Servers[i]
		for _, d := range server.Dispatchers {
			neededSeq := moving[server.ID]
			if d.State == ownership.DispatcherRetiring {
				neededSeq = max(neededSeq, d.StateSeq)
			}
			if neededSeq > ctl.barrierSeq && now.Sub(ctl.peer(d.Daemon).lastHeard) > silentAfter {
				return true
			}
		}
	}
	return false
}

// awaitBarrier makes a majority of the fleet observe the version seq and then
// waits until all permits confirmed before have expired. It reports false when
// ctx ended first.
func (ctl *controller) awaitBarrier(ctx context.Context, seq model.Seq) bool {
	for {
		err := ctl.c.attest.InformQuorum(ctx, ctl.pool, seq)
		if err == nil {
			break
		}
		if !sleep(ctx, retryDelay) {
			return false
		}
	}
	return sleep(ctx, ownership.PermitDuration+ownership.ClockMargin)
}
