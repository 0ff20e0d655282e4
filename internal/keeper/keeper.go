package keeper

import (
	"context"
	"encoding/json"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the keeper's name in the kernel.
const ServiceName kernel.Name = "keeper"

// Rates and bounds of looking after the keepers.
const (
	lookPeriod    = 250 * time.Millisecond // time between two looks at the keepers
	askTimeout    = 250 * time.Millisecond // bound of one question to a keeper
	silentAsks    = 2                      // questions in a row without an answer that make a keeper silent
	reportPeriod  = 400 * time.Millisecond // time between two reports of load to a keeper
	reportTimeout = 400 * time.Millisecond
	storeFresh    = 3000 * time.Millisecond // the store has answered within this time
	cutOffAfter   = 3500 * time.Millisecond // a keeper that has not heard from the store for this time is replaced
	doubtLimit    = 10 * time.Second        // a write of unknown outcome is made again for this time
	doubtPause    = 150 * time.Millisecond
	createWait    = 600 * time.Millisecond // servers of a new service are awaited for this time
)

const (
	methodAsk    rpc.Method = "keeper.ask"
	methodReport rpc.Method = "keeper.report"
)

type askRequest struct {
	Service model.PoolName `json:"service"`
}

type askAnswer struct {
	Life model.Incarnation `json:"life"`
	// Keeping says that the daemon tends the service's keys.
	Keeping bool `json:"keeping"`
	// StoreAgeMS is the time since the store answered the daemon.
	StoreAgeMS int64 `json:"store_age_ms"`
}

type keyedReport = backends.KeyedStats

type reportRequest struct {
	Services map[model.PoolName]*keyedReport `json:"services"`
}

type reportAnswer struct{}

// Keeper takes and keeps the services that need one.
type Keeper struct {
	config   *config.Config
	network  *netx.Network
	dialect  dialect.Dialect
	catalog  *catalog.Catalog
	follow   *follow.Follow
	feed     platform.Feed
	client   *rpc.Client
	backends *backends.Backends
	log      *zap.Logger

	mu      sync.Mutex
	tenders map[model.PoolName]*tender
	watched map[model.PoolName]*watchedKeeper
	leaving bool

	background kernel.Background
}

// watchedKeeper is another daemon's keeping as this one sees it.
type watchedKeeper struct {
	revision  uint64
	failed    int // questions in a row without an answer
	knownAt   time.Time
	creatable time.Time // when a new service may be divided
}

// New returns a keeper that is not yet started.
func New(
	c *config.Config,
	network *netx.Network,
	d dialect.Dialect,
	cat *catalog.Catalog,
	f *follow.Follow,
	feed platform.Feed,
	server *rpc.Server,
	client *rpc.Client,
	b *backends.Backends,
	log *zap.Logger,
) *Keeper {
	k := &Keeper{
		config:   c,
		network:  network,
		dialect:  d,
		catalog:  cat,
		follow:   f,
		feed:     feed,
		client:   client,
		backends: b,
		log:      log.Named(string(ServiceName)),
		tenders:  map[model.PoolName]*tender{},
		watched:  map[model.PoolName]*watchedKeeper{},
	}
	rpc.Handle(server, methodAsk, k.serveAsk)
	rpc.Handle(server, methodReport, k.serveReport)
	return k
}

// Name implements kernel.Service.
func (k *Keeper) Name() kernel.Name { return ServiceName }

// After implements kernel.Service. The keeper starts last, so that at the end
// it gives its services up first.
func (k *Keeper) After() []kernel.Name { return []kernel.Name{follow.ServiceName, "gateway"} }

// Ready implements kernel.Service.
func (k *Keeper) Ready() error { return nil }

// Start implements kernel.Service.
func (k *Keeper) Start(context.Context) error {
	k.background.Go(k.lookLoop)
	k.background.Go(k.reportLoop)
	return nil
}

// Drain implements kernel.Drainer. The services are given up, so that another
// daemon takes them before their grants run out.
func (k *Keeper) Drain(context.Context) error {
	k.giveUp()
	return nil
}

// Stop implements kernel.Service.
func (k *Keeper) Stop(context.Context) error {
	k.background.Stop()
	k.giveUp()
	return nil
}

func (k *Keeper) giveUp() {
	k.mu.Lock()
	k.leaving = true
	tenders := k.tenders
	k.tenders = map[model.PoolName]*tender{}
	k.mu.Unlock()
	for _, t := range tenders {
		t.stop()
	}
}

func (k *Keeper) lookLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lookPeriod):
		}
		k.look(ctx)
	}
}

