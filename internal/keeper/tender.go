package keeper

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

const (
	tendPeriod     = 50 * time.Millisecond  // time between two looks at what is due
	balancePeriod  = 400 * time.Millisecond // time between two looks at the balance
	goneGrace      = 2200 * time.Millisecond
	massGone       = 0.3                    // share of a service's owners whose disappearance looks like an outage
	lostAfter      = 300 * time.Millisecond // silence after which a server's keys are taken away when they can be
	writeTimeout   = time.Second
	outageTending  = 12 * time.Second // renewals go on for this time without a word from the store
	standStill     = time.Second      // a keeper that stood still for this time asks who keeps the keys
	releaseRetries = 3
	failedPause    = time.Second // no keys move for balance for this time after a write failed
)

// errDeposed says that another keeper has the service.
var errDeposed = errors.New("keeper: another daemon keeps the keys")

// tender tends the keys of one service while this daemon is its keeper.
type tender struct {
	keeper  *Keeper
	service model.PoolName
	log     *zap.Logger

	mu      sync.Mutex
	owners  *catalog.Owners
	holders map[model.ServerID]*holder
	moving  []catalog.Range // runs that are being taken away: not renewed
	load    *load
	// othersUntil is the moment until which an earlier keeper may have grants in force.
	othersUntil time.Time
	goneAt      map[model.ServerID]time.Time
	deposed     bool
	balancedAt  time.Time
	confirmed   time.Time // the record was last known to be this keeper's

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newTender(k *Keeper, owners *catalog.Owners, othersUntil time.Time) *tender {
	t := &tender{
		keeper:      k,
		service:     owners.Service,
		log:         k.log.With(zap.String("service", string(owners.Service)), zap.Uint64("term", uint64(owners.Term))),
		owners:      owners,
		holders:     map[model.ServerID]*holder{},
		load:        newLoad(time.Now()),
		othersUntil: othersUntil,
		goneAt:      map[model.ServerID]time.Time{},
		confirmed:   time.Now(),
	}
	t.load.restore(owners.Load)
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.done.Add(2)
	go t.renewLoop()
	go t.moveLoop()
	return t
}

func (t *tender) stop() {
	t.cancel()
	t.done.Wait()
}

// report takes what a daemon saw.
func (t *tender) report(stats *keyedReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.add(stats)
}

// isDeposed reports that the tender has ended by itself.
func (t *tender) isDeposed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deposed
}

// depose ends the tender.
func (t *tender) depose(why string, fields ...zap.Field) {
	t.mu.Lock()
	first := !t.deposed
	t.deposed = true
	t.mu.Unlock()
	if first {
		t.log.Warn("keys not kept any more", append(fields, zap.String("why", why))...)
	}
	t.cancel()
}

// renewLoop renews the grants that are due.
func (t *tender) renewLoop() {
	defer t.done.Done()
	pauses := newClock()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(tendPeriod):
		}
		if pause := pauses.lap(); pause > standStill {
			t.depose("the process stood still", zap.Duration("for", pause))
			return
		}
		now := time.Now()
		if t.keeper.follow.StoreAge() < storeFresh {
			t.mu.Lock()
			t.confirmed = now
			t.mu.Unlock()
		}
		t.renewDue(now)
	}
}

func (t *tender) renewDue(now time.Time) {
	snapshot := t.keeper.catalog.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.confirmed) > outageTending {
		t.deposed = true
		t.cancel()
		t.log.Warn("keys not kept any more", zap.String("why", "no word from the store"), zap.Duration("for", now.Sub(t.confirmed)))
		return
	}
	for _, r := range t.owners.Ranges {
		server := snapshot.Servers[r.Server]
		h := t.holders[r.Server]
		if h == nil || h.server.Born != r.Born {
			if server == nil || server.Born != r.Born {
				continue
			}
			h = newHolder(newCaller(t.keeper.dialect, t.keeper.network, server), t.othersUntil)
			t.holders[r.Server] = h
		}
		if h.calls > 0 || now.Before(h.nextAt) {
			continue
		}
		h.calls++
		t.done.Add(1)
		go t.renew(h)
	}
}

// grantsOf returns the runs of a server that may be granted now. It runs under the lock.
func (t *tender) grantsOf(h *holder) []catalog.Range {
	var runs []catalog.Range
	for _, r := range t.owners.Ranges {
		if r.Server == h.server.ID && r.Born == h.server.Born {
			runs = append(runs, without(r, t.moving)...)
		}
	}
	return runs
}

