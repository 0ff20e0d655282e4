package coordinator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/attest"
	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Periods and bounds of a controller.
const (
	roundPeriod  = 50 * time.Millisecond  // time between two rounds without a cause
	writePause   = 100 * time.Millisecond // pause after a write that failed
	writeTimeout = 2 * time.Second        // bound of one call of the table
)

// controller decides one pool's assignment during one term. Its goroutine does
// the calls of the table; its state belongs to the control goroutine.
type controller struct {
	c    *Coordinator
	pool model.PoolName
	term model.Term
	wake chan struct{}
	log  *zap.Logger

	lease lease

	// row is the version of the assignment row; only run's goroutine uses it.
	row platform.RowVersion

	// current is the assignment that the table has under this term; nil until
	// the first write.
	current *ownership.Assignment
	// base is the assignment that this term found.
	base    *ownership.Assignment
	acks    map[model.DaemonID]ownership.Ack
	ended   map[model.Incarnation]time.Time
	barrier model.Seq
	waiting bool // a barrier is under way
	peers   map[model.DaemonID]*peerState
	servers map[model.ServerID]*serverState
	loads   loadTable
	balance time.Time // last round that could move shards for balance
}

// lease is the controller's share of the lease, on this daemon's clock.
type lease struct {
	mu    sync.Mutex
	until time.Time
	ended bool
	stop  context.CancelFunc
}

func newController(c *Coordinator, pool model.PoolName, term model.Term) *controller {
	return &controller{
		c:       c,
		pool:    pool,
		term:    term,
		wake:    make(chan struct{}, 1),
		log:     c.log.With(zap.String("pool", string(pool)), zap.Uint64("term", uint64(term))),
		acks:    map[model.DaemonID]ownership.Ack{},
		ended:   map[model.Incarnation]time.Time{},
		peers:   map[model.DaemonID]*peerState{},
		servers: map[model.ServerID]*serverState{},
		loads:   newLoadTable(),
		balance: time.Now(),
	}
}

// extend notes a renewal of the lease that was asked for at the given time.
func (ctl *controller) extend(asked time.Time) {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	ctl.lease.until = asked.Add(ownership.LeaseDuration)
}

// holds reports that the lease is valid on this daemon's clock.
func (ctl *controller) holds() bool {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	return !ctl.lease.ended && time.Now().Before(ctl.lease.until)
}

// inForce reports that the controller may answer: the lease is valid and the
// table has an assignment of this term.
func (ctl *controller) inForce() bool { return ctl.current != nil && ctl.holds() }

// end stops the controller for good.
func (ctl *controller) end() {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	ctl.lease.ended = true
	if ctl.lease.stop != nil {
		ctl.lease.stop()
	}
}

// hasEnded reports that another write of the assignment ended the controller.
func (ctl *controller) hasEnded() bool {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	return ctl.lease.ended
}

func (ctl *controller) poke() {
	select {
	case ctl.wake <- struct{}{}:
	default:
	}
}

func (ctl *controller) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctl.lease.mu.Lock()
	ctl.lease.stop = cancel
	ctl.lease.mu.Unlock()
	for !ctl.begin(ctx) {
		if !pause(ctx, writePause) {
			return
		}
	}
	for {
		again := ctl.holds() && ctl.round(ctx)
		if again {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-ctl.wake:
		case <-time.After(roundPeriod):
		}
	}
}

// pause waits and reports false when ctx ended.
func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// begin reads the assignment that this term finds.
func (ctl *controller) begin(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	found := &ownership.Assignment{Pool: ctl.pool}
	row, err := ctl.c.table.Get(ctx, ctl.rowKey())
	if err == nil {
		err = json.Unmarshal(row.Value, found)
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		ctl.log.Warn("assignment not read", zap.String("step", "begin"), zap.String("peer", "platform"), zap.Error(err))
		return false
	}
	ctl.row = row.Version
	return ctl.c.loop.Call(ctx, func() { ctl.found(found, time.Now()) }) == nil
}

// found takes the assignment that this term begins with. Each dispatcher has
// the usual time to be heard. It runs on the control goroutine.
func (ctl *controller) found(found *ownership.Assignment, now time.Time) {
	ctl.base = found
	for i := range found.Servers {
		ctl.servers[found.Servers[i].ID] = knownServer(&found.Servers[i])
	}
	ctl.hearDispatchers(now)
}

func (ctl *controller) rowKey() string { return attest.AssignmentPrefix + string(ctl.pool) }

