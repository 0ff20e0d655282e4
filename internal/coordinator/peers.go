package coordinator

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// Bounds of a dispatcher's silence.
const (
	silentAfter  = 500 * time.Millisecond // silence after which a dispatcher is asked
	pushTimeout  = 250 * time.Millisecond // bound of one call of an agent
	avoidLength  = 5 * time.Second        // a silent daemon gets no servers for this long
	pushAttempts = 2                      // a stale connection fails once before a dial is refused
)

// peerState is what the controller knows of one dispatcher's process.
type peerState struct {
	heard   time.Time
	avoid   time.Time // until then the daemon gets no servers
	calling bool
	again   bool // another push is wanted after the present one
}

// peer runs on the control goroutine.
func (ctl *controller) peer(id model.DaemonID) *peerState {
	p, ok := ctl.peers[id]
	if !ok {
		p = &peerState{heard: time.Now()}
		ctl.peers[id] = p
	}
	return p
}

// takeAck keeps the newest acknowledgement of a daemon. It runs on the control goroutine.
func (ctl *controller) takeAck(ack ownership.Ack, now time.Time) {
	p := ctl.peer(ack.Daemon)
	p.heard = now
	p.avoid = time.Time{}
	known, ok := ctl.acks[ack.Daemon]
	if ok && known.Incarnation == ack.Incarnation && known.Seq > ack.Seq {
		return
	}
	ctl.acks[ack.Daemon] = ack
	ctl.endOthers(ack.Daemon, ack.Incarnation, now)
	ctl.poke()
}

// endOthers notes that the earlier lives of a daemon have ended: a newer one answers.
func (ctl *controller) endOthers(id model.DaemonID, living model.Incarnation, now time.Time) {
	for _, d := range ctl.dispatchers() {
		if d.Daemon == id && d.Incarnation != living {
			ctl.noteEnd(d, now, "a newer process answers")
		}
	}
}

// noteEnd runs on the control goroutine.
func (ctl *controller) noteEnd(d ownership.Dispatcher, now time.Time, cause string) {
	if _, known := ctl.ended[d.Incarnation]; known {
		return
	}
	ctl.ended[d.Incarnation] = now
	ctl.c.journal.Add(journal.Event{Kind: journal.DaemonLost, Pool: ctl.pool, Subject: string(d.Daemon), Cause: cause, Term: ctl.term})
	ctl.poke()
}

// dispatchers returns the dispatchers of all servers, each life once. It runs
// on the control goroutine.
func (ctl *controller) dispatchers() map[model.Incarnation]ownership.Dispatcher {
	found := map[model.Incarnation]ownership.Dispatcher{}
	known := ctl.newest()
	for i := range known.Servers {
		for _, d := range known.Servers[i].Dispatchers {
			found[d.Incarnation] = d
		}
	}
	return found
}

func (ctl *controller) hearDispatchers(now time.Time) {
	for _, d := range ctl.dispatchers() {
		ctl.peer(d.Daemon).heard = now
	}
}

// checkSilence asks dispatchers that were not heard. It runs on the control goroutine.
func (ctl *controller) checkSilence(ctx context.Context, now time.Time) {
	if ctl.current == nil {
		return
	}
	for _, d := range ctl.dispatchers() {
		if ctl.gone(d) {
			ctl.noteEnd(d, now, "not listed any more")
		}
		_, ended := ctl.ended[d.Incarnation]
		if !ended && now.Sub(ctl.peer(d.Daemon).heard) > silentAfter {
			ctl.push(ctx, d)
		}
	}
}