// look sees to it that each keyed service has a keeper.
func (k *Keeper) look(ctx context.Context) {
	snapshot := k.catalog.Load()
	if snapshot.Configuration == nil {
		return
	}
	k.dropDeposed()
	if k.follow.StoreAge() > storeFresh || !k.candidate() || k.isLeaving() {
		return
	}
	for _, service := range snapshot.Configuration.KeyedServices() {
		if k.tending(service.Name) {
			continue
		}
		k.lookAt(ctx, snapshot, service.Name)
	}
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

func (k *Keeper) candidate() bool {
	for _, d := range k.follow.Candidates() {
		if d.Name == k.config.Name {
			return true
		}
	}
	return false
}

func (k *Keeper) tending(service model.PoolName) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tenders[service] != nil
}

func (k *Keeper) dropDeposed() {
	k.mu.Lock()
	var ended []*tender
	for service, t := range k.tenders {
		if t.isDeposed() {
			ended = append(ended, t)
			delete(k.tenders, service)
		}
	}
	k.mu.Unlock()
	for _, t := range ended {
		t.stop()
	}
}

// lookAt takes a service whose keeper is missing, silent or cut off.
func (k *Keeper) lookAt(ctx context.Context, snapshot *catalog.Snapshot, service model.PoolName) {
	owners := snapshot.Owners[service]
	w := k.watch(service, owners)
	if owners == nil {
		k.create(ctx, snapshot, service, w)
		return
	}
	if owners.Keeper == k.config.Name {
		k.takeOver(ctx, owners, "this daemon's earlier life or keeping", true)
		return
	}
	d, known := k.follow.DaemonByName(owners.Keeper)
	if !known {
		k.takeOver(ctx, owners, "the keeper is not known", false)
		return
	}
	answer, err := k.ask(ctx, d, service)
	switch {
	case err == nil && answer.Life != owners.KeeperLife:
		k.takeOver(ctx, owners, "the keeper's process has ended", true)
	case err == nil && !answer.Keeping:
		k.takeOver(ctx, owners, "the keeper has given up", true)
	case err == nil && time.Duration(answer.StoreAgeMS)*time.Millisecond > cutOffAfter:
		k.takeOver(ctx, owners, "the keeper does not hear from the store", false)
	case err == nil:
		w.failed = 0
	case errors.Is(err, syscall.ECONNREFUSED):
		k.takeOver(ctx, owners, "the keeper's process has ended", true)
	default:
		w.failed++
		if w.failed >= silentAsks {
			k.takeOver(ctx, owners, "the keeper does not answer", false)
		}
	}
}

func (k *Keeper) watch(service model.PoolName, owners *catalog.Owners) *watchedKeeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watched[service]
	if w == nil || (owners != nil && w.revision != owners.Revision) {
		w = &watchedKeeper{knownAt: time.Now()}
		if owners != nil {
			w.revision = owners.Revision
		}
		k.watched[service] = w
	}
	return w
}

func (k *Keeper) ask(ctx context.Context, d follow.Daemon, service model.PoolName) (*askAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return rpc.Call[askAnswer](ctx, k.client, d.Control, methodAsk, &askRequest{Service: service})
}

func (k *Keeper) serveAsk(_ context.Context, r *askRequest) (*askAnswer, error) {
	return &askAnswer{
		Life:       k.follow.Self().Life,
		Keeping:    k.tending(r.Service),
		StoreAgeMS: k.follow.StoreAge().Milliseconds(),
	}, nil
}

// create divides a service that has no record yet.
func (k *Keeper) create(ctx context.Context, snapshot *catalog.Snapshot, service model.PoolName, w *watchedKeeper) {
	if k.follow.Candidates()[0].Name != k.config.Name && time.Since(w.knownAt) < 3*createWait {
		return
	}
	if len(snapshot.ByService[service]) == 0 {
		return
	}
	if w.creatable.IsZero() {
		w.creatable = time.Now().Add(createWait)
	}
	if time.Now().Before(w.creatable) {
		return
	}
	var usable []*catalog.Server
	for _, server := range snapshot.ByService[service] {
		if !server.Leaving {
			usable = append(usable, server)
		}
	}
	ranges := divide(newLoad(time.Now()), usable)
	for i := range ranges {
		ranges[i].Fence = 1
	}
	k.take(ctx, &catalog.Owners{Service: service, Term: 1, Ranges: ranges}, time.Time{}, "the service has no keeper yet")
}

// takeOver grants the same keys to the same servers under higher fences. ended
// says that the old keeper's process has ended or tends no longer.
func (k *Keeper) takeOver(ctx context.Context, owners *catalog.Owners, why string, ended bool) {
	next := *owners
	next.Term++
	next.Ranges = append([]catalog.Range(nil), owners.Ranges...)
	for i := range next.Ranges {
		next.Ranges[i].Fence = nextFence(owners)
	}
	othersUntil := time.Now().Add(runOut())
	if !ended {
		othersUntil = othersUntil.Add(outageTending)
	}
	k.take(ctx, &next, othersUntil, why)
}