// without returns what is left of a range when others are taken out.
func without(r catalog.Range, out []catalog.Range) []catalog.Range {
	left := []catalog.Range{r}
	for _, o := range out {
		var next []catalog.Range
		for _, l := range left {
			if o.To < l.From || o.From > l.To {
				next = append(next, l)
				continue
			}
			if o.From > l.From {
				below := l
				below.To = o.From - 1
				next = append(next, below)
			}
			if o.To < l.To {
				above := l
				above.From = o.To + 1
				next = append(next, above)
			}
		}
		left = next
	}
	return left
}

// renew grants all that a server owns. After a failure it only looks whether
// something listens at the address.
func (t *tender) renew(h *holder) {
	defer t.done.Done()
	t.mu.Lock()
	runs := t.grantsOf(h)
	broken := h.broken
	t.mu.Unlock()
	if broken {
		err := h.caller.reach()
		t.mu.Lock()
		defer t.mu.Unlock()
		h.calls--
		h.nextAt = time.Now().Add(retryPeriod)
		h.reachable = err == nil
		h.ended = h.ended || errors.Is(err, errEnded)
		return
	}
	var failure error
	for _, r := range runs {
		if failure = t.grant(h, r, ""); failure != nil {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h.calls--
	h.nextAt = time.Now().Add(renewPeriod)
	if failure != nil {
		t.failed(h, failure)
	}
}

// failed notes that a server did not take a grant. It runs under the lock.
func (t *tender) failed(h *holder, failure error) {
	h.nextAt = time.Now().Add(retryPeriod)
	h.broken, h.reachable = true, false
	h.ended = h.ended || errors.Is(failure, errEnded)
	if h.silent.IsZero() {
		h.silent = time.Now()
		t.log.Warn("server does not take its keys", zap.String("server", string(h.server.ID)),
			zap.Bool("ended", h.ended), zap.Time("held_until", h.heldUntil), zap.Error(failure))
	}
}

// mend lets a server be granted keys again, under the new fences that it got.
// It runs under the lock.
func (t *tender) mend(h *holder) {
	if h.broken {
		t.log.Info("server gets its keys under new fences", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.silent)))
	}
	h.broken, h.reachable, h.ended, h.silent = false, false, false, time.Time{}
}

// grant gives one run to a server.
func (t *tender) grant(h *holder, r catalog.Range, state string) error {
	if t.ctx.Err() != nil {
		return t.ctx.Err()
	}
	began := time.Now()
	outcome, result := h.caller.grant(t.ctx, dialect.Grant{From: r.From, To: r.To, Fence: r.Fence, Hold: hold, State: state})
	t.mu.Lock()
	if result.sent {
		h.sent(began)
		if result.err != nil {
			h.doubtUntil = h.heldUntil
		}
	}
	t.mu.Unlock()
	switch {
	case result.err != nil:
		return result.err
	case outcome == dialect.GrantStale:
		t.depose("a server has seen a higher fence", zap.String("server", string(h.server.ID)),
			zap.Int("from", r.From), zap.Int("to", r.To), zap.Uint64("fence", uint64(r.Fence)))
		return errDeposed
	case outcome != dialect.GrantTaken:
		return errors.Errorf("grant answered with status %d", result.status)
	}
	return nil
}

// moveLoop moves keys away from servers that can't keep them, and for balance.
func (t *tender) moveLoop() {
	defer t.done.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(tendPeriod):
		}
		if t.keeper.follow.StoreAge() > storeFresh {
			continue // what is moved could not be written
		}
		moves := t.plan(time.Now())
		if len(moves) > 0 {
			t.execute(moves)
		}
	}
}

// plan returns the moves that are due.
func (t *tender) plan(now time.Time) []Move {
	snapshot := t.keeper.catalog.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	able := t.able(snapshot, now)
	if len(able) == 0 {
		return nil
	}
	if len(t.owners.Ranges) == 0 {
		p := newPlanner(t.load, nil, able)
		for _, r := range divide(t.load, able) {
			p.add(Move{From: r.From, To: r.To, Target: snapshot.Servers[r.Server]})
		}
		return p.moves
	}
	p := newPlanner(t.load, t.owners.Ranges, able)
	mass := t.massGone(snapshot)
	for _, r := range t.owners.Ranges {
		t.planRange(p, snapshot, r, mass, now)
	}
	if len(p.moves) > 0 || now.Sub(t.balancedAt) < balancePeriod || t.load.counted < leastRequests {
		return p.moves
	}
	t.balancedAt = now
	t.load.fade(now)
	p = newPlanner(t.load, t.owners.Ranges, able)
	p.balance(func(id model.ServerID) bool {
		h := t.holders[id]
		return h != nil && !h.lost() && now.After(h.doubtUntil)
	})
	return p.moves
}