// newest returns the assignment to go on from. It runs on the control goroutine.
func (ctl *controller) newest() *ownership.Assignment {
	if ctl.current != nil {
		return ctl.current
	}
	return ctl.base
}

// round decides once and writes what was decided. It reports whether another
// round should follow at once.
func (ctl *controller) round(ctx context.Context) bool {
	var next *ownership.Assignment
	var changes []ownership.Change
	err := ctl.c.loop.Call(ctx, func() { next, changes = ctl.decide(ctx, time.Now()) })
	if err != nil || next == nil {
		return false
	}
	if !ctl.write(ctx, next) {
		return false
	}
	_ = ctl.c.loop.Call(ctx, func() { ctl.commit(ctx, next, changes) })
	return true
}

// decide runs on the control goroutine.
func (ctl *controller) decide(ctx context.Context, now time.Time) (*ownership.Assignment, []ownership.Change) {
	view, ok := ctl.view(now)
	if !ok {
		return nil, nil
	}
	ctl.checkSilence(ctx, now)
	ctl.checkBarrier(ctx)
	return ownership.Plan(ctl.newest(), view)
}

// write brings an assignment into the table. A write with an unknown outcome is
// repeated with the same identity until the table has told which write it holds.
func (ctl *controller) write(ctx context.Context, next *ownership.Assignment) bool {
	value, err := json.Marshal(next)
	if err != nil {
		ctl.log.Error("assignment not written", zap.String("step", "encode"), zap.Error(err))
		return false
	}
	w := platform.Write{Key: ctl.rowKey(), Value: value, Expect: ctl.row, WriteID: platform.WriteID(uuid.NewString())}
	ambiguous := false
	for {
		version, err := ctl.tryWrite(ctx, w)
		if err == nil {
			ctl.row = version
			ctl.c.counters.writes(1)
			return true
		}
		ctl.log.Info("assignment not written", zap.String("step", "write"), zap.String("peer", "platform"), zap.Error(err))
		switch {
		case errors.Is(err, platform.ErrConflict):
			ctl.c.counters.conflicts(1)
			return ctl.foreignWrite(ctx, w)
		case errors.Is(err, platform.ErrAmbiguous):
			ctl.c.counters.ambiguous(1)
			ambiguous = true
		case !ambiguous:
			pause(ctx, writePause)
			return false
		}
		if !pause(ctx, writePause) {
			return false
		}
	}
}

func (ctl *controller) tryWrite(ctx context.Context, w platform.Write) (platform.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return platform.Resolve(ctx, ctl.c.table, w)
}

// foreignWrite looks at a row that another write holds: it may be an earlier
// try of the same write. Otherwise another coordinator is in force and this
// one ends.
func (ctl *controller) foreignWrite(ctx context.Context, w platform.Write) bool {
	for {
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		row, err := ctl.c.table.Get(call, w.Key)
		cancel()
		if err == nil && row.WriteID == w.WriteID {
			ctl.row = row.Version
			ctl.c.counters.writes(1)
			return true
		}
		if err == nil {
			ctl.log.Warn("another coordinator wrote the assignment", zap.String("step", "write"), zap.String("peer", "platform"))
			ctl.end()
			return false
		}
		if !pause(ctx, writePause) {
			return false
		}
	}
}

// commit announces an assignment that the table has. It runs on the control goroutine.
func (ctl *controller) commit(ctx context.Context, next *ownership.Assignment, changes []ownership.Change) {
	ctl.current = next
	ctl.c.attest.Hear(ctl.pool, next.Seq)
	ctl.c.store.Learn(next)
	ctl.record(next, changes)
	ctl.pushAll(ctx)
}

// serveRenew takes an agent's report and answers with the newest version. It
// runs on the control goroutine.
func (ctl *controller) serveRenew(request *ctlproto.RenewRequest, answer *ctlproto.RenewResponse) {
	now := time.Now()
	ctl.takeAck(request.Ack, now)
	if request.Term != ctl.term {
		ctl.c.counters.refused(1)
		answer.Refusal = &ctlproto.Refusal{Code: ctlproto.StaleTerm, Term: ctl.term}
		return
	}
	ctl.takeEvidence(request, now)
	ctl.loads.take(request.Loads)
	answer.Term = ctl.term
	answer.Seq = ctl.current.Seq
	answer.Update = ctl.c.store.DeltaFrom(ctl.pool, request.Ack.Seq)
}