// take writes this daemon's keeping and begins to tend.
func (k *Keeper) take(ctx context.Context, next *catalog.Owners, othersUntil time.Time, why string) {
	next.Keeper = k.config.Name
	next.KeeperLife = k.follow.Self().Life
	written, err := k.put(ctx, next)
	if err != nil {
		k.log.Warn("keys not taken", zap.String("service", string(next.Service)), zap.String("why", why), zap.Error(err))
		if errors.Is(err, platform.ErrConflict) {
			k.follow.Refresh(ctx)
		}
		return
	}
	k.log.Info("keys taken", zap.String("service", string(next.Service)), zap.String("why", why),
		zap.Uint64("term", uint64(next.Term)), zap.Uint64("revision", written.Revision))
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.leaving {
		k.tenders[next.Service] = newTender(k, written, othersUntil)
	}
}

// put writes owners whose Revision is the one that they replace. It returns
// when the outcome is known: a write without an answer may take effect seconds
// later, and until it is known to have failed nothing may be granted that it
// contradicts. The same write is therefore made again until its condition
// decides; errDoubt says that this took too long.
func (k *Keeper) put(ctx context.Context, next *catalog.Owners) (*catalog.Owners, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode owners")
	}
	record := platform.Record{Name: follow.OwnersName(next.Service), Value: value}
	revision, err := k.putOnce(ctx, record, platform.Revision(next.Revision))
	if errors.Is(err, platform.ErrAmbiguous) {
		revision, err = k.resolve(ctx, record, platform.Revision(next.Revision))
	}
	if err != nil {
		return nil, err
	}
	record.Revision = revision
	k.follow.Learn(platform.Shared, record)
	written := *next
	written.Revision = uint64(revision)
	return &written, nil
}

func (k *Keeper) putOnce(ctx context.Context, record platform.Record, expect platform.Revision) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return k.feed.Put(ctx, platform.Shared, record, expect)
}

// errDoubt says that it is not known whether a write took effect.
var errDoubt = errors.New("keeper: the outcome of a write is not known")

// resolve makes a write of unknown outcome again until its outcome is known.
func (k *Keeper) resolve(ctx context.Context, record platform.Record, expect platform.Revision) (platform.Revision, error) {
	k.log.Warn("write without an answer, made again", zap.String("record", record.Name), zap.Uint64("expected", uint64(expect)))
	end := time.Now().Add(doubtLimit)
	for time.Now().Before(end) && ctx.Err() == nil {
		revision, err := k.putOnce(ctx, record, expect)
		if err == nil {
			return revision, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return k.foundWritten(ctx, record)
		}
		time.Sleep(doubtPause)
	}
	return 0, errDoubt
}

// foundWritten tells a write that took effect from one that another replaced.
func (k *Keeper) foundWritten(ctx context.Context, record platform.Record) (platform.Revision, error) {
	k.follow.Refresh(ctx)
	held, ok := k.follow.SharedRecord(record.Name)
	if ok && string(held.Value) == string(record.Value) {
		return held.Revision, nil
	}
	return 0, platform.ErrConflict
}

// reportLoop tells the keepers what this daemon saw.
func (k *Keeper) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportPeriod):
		}
		k.report(ctx)
	}
}

func (k *Keeper) report(ctx context.Context) {
	snapshot := k.catalog.Load()
	byKeeper := map[model.DaemonID]*reportRequest{}
	for service, stats := range k.backends.Stats().Take() {
		owners := snapshot.Owners[service]
		if owners == nil {
			continue
		}
		request := byKeeper[owners.Keeper]
		if request == nil {
			request = &reportRequest{Services: map[model.PoolName]*keyedReport{}}
			byKeeper[owners.Keeper] = request
		}
		request.Services[service] = stats
	}
	for keeper, request := range byKeeper {
		if keeper == k.config.Name {
			k.accept(request)
			continue
		}
		d, known := k.follow.DaemonByName(keeper)
		if !known {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		if _, err := rpc.Call[reportAnswer](callCtx, k.client, d.Control, methodReport, request); err != nil {
			k.log.Debug("load not reported", zap.String("peer", string(keeper)), zap.Error(err))
		}
		cancel()
	}
}

func (k *Keeper) serveReport(_ context.Context, r *reportRequest) (*reportAnswer, error) {
	k.accept(r)
	return &reportAnswer{}, nil
}

// accept gives a report to the tenders.
func (k *Keeper) accept(r *reportRequest) {
	for service, stats := range r.Services {
		k.mu.Lock()
		t := k.tenders[service]
		k.mu.Unlock()
		if t != nil && stats != nil {
			t.report(stats)
		}
	}
}