// gone reports that the instance list, read lately, does not show a daemon that
// was once listed.
func (ctl *controller) gone(d ownership.Dispatcher) bool {
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

// pushAll sends the newest assignment to all dispatchers. It runs on the control goroutine.
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

// push calls one dispatcher, at most one call at a time. It runs on the control goroutine.
func (ctl *controller) push(ctx context.Context, d ownership.Dispatcher) {
	p := ctl.peer(d.Daemon)
	if p.calling {
		p.again = true
		return
	}
	p.calling = true
	var base model.Seq
	if ack, ok := ctl.acks[d.Daemon]; ok && ack.Incarnation == d.Incarnation {
		base = ack.Seq
	}
	request := &ctlproto.UpdateRequest{
		Pool:   ctl.pool,
		Term:   ctl.term,
		Update: ctl.c.store.DeltaFrom(ctl.pool, base),
	}
	go ctl.callAgent(ctx, d, request)
}

func (ctl *controller) callAgent(ctx context.Context, d ownership.Dispatcher, request *ctlproto.UpdateRequest) {
	answer, err := ctl.tryAgent(ctx, d, request)
	ctl.c.loop.Post(func() { ctl.called(ctx, d, answer, err) })
}

func (ctl *controller) tryAgent(ctx context.Context, d ownership.Dispatcher, request *ctlproto.UpdateRequest) (*ctlproto.UpdateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var last error
	for range pushAttempts {
		answer, err := rpc.Call[ctlproto.UpdateResponse](ctx, ctl.c.client, d.Control, ctlproto.MethodUpdate, request)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			return answer, err
		}
		last = err
	}
	return nil, last
}

// called takes the outcome of a call. It runs on the control goroutine.
func (ctl *controller) called(ctx context.Context, d ownership.Dispatcher, answer *ctlproto.UpdateResponse, err error) {
	p := ctl.peer(d.Daemon)
	p.calling = false
	now := time.Now()
	switch {
	case err == nil && answer.Refusal == nil:
		ctl.takeAck(answer.Ack, now)
	case err == nil:
		ctl.log.Warn("an agent knows a newer term")
		ctl.c.counters.refused(1)
	case errors.Is(err, syscall.ECONNREFUSED):
		p.avoid = now.Add(avoidLength)
		ctl.noteEnd(d, now, "its host refuses connections to its address")
	case ctx.Err() == nil && now.Sub(p.heard) > silentAfter:
		ctl.noteSilent(d, p, now)
	}
	if p.again {
		p.again = false
		ctl.push(ctx, d)
	}
}

// noteSilent keeps a silent daemon from being chosen for a while. It runs on
// the control goroutine.
func (ctl *controller) noteSilent(d ownership.Dispatcher, p *peerState, now time.Time) {
	if now.After(p.avoid) {
		ctl.c.journal.Add(journal.Event{Kind: journal.DaemonLost, Pool: ctl.pool, Subject: string(d.Daemon), Cause: "does not answer", Term: ctl.term})
	}
	p.avoid = now.Add(avoidLength)
	ctl.poke()
}

// checkBarrier starts the wait after which no silent dispatcher holds an old
// permit, where a decision waits for one. It runs on the control goroutine.
func (ctl *controller) checkBarrier(ctx context.Context) {
	if ctl.waiting || ctl.current == nil || !ctl.waitsForSilent() {
		return
	}
	ctl.waiting = true
	seq := ctl.current.Seq
	go func() {
		passed := ctl.passBarrier(ctx, seq)
		ctl.c.loop.Post(func() { ctl.passed(seq, passed) })
	}()
}

// passed runs on the control goroutine.
func (ctl *controller) passed(seq model.Seq, ok bool) {
	ctl.waiting = false
	if !ok {
		return
	}
	ctl.barrier = max(ctl.barrier, seq)
	ctl.c.counters.barriers(1)
	ctl.poke()
}

// waitsForSilent reports that a retiring dispatcher, or one of a server that
// shards move away from, has not acknowledged and is silent.
func (ctl *controller) waitsForSilent() bool {
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
			since := moving[server.ID]
			if d.State == ownership.DispatcherRetiring {
				since = max(since, d.StateSeq)
			}
			if since > ctl.barrier && now.Sub(ctl.peer(d.Daemon).heard) > silentAfter {
				return true
			}
		}
	}
	return false
}

// passBarrier tells more than half of the fleet and waits until all permits
// that were given before have ended.
func (ctl *controller) passBarrier(ctx context.Context, seq model.Seq) bool {
	for {
		err := ctl.c.attest.Tell(ctx, ctl.pool, seq)
		if err == nil {
			break
		}
		if !pause(ctx, writePause) {
			return false
		}
	}
	return pause(ctx, ownership.PermitDuration+ownership.ClockMargin)
}
