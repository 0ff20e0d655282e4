package keeper

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// The world of the model test: a store, servers and the network between them and
// the keepers, on the test's own clock. Everything in it runs under one lock.

const (
	modelService = model.PoolName("drafts")
	modelDelay   = 2 * time.Millisecond  // of a message
	modelLinger  = 95 * time.Millisecond // a call that was given up is still on its way for this time
	slowClock    = 1.02                  // a slow server's second, in seconds
)

// run is a run of keys that a server holds, held or works on.
type run struct {
	from, to int
	fence    catalog.Fence
	until    time.Time
}

func (r run) meets(from, to int) bool { return r.from <= to && from <= r.to }

// cutOut returns runs without the keys from from to to.
func cutOut(runs []run, from, to int) []run {
	var left []run
	for _, r := range runs {
		if !r.meets(from, to) {
			left = append(left, r)
			continue
		}
		if r.from < from {
			below := r
			below.to = from - 1
			left = append(left, below)
		}
		if r.to > to {
			above := r
			above.from = to + 1
			left = append(left, above)
		}
	}
	return left
}

// extend adds a grant to what is held. One that comes late does not shorten a
// newer one.
func extend(held []run, got run) []run {
	pieces := []run{got}
	for _, h := range held {
		if h.meets(got.from, got.to) && h.until.After(got.until) {
			pieces = cutOut(pieces, h.from, h.to)
		}
	}
	for _, piece := range pieces {
		held = append(cutOut(held, piece.from, piece.to), piece)
	}
	return held
}

// process is one life of a server.
type process struct {
	registered *catalog.Server
	held       []run
	seen       []run // fences seen by key
	leased     []run // all grants, released or not: work ends with the last one
	work       []run // until is when it is done
	ended      bool
	deaf       bool // does not listen any more, and works on
	slow       bool // its clock runs slow
	silentTill time.Time
}

// busy reports that work on one of the keys is going on.
func (p *process) busy(from, to int, now time.Time) bool {
	for _, w := range p.work {
		if w.meets(from, to) && now.Before(w.until) && now.Before(p.leasedUntil(w)) {
			return true
		}
	}
	return false
}

func (p *process) leasedUntil(w run) time.Time {
	var until time.Time
	for _, l := range p.leased {
		if l.meets(w.from, w.to) && l.until.After(until) {
			until = l.until
		}
	}
	return until
}

func (p *process) holds(from, to int, now time.Time) bool {
	for _, h := range p.held {
		if h.meets(from, to) && now.Before(h.until) {
			return true
		}
	}
	return false
}

// world holds the store, the servers and the faults in force.
type world struct {
	mu sync.Mutex

	revision  platform.Revision
	record    platform.Record // owners of the service
	registry  map[model.ServerID]*catalog.Server
	processes []*process
	byAddress map[string]*process
	keepers   []*daemon

	storeDownTill time.Time
	loseWrites    int // writes yet that take effect and are not answered
	lateWrites    int // writes yet that are not answered and take effect later, if they may
	loseGrants    int
	lateGrants    int
	lateReleases  int
	lingering     int // grants yet that arrive just after their caller gave them up
	lateBy        time.Duration

	broken []string
	lines  bytes.Buffer // what the keepers logged
}

// Write implements io.Writer for the keepers' logs.
func (w *world) Write(p []byte) (int, error) { return w.lines.Write(p) }

// Sync implements zapcore.WriteSyncer.
func (w *world) Sync() error { return nil }

func (w *world) logger() *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "at", MessageKey: "msg", EncodeDuration: zapcore.StringDurationEncoder,
		EncodeTime: zapcore.TimeEncoderOfLayout("04:05.000"),
	})
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(w), zapcore.InfoLevel))
}

func newModelWorld() *world {
	return &world{registry: map[model.ServerID]*catalog.Server{}, byAddress: map[string]*process{}}
}