// able returns the servers that may get keys. It runs under the lock.
func (t *tender) able(snapshot *catalog.Snapshot, now time.Time) []*catalog.Server {
	var able []*catalog.Server
	for _, server := range snapshot.ByService[t.service] {
		h := t.holders[server.ID]
		if server.Leaving || (h != nil && h.server.SameLife(server) && h.lost()) {
			continue
		}
		able = append(able, server)
	}
	return able
}

// massGone reports that so many owners are missing that an outage of the store
// is the likely cause. It runs under the lock.
func (t *tender) massGone(snapshot *catalog.Snapshot) bool {
	owning := map[model.ServerID]bool{}
	gone := 0
	for _, r := range t.owners.Ranges {
		if owning[r.Server] {
			continue
		}
		owning[r.Server] = true
		if server := snapshot.Servers[r.Server]; server == nil || server.Gone {
			gone++
		}
	}
	return float64(gone) > massGone*float64(len(owning)) && gone > 1
}

// planRange plans to take a range from a server that may not keep it. It runs
// under the lock.
func (t *tender) planRange(p *planner, snapshot *catalog.Snapshot, r catalog.Range, mass bool, now time.Time) {
	server := snapshot.Servers[r.Server]
	h := t.holders[r.Server]
	if h != nil && h.server.Born != r.Born {
		h = nil
	}
	switch {
	case server != nil && server.Born != r.Born:
		p.rehome(r, "") // a new life under the same id holds nothing
	case h != nil && h.broken && h.reachable && server != nil && !server.Leaving:
		p.add(Move{From: r.From, To: r.To, Target: server})
	case server == nil && h == nil:
		if now.After(t.othersUntil) {
			p.rehome(r, "")
		}
	case h == nil:
	case h.free(now) && h.lost():
		p.rehome(r, "")
	case h.lost():
	case server == nil || server.Leaving:
		if mass && (server == nil || server.Gone) && t.youngGone(r.Server, now) {
			return
		}
		if now.After(h.doubtUntil) {
			p.rehome(r, r.Server)
		}
	default:
		delete(t.goneAt, r.Server)
	}
}

// youngGone reports that a server has been missing for a short time only.
func (t *tender) youngGone(id model.ServerID, now time.Time) bool {
	since, known := t.goneAt[id]
	if !known {
		t.goneAt[id] = now
		return true
	}
	return now.Sub(since) < goneGrace
}

// execute takes keys from their sources, writes the new owners and grants them.
func (t *tender) execute(moves []Move) {
	freed := t.releaseAll(moves)
	if len(freed) == 0 {
		return
	}
	owners, err := t.write(freed)
	t.mu.Lock()
	if !errors.Is(err, errDoubt) {
		t.moving = nil
	}
	if err == nil {
		t.owners = owners
	}
	t.mu.Unlock()
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, errDoubt):
		t.depose("the record is not as this keeper wrote it", zap.Error(err))
	case err != nil:
		t.log.Warn("moves not written, the keys stay", zap.Int("moves", len(freed)), zap.Error(err))
		t.grantBack(freed)
	default:
		t.grantMoved(freed)
	}
}

// grantBack renews the grants of the sources of moves that were not written.
func (t *tender) grantBack(freed []freedMove) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range freed {
		if h := t.holders[m.Source]; h != nil {
			h.nextAt = time.Time{}
		}
	}
	t.balancedAt = time.Now().Add(failedPause)
}

// freedMove is a move whose source has let go.
type freedMove struct {
	Move
	state string
}

// releaseAll has the sources release the keys and returns the moves that may go on.
func (t *tender) releaseAll(moves []Move) []freedMove {
	t.mu.Lock()
	for _, m := range moves {
		if m.Source != "" {
			t.moving = append(t.moving, catalog.Range{From: m.From, To: m.To})
		}
	}
	t.mu.Unlock()
	results := make([]*freedMove, len(moves))
	var all sync.WaitGroup
	for i, m := range moves {
		all.Add(1)
		go func() {
			defer all.Done()
			results[i] = t.release(m)
		}()
	}
	all.Wait()
	var freed []freedMove
	for _, r := range results {
		if r != nil {
			freed = append(freed, *r)
		}
	}
	if len(freed) == 0 {
		t.mu.Lock()
		t.moving = nil
		t.mu.Unlock()
	}
	return freed
}

