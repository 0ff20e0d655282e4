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

// Periods and time limits of a controller.
const (
	roundPeriod  = 50 * time.Millisecond  // time between two rounds when nothing wakes the controller
	retryDelay   = 100 * time.Millisecond // pause before a failed call is repeated
	tableTimeout = 2 * time.Second        // limit of one call of the table
)

// controller is the coordinator of one pool during one term. Its own goroutine
// makes the calls to the table; its state belongs to the control goroutine.
type controller struct {
	c    *Coordinator
	pool model.PoolName
	term model.Term
	era  platform.Era // era of the table in which the lease was acquired
	wake chan struct{}
	log  *zap.Logger

	// known is the assignment with which this term begins if this daemon has it from
	// its earlier term, else nil.
	known *ownership.Assignment

	lease leaseState

	// row is the version of the assignment row, and eraEnded says that a write was
	// answered in a later era, so that no other may be planned. Only run's goroutine
	// uses them.
	row      platform.RowVersion
	eraEnded bool

	// current is the newest assignment written in this term, nil before the
	// first write.
	current *ownership.Assignment
	// inherited is the assignment that was in the table when this term began.
	inherited *ownership.Assignment
	// acks holds the newest acknowledgement of each daemon.
	acks map[model.DaemonID]ownership.Ack
	// ended, barrierSeq: see EndedAt and BarrierSeq of ownership.View.
	ended          map[model.Incarnation]time.Time
	barrierSeq     model.Seq
	barrierRunning bool // a barrier is in progress; see startBarrier
	peers          map[model.DaemonID]*peerState
	servers        map[model.ServerID]*serverState
	loads          loadTable
	lastBalance    time.Time // last round that was allowed to move shards for balance
	// drainedSince tells, for each move that has drained but not ended, when this was seen.
	drainedSince map[ownership.DrainedMove]time.Time
}

// leaseState is the validity of the lease on this daemon's clock, shared by the
// candidate and the controller.
type leaseState struct {
	mu     sync.Mutex
	until  time.Time          // expiry of the lease
	ended  bool               // end was called
	cancel context.CancelFunc // cancels run; nil before run starts
	// latest: see latestAssignment
	latest *ownership.Assignment
}

func newController(c *Coordinator, pool model.PoolName, term model.Term, era platform.Era) *controller {
	return &controller{
		c:           c,
		pool:        pool,
		term:        term,
		era:         era,
		wake:        make(chan struct{}, 1),
		log:         c.log.With(zap.String("pool", string(pool)), zap.Uint64("term", uint64(term))),
		acks:        map[model.DaemonID]ownership.Ack{},
		ended:       map[model.Incarnation]time.Time{},
		peers:       map[model.DaemonID]*peerState{},
		servers:     map[model.ServerID]*serverState{},
		loads:       newLoadTable(),
		lastBalance: time.Now(),
	}
}

// extendLease records a renewal of the lease whose write was sent at the given
// time.
func (ctl *controller) extendLease(asked time.Time) {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	ctl.lease.until = asked.Add(ownership.LeaseDuration)
}

// holdsLease reports whether the lease is valid on this daemon's clock.
func (ctl *controller) holdsLease() bool {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	return !ctl.lease.ended && time.Now().Before(ctl.lease.until)
}

// mayServe reports whether the controller may answer agents: the lease is valid
// and the table holds an assignment of this term. It runs on the control
// goroutine.
func (ctl *controller) mayServe() bool { return ctl.current != nil && ctl.holdsLease() }

// end stops the controller permanently.
func (ctl *controller) end() {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	ctl.lease.ended = true
	if ctl.lease.cancel != nil {
		ctl.lease.cancel()
	}
}

// hasEnded reports whether end was called, for example because another
// coordinator has written the assignment.
func (ctl *controller) hasEnded() bool {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	return ctl.lease.ended
}

// wakeUp makes run start a round at once.
func (ctl *controller) wakeUp() {
	select {
	case ctl.wake <- struct{}{}:
	default:
	}
}