func (w *world) note(format string, args ...any) {
	w.broken = append(w.broken, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// start starts a server at an address. It registers at once.
func (w *world) start(id model.ServerID, address string, slow bool) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &process{slow: slow, registered: &catalog.Server{
		ID: id, Service: modelService, Address: address, Slots: 4, StartedMS: time.Now().UnixMilli(),
	}}
	w.processes = append(w.processes, p)
	w.byAddress[address] = p
	w.registry[id] = p.registered
	return p
}

// end ends a process. Its registration stays.
func (w *world) end(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.ended = true
	p.held, p.work = nil, nil
}

// leave registers a server as leaving; after a while it listens no longer, works
// its requests off, and ends.
func (w *world) leave(p *process, listens time.Duration) {
	w.mu.Lock()
	leaving := *p.registered
	leaving.Leaving = true
	p.registered = &leaving
	w.registry[leaving.ID] = &leaving
	w.mu.Unlock()
	go func() {
		time.Sleep(listens)
		w.mu.Lock()
		p.deaf = true
		w.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		w.mu.Lock()
		if w.registry[leaving.ID] == &leaving {
			delete(w.registry, leaving.ID)
		}
		w.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		w.end(p)
	}()
}

// grant takes a grant that arrived at a process, and checks that it makes it the
// only owner, under a higher fence than any other had.
func (w *world) grant(p *process, g dialect.Grant, arrived time.Time) bool {
	for _, s := range p.seen {
		if s.meets(g.From, g.To) && s.fence > g.Fence {
			return false
		}
	}
	length := g.Hold
	if p.slow {
		length = time.Duration(float64(length) * slowClock)
	}
	until, now := arrived.Add(length), time.Now()
	if !now.Before(until) {
		return true // it has run out on its way
	}
	for _, other := range w.processes {
		if other == p || other.ended {
			continue
		}
		if other.holds(g.From, g.To, now) {
			w.note("%s got keys %d to %d while %s holds some", p.name(), g.From, g.To, other.name())
		}
		if other.busy(g.From, g.To, now) {
			w.note("%s got keys %d to %d while %s works on some", p.name(), g.From, g.To, other.name())
		}
	}
	for _, other := range w.processes {
		for _, s := range other.seen {
			if other != p && s.meets(g.From, g.To) && s.fence >= g.Fence {
				w.note("%s got keys %d to %d under fence %d, %s had %d", p.name(), g.From, g.To, g.Fence, other.name(), s.fence)
			}
		}
	}
	got := run{from: g.From, to: g.To, fence: g.Fence, until: until}
	p.seen = append(cutOut(p.seen, g.From, g.To), got)
	p.held = extend(p.held, got)
	p.leased = append(p.leased, got)
	return true
}

func (p *process) name() string {
	return fmt.Sprintf("%s born %d", p.registered.ID, p.registered.StartedMS)
}

// workOn has the holder of a key work on it for some time.
func (w *world) workOn(key int, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, p := range w.processes {
		if !p.ended && !p.deaf && p.holds(key, key, now) {
			p.work = append(p.work, run{from: key, to: key, until: now.Add(length)})
		}
	}
}

// wire is the path of the calls of one daemon to one life of a server.
type wire struct {
	world  *world
	from   *daemon
	server *catalog.Server
	first  *process // got the first grant; no other does
}

func (l *wire) close() {}

// reach returns the process that listens at the server's address. It blocks while
// the caller stands still or the process is silent.
func (l *wire) reach(ctx context.Context) (*process, error) {
	if err := l.from.awake(ctx); err != nil {
		return nil, err
	}
	time.Sleep(modelDelay)
	l.world.mu.Lock()
	p := l.world.byAddress[l.server.Address]
	refused := p == nil || p.ended || p.deaf
	silent := p != nil && time.Now().Before(p.silentTill)
	l.world.mu.Unlock()
	switch {
	case refused:
		return nil, errors.Wrap(errNotListening, "refused")
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p, nil
}

func (l *wire) grant(ctx context.Context, g dialect.Grant) (dialect.GrantOutcome, callResult) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	p, err := l.reach(ctx)
	if err != nil {
		return dialect.GrantRefused, callResult{sent: !errors.Is(err, errNotListening), err: err}
	}
	w := l.world
	w.mu.Lock()
	defer w.mu.Unlock()
	arrived := time.Now()
	if l.first == nil {
		l.first = p
	}
	switch {
	case p != l.first:
		return dialect.GrantRefused, callResult{err: errLineageLost}
	case p.registered.ID != l.server.ID:
		return dialect.GrantElsewhere, callResult{sent: true, status: http.StatusMisdirectedRequest, err: errors.Wrap(errNotListening, "another")}
	case w.lingering > 0:
		w.lingering--
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		time.AfterFunc(modelLinger, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !p.ended {
				w.grant(p, g, time.Now())
			}
		})
		return dialect.GrantRefused, callResult{sent: true, err: ctx.Err()}
	case w.lateGrants > 0:
		w.lateGrants--
		time.AfterFunc(w.lateBy, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !p.ended {
				w.grant(p, g, arrived)
			}
		})
		return dialect.GrantRefused, callResult{sent: true, err: context.DeadlineExceeded}
	}
	taken := w.grant(p, g, arrived)
	if w.loseGrants > 0 {
		w.loseGrants--
		return dialect.GrantRefused, callResult{sent: true, err: context.DeadlineExceeded}
	}
	if !taken {
		return dialect.GrantStale, callResult{sent: true, status: http.StatusConflict}
	}
	return dialect.GrantTaken, callResult{sent: true, status: http.StatusOK}
}