// release takes the keys of one move from their source. It returns nil when the
// source did not answer.
func (t *tender) release(m Move) *freedMove {
	if m.Source == "" {
		return &freedMove{Move: m}
	}
	h := t.quietHolder(m.Source)
	if h == nil {
		return nil
	}
	h.releases <- struct{}{}
	defer func() { <-h.releases }()
	for range releaseRetries {
		t.mu.Lock()
		fence := t.fenceOf(m.From)
		t.mu.Unlock()
		result := h.caller.release(t.ctx, m.From, m.To, fence)
		if result.err == nil {
			return &freedMove{Move: m, state: result.state}
		}
		t.log.Warn("keys not released", zap.String("server", string(m.Source)), zap.Int("from", m.From), zap.Int("to", m.To), zap.Error(result.err))
		if errors.Is(result.err, errEnded) {
			return &freedMove{Move: m}
		}
		if t.ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// quietHolder waits until no grant to a server is under way, so that none can
// overtake a release. It returns nil when one went without an answer.
func (t *tender) quietHolder(id model.ServerID) *holder {
	end := time.Now().Add(2 * grantTimeout)
	for time.Now().Before(end) && t.ctx.Err() == nil {
		t.mu.Lock()
		h := t.holders[id]
		usable := h != nil && h.calls == 0
		doubt := h == nil || time.Now().Before(h.doubtUntil)
		t.mu.Unlock()
		if usable && doubt {
			return nil
		}
		if usable {
			return h
		}
		time.Sleep(tendPeriod / 5)
	}
	return nil
}

// fenceOf returns the fence of a key's range. It runs under the lock.
func (t *tender) fenceOf(key int) catalog.Fence {
	if r := t.owners.Owner(key); r != nil {
		return r.Fence
	}
	return 0
}

// write puts the new owners into the store.
func (t *tender) write(freed []freedMove) (*catalog.Owners, error) {
	t.mu.Lock()
	next := *t.owners
	fence := nextFence(t.owners)
	for _, m := range freed {
		next.Ranges = assign(next.Ranges, m.From, m.To, m.Target, fence)
	}
	next.Ranges = merge(next.Ranges, fence)
	next.Load = t.load.points()
	t.mu.Unlock()
	written, err := t.keeper.put(t.ctx, &next)
	if err == nil {
		t.log.Info("keys moved", zap.Int("moves", len(freed)), zap.Uint64("revision", written.Revision), zap.Uint64("fence", uint64(fence)), zap.Any("what", summary(freed)))
	}
	return written, err
}

// summary names each move for the log.
func summary(freed []freedMove) []string {
	list := make([]string, 0, len(freed))
	for _, m := range freed {
		text, err := json.Marshal([]any{m.From, m.To, m.Source, m.Target.ID})
		if err != nil {
			continue // numbers and strings always encode
		}
		list = append(list, string(text))
	}
	return list
}

// nextFence returns a fence above all that the service has had: a record's
// revision is above the one on which its fences were based.
func nextFence(owners *catalog.Owners) catalog.Fence {
	return catalog.Fence(owners.Revision) + 1
}

// grantMoved grants the moved keys to their new owners at once, and the joined
// ranges under their new fences.
func (t *tender) grantMoved(freed []freedMove) {
	snapshot := t.keeper.catalog.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range freed {
		h := t.holders[m.Target.ID]
		if h != nil && h.server.SameLife(m.Target) {
			t.mend(h)
		}
		if h == nil || !h.server.SameLife(m.Target) {
			server := snapshot.Servers[m.Target.ID]
			if server == nil || !server.SameLife(m.Target) {
				continue
			}
			h = newHolder(newCaller(t.keeper.dialect, t.keeper.network, server), time.Time{})
			t.holders[m.Target.ID] = h
		}
		run := catalog.Range{From: m.From, To: m.To, Fence: t.fenceOf(m.From)}
		h.calls++
		t.done.Add(1)
		go t.grantFirst(h, run, m.state)
		h.nextAt = time.Time{}
	}
}

// grantFirst grants keys to a new owner together with the state of the last one.
func (t *tender) grantFirst(h *holder, run catalog.Range, state string) {
	defer t.done.Done()
	err := t.grant(h, run, state)
	t.mu.Lock()
	defer t.mu.Unlock()
	h.calls--
	if err != nil {
		t.failed(h, err)
		t.log.Warn("new owner did not take its keys", zap.String("server", string(h.server.ID)),
			zap.Int("from", run.From), zap.Int("to", run.To), zap.Error(err))
	}
}