// run loads the assignment and then repeats rounds until ctx or the controller
// ends.
func (ctl *controller) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctl.lease.mu.Lock()
	ctl.lease.cancel = cancel
	ctl.lease.mu.Unlock()
	for !ctl.loadAssignment(ctx) {
		if !sleep(ctx, retryDelay) {
			return
		}
	}
	go ctl.announceDrained(ctx)
	for {
		again := ctl.holdsLease() && !ctl.eraEnded && ctl.round(ctx)
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

// sleep waits for the given time. It reports false when ctx ended first.
func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// loadAssignment reads the assignment with which this term begins. It reports
// whether that succeeded.
func (ctl *controller) loadAssignment(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	assignment := &ownership.Assignment{Pool: ctl.pool}
	row, err := ctl.c.table.Get(ctx, platform.EraKey(ctl.rowKey(), ctl.era))
	switch {
	case err == nil:
		err = json.Unmarshal(row.Value, assignment)
	case !errors.Is(err, platform.ErrNotFound):
	case ctl.known != nil:
		assignment, err = ctl.known, nil
	case ctl.era > platform.FirstEra:
		assignment, err = ctl.unsettled(ctx)
	default:
		err = nil
	}
	if err != nil {
		ctl.log.Warn("reading the assignment failed", zap.String("step", "begin"), zap.String("peer", "platform"), zap.Error(err))
		return false
	}
	ctl.row = row.Version
	ctl.noteLatest(assignment)
	return ctl.c.loop.Call(ctx, func() { ctl.adopt(assignment, time.Now()) }) == nil
}

// adopt installs the assignment with which this term begins. Each dispatcher
// counts as heard from now, so that none is judged silent for the time before. It
// runs on the control goroutine.
func (ctl *controller) adopt(assignment *ownership.Assignment, now time.Time) {
	ctl.inherited = assignment
	for i := range assignment.Servers {
		ctl.servers[assignment.Servers[i].ID] = inheritedServer(&assignment.Servers[i])
	}
	ctl.resetLastHeard(now)
}

// rowKey returns the key of the assignment row in the first era of the table.
func (ctl *controller) rowKey() string { return attest.AssignmentPrefix + string(ctl.pool) }

// newest returns the assignment on which the next one is based. It runs on the
// control goroutine.
func (ctl *controller) newest() *ownership.Assignment {
	if ctl.current != nil {
		return ctl.current
	}
	return ctl.inherited
}

// round plans the next assignment and writes it. It reports whether another
// round should follow immediately.
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

// decide returns the next assignment, or nil when the present one stays. It
// also checks for silent dispatchers and starts a barrier when one is needed.
// It runs on the control goroutine.
func (ctl *controller) decide(ctx context.Context, now time.Time) (*ownership.Assignment, []ownership.Change) {
	view, ok := ctl.view(now)
	if !ok {
		return nil, nil
	}
	ctl.checkSilence(ctx, now)
	ctl.startBarrier(ctx)
	return ownership.Plan(ctl.newest(), view)
}

// write writes an assignment to the table and reports whether it succeeded. A
// write with an unknown outcome is repeated with the same write ID until the
// table shows whether it took effect.
func (ctl *controller) write(ctx context.Context, next *ownership.Assignment) bool {
	value, err := json.Marshal(next)
	if err != nil {
		ctl.log.Error("encoding the assignment failed", zap.String("step", "encode"), zap.Error(err))
		return false
	}
	w := platform.Write{Key: platform.EraKey(ctl.rowKey(), ctl.era), Value: value, Expect: ctl.row, WriteID: platform.WriteID(uuid.NewString()), Era: ctl.era}
	ambiguous := false
	earlier := ctl.latestAssignment()
	ctl.noteLatest(next)
	for {
		version, err := ctl.tryWrite(ctx, w)
		if err == nil {
			ctl.row = version
			ctl.c.counters.writes(1)
			return true
		}
		ctl.log.Info("writing the assignment failed", zap.String("step", "write"), zap.String("peer", "platform"), zap.Error(err))
		switch {
		case errors.Is(err, platform.ErrConflict):
			ctl.c.counters.conflicts(1)
			return ctl.resolveConflict(ctx, w)
		case errors.Is(err, platform.ErrAmbiguous):
			ctl.c.counters.ambiguous(1)
			ambiguous = true
		case errors.Is(err, platform.ErrOtherEra):
			ctl.endEra(ctx)
			return false
		case !ambiguous:
			ctl.noteLatest(earlier)
			sleep(ctx, retryDelay)
			return false
		}
		if !sleep(ctx, retryDelay) {
			return false
		}
	}
}

func (ctl *controller) tryWrite(ctx context.Context, w platform.Write) (platform.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return platform.WriteAndConfirm(ctx, ctl.c.table, w)
}

// resolveConflict handles a version conflict: it reads the row and reports
// whether it holds this write, made by an earlier attempt. If not, another
// coordinator has taken over and this controller ends.
func (ctl *controller) resolveConflict(ctx context.Context, w platform.Write) bool {
	for {
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		row, err := ctl.c.table.Get(callCtx, w.Key)
		cancel()
		if row.Era > ctl.era {
			ctl.endEra(ctx)
			return false
		}
		if err == nil && row.WriteID == w.WriteID {
			ctl.row = row.Version
			ctl.c.counters.writes(1)
			return true
		}
		if err == nil {
			ctl.log.Warn("another coordinator wrote the assignment; this controller ends", zap.String("step", "write"), zap.String("peer", "platform"))
			ctl.end()
			return false
		}
		if !sleep(ctx, retryDelay) {
			return false
		}
	}
}

// commit publishes an assignment after it was written to the table. It runs on
// the control goroutine.
func (ctl *controller) commit(ctx context.Context, next *ownership.Assignment, changes []ownership.Change) {
	ctl.current = next
	ctl.c.attest.Observe(ctl.pool, next.Seq)
	ctl.c.store.Apply(next)
	ctl.journalChanges(next, changes)
	ctl.pushAll(ctx)
}

// serveRenew processes an agent's report and answers with the newest version. A
// request of another term is refused, but its acknowledgement counts. It runs
// on the control goroutine.
func (ctl *controller) serveRenew(request *ctlproto.RenewRequest, response *ctlproto.RenewResponse) {
	now := time.Now()
	ctl.applyAck(request.Ack, now)
	if request.Term != ctl.term {
		ctl.c.counters.refused(1)
		response.Refusal = &ctlproto.Refusal{Code: ctlproto.StaleTerm, Term: ctl.term}
		return
	}
	ctl.applyEvidence(request, now)
	ctl.loads.add(request.Loads)
	response.Term = ctl.term
	response.Seq = ctl.current.Seq
	response.Update = ctl.c.store.DeltaFrom(ctl.pool, request.Ack.Seq)
}