func (l *wire) release(ctx context.Context, timeout time.Duration, from, to int, _ catalog.Fence) callResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p, err := l.reach(ctx)
	if err != nil {
		return callResult{sent: !errors.Is(err, errNotListening), err: err}
	}
	w := l.world
	w.mu.Lock()
	if p.registered.ID != l.server.ID {
		w.mu.Unlock()
		return callResult{sent: true, err: errors.New("another server")}
	}
	if w.lateReleases > 0 {
		w.lateReleases--
		time.AfterFunc(w.lateBy, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			p.held = cutOut(p.held, from, to)
		})
		w.mu.Unlock()
		return callResult{sent: true, err: context.DeadlineExceeded}
	}
	// Only the release that takes keys waits for the work on them.
	held := p.holds(from, to, time.Now())
	p.held = cutOut(p.held, from, to)
	w.mu.Unlock()
	for held {
		w.mu.Lock()
		held = p.busy(from, to, time.Now())
		w.mu.Unlock()
		time.Sleep(modelDelay)
		if ctx.Err() != nil {
			return callResult{sent: true, err: ctx.Err()}
		}
	}
	return callResult{sent: true, status: http.StatusOK}
}

func (l *wire) check(ctx context.Context, _ string) error {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	p, err := l.reach(ctx)
	if err != nil {
		return err
	}
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	if p.registered.ID != l.server.ID {
		return errors.Wrap(errNotListening, "another")
	}
	return nil
}

// daemon is one life of a daemon with what it believes.
type daemon struct {
	world   *world
	self    follow.Daemon
	catalog *catalog.Catalog
	keeper  *Keeper

	mu        sync.Mutex
	held      platform.Record
	storeAt   time.Time
	stillTill time.Time // the process stands still
	cutTill   time.Time // the store does not answer this daemon
	aloneTill time.Time // the other daemons do not reach it
	dead      bool
	alive     context.Context
	end       context.CancelFunc
}

// stop ends the daemon's goroutines.
func (d *daemon) stop() {
	d.end()
	d.keeper.background.Stop()
	d.keeper.giveUp()
}

var errDead = errors.New("the process has ended")

// awake blocks while the process stands still, and fails when it has ended.
func (d *daemon) awake(ctx context.Context) error {
	for {
		d.mu.Lock()
		dead, still := d.dead, time.Until(d.stillTill)
		d.mu.Unlock()
		if dead {
			return errDead
		}
		if still <= 0 {
			return ctx.Err()
		}
		time.Sleep(still)
	}
}

// store calls f at the store, or fails when it is away from this daemon.
func (d *daemon) store(ctx context.Context, f func(w *world) error) error {
	if err := d.awake(ctx); err != nil {
		return platform.ErrUnavailable
	}
	time.Sleep(modelDelay)
	d.mu.Lock()
	cut := time.Now().Before(d.cutTill)
	d.mu.Unlock()
	w := d.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if cut || time.Now().Before(w.storeDownTill) {
		return platform.ErrUnavailable
	}
	err := f(w)
	if !errors.Is(err, platform.ErrAmbiguous) {
		d.mu.Lock()
		d.storeAt = time.Now()
		d.mu.Unlock()
	}
	return err
}

// Put implements platform.Feed.
func (d *daemon) Put(ctx context.Context, _ platform.Collection, r platform.Record, expect platform.Revision) (platform.Revision, error) {
	var revision platform.Revision
	err := d.store(ctx, func(w *world) error {
		if w.lateWrites > 0 {
			w.lateWrites--
			time.AfterFunc(w.lateBy, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.write(r, expect)
			})
			return platform.ErrAmbiguous
		}
		if !w.write(r, expect) {
			return platform.ErrConflict
		}
		revision = w.revision
		if w.loseWrites > 0 {
			w.loseWrites--
			return platform.ErrAmbiguous
		}
		return nil
	})
	return revision, err
}

func (w *world) write(r platform.Record, expect platform.Revision) bool {
	if w.record.Revision != expect {
		return false
	}
	w.revision++
	r.Revision = w.revision
	w.record = r
	return true
}

// Read implements platform.Feed. The keeper does not call it.
func (d *daemon) Read(context.Context, platform.Collection) (platform.Page, error) {
	return platform.Page{}, platform.ErrUnavailable
}

// Changes implements platform.Feed. The keeper does not call it.
func (d *daemon) Changes(context.Context, platform.Collection, platform.Revision, time.Duration) (platform.Page, error) {
	return platform.Page{}, platform.ErrUnavailable
}

// Self implements beliefs.
func (d *daemon) Self() follow.Daemon { return d.self }

// DaemonByName implements beliefs.
func (d *daemon) DaemonByName(name model.DaemonID) (follow.Daemon, bool) {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	for _, other := range d.world.keepers {
		if other.self.Name == name {
			return other.self, true
		}
	}
	return follow.Daemon{}, false
}

// Candidates implements beliefs.
func (d *daemon) DesignatedFollowers() []follow.Daemon {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	all := make([]follow.Daemon, 0, len(d.world.keepers))
	for _, other := range d.world.keepers {
		all = append(all, other.self)
	}
	return all
}

// Designated implements beliefs.
func (d *daemon) Designated() bool { return true }

// StoreAge implements beliefs.
func (d *daemon) StoreAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.storeAt)
}

// StoreReachable implements beliefs.
func (d *daemon) StoreReachable() bool { return d.StoreAge() < time.Second }

// Registered implements beliefs.
func (d *daemon) ReadRegistration(ctx context.Context, id model.ServerID) (server *catalog.Server, found bool, err error) {
	err = d.store(ctx, func(w *world) error {
		server, found = w.registry[id], w.registry[id] != nil
		return nil
	})
	return server, found, err
}

// SharedRecord implements beliefs.
func (d *daemon) SharedRecord(string) (platform.Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held, d.held.Revision > 0
}

// Refresh implements beliefs.
func (d *daemon) RefreshShared(ctx context.Context) {
	var record platform.Record
	err := d.store(ctx, func(w *world) error {
		record = w.record
		return nil
	})
	if err == nil {
		d.ApplyWrite(platform.Shared, record)
	}
}

// Learn implements beliefs.
func (d *daemon) ApplyWrite(_ platform.Collection, r platform.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Revision <= d.held.Revision {
		return
	}
	d.held = r
	if owners, err := follow.DecodeOwners(r); err == nil {
		d.catalog.PublishOwners(owners)
	}
}

// hear takes the registrations and the record from the store, as the daemon's
// long polls do.
func (d *daemon) hear(ctx context.Context, lag time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(lag)
		servers := map[model.ServerID]*catalog.Server{}
		err := d.store(ctx, func(w *world) error {
			for id, server := range w.registry {
				servers[id] = server
			}
			return nil
		})
		if err != nil {
			continue
		}
		d.mu.Lock()
		d.catalog.PublishServers(servers)
		d.mu.Unlock()
		d.RefreshShared(ctx)
	}
}

// askAnother asks another daemon about its keeping.
func (d *daemon) askAnother(ctx context.Context, other follow.Daemon, service model.PoolName) (*askAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	target, err := d.find(ctx, other.Name)
	if err != nil {
		return nil, err
	}
	return target.keeper.serveAsk(ctx, &askRequest{Service: service})
}

// yieldAnother asks another daemon to give up.
func (d *daemon) yieldAnother(ctx context.Context, other follow.Daemon, r *yieldRequest) error {
	target, err := d.find(ctx, other.Name)
	if err != nil {
		return err
	}
	_, err = target.keeper.serveYield(ctx, r)
	return err
}

// find returns another daemon when it answers.
func (d *daemon) find(ctx context.Context, name model.DaemonID) (*daemon, error) {
	if err := d.awake(ctx); err != nil {
		return nil, err
	}
	time.Sleep(modelDelay)
	d.world.mu.Lock()
	var target *daemon
	for _, k := range d.world.keepers {
		if k.self.Name == name {
			target = k
		}
	}
	d.world.mu.Unlock()
	target.mu.Lock()
	now := time.Now()
	dead, unheard := target.dead, now.Before(target.stillTill) || now.Before(target.aloneTill)
	target.mu.Unlock()
	switch {
	case dead:
		return nil, errors.Wrap(syscall.ECONNREFUSED, "call")
	case unheard:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return target, nil
}
