package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// Bounds of following.
const (
	storeFollowers = 3                       // daemons, at least, that follow the store while all is well
	storeWait      = 900 * time.Millisecond  // the store's answer without a change comes after this
	sharedWait     = 1700 * time.Millisecond // the same for the system's own records, which have no bound
	storeSlack     = 500 * time.Millisecond  // beyond its wait, the store answers within this; a slow one does
	readTimeout    = 1500 * time.Millisecond // bound of one read of a whole collection
	peerWait       = 600 * time.Millisecond  // a daemon's answer without a change comes after this
	peerTimeout    = 900 * time.Millisecond  // bound of one wait for a daemon
	joinPause      = 150 * time.Millisecond  // pause after a change, in which further ones join it
	seedTimeout    = 100 * time.Millisecond  // the store is asked too when no seed has answered
	firstPause     = 400 * time.Millisecond  // time for the other daemons of a new system to register
	failurePause   = 300 * time.Millisecond  // pause after a failed call to the store
	strangerPause  = time.Second             // the same for a daemon that is not designated to follow it
	suspectFor     = 2 * time.Second         // a daemon that did not answer is passed over for this time
	freshWithin    = 3000 * time.Millisecond // a daemon that heard from the store within this is worth following
)

const methodPoll rpc.Method = "follow.poll"

// pollRequest says what a daemon has. Records that it lacks are the answer.
type pollRequest struct {
	Have   map[platform.Collection]platform.Revision `json:"have"`
	WaitMS int64                                     `json:"wait_ms"`
}

type pollAnswer struct {
	Updates map[platform.Collection]update `json:"updates,omitempty"`
	// AgeMS is the time since the answering daemon heard from the store.
	AgeMS int64 `json:"age_ms"`
	// OnStore says that it follows the store itself.
	OnStore bool `json:"on_store"`
}

// run registers this daemon and follows until ctx ends.
func (f *Follower) run(ctx context.Context) {
	for !f.learnAll(ctx) && ctx.Err() == nil {
		pause(ctx, failurePause)
	}
	f.register(ctx)
	f.awaitOthers(ctx)
	for ctx.Err() == nil {
		if f.Designated() {
			f.followStore(ctx)
			continue
		}
		if !f.followPeers(ctx) {
			f.followStore(ctx)
		}
	}
}

// learnAll takes all collections from a seed or from the store. It reports false
// when neither gave them.
func (f *Follower) learnAll(ctx context.Context) bool {
	f.askSeeds(ctx)
	return f.readUnknown(ctx)
}

// askSeeds takes what a seed knows, which spares the store, and helps a start
// during which it does not answer. Seeds that are down too cost little time: they
// are tried further on while the store is asked.
func (f *Follower) askSeeds(ctx context.Context) {
	done := make(chan struct{})
	f.background.Go(func(ctx context.Context) {
		defer close(done)
		f.askOneSeed(ctx)
	})
	timer := time.NewTimer(seedTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// askOneSeed asks the seeds in random order until one answers.
func (f *Follower) askOneSeed(ctx context.Context) {
	for _, i := range rand.Perm(len(f.config.Seeds)) {
		seed := f.config.Seeds[i]
		if seed == f.config.ControlAddress || ctx.Err() != nil {
			continue
		}
		if _, err := f.poll(ctx, seed, 0); err == nil {
			return
		}
	}
}

// readUnknown reads what the seeds did not tell. It reports that all is known.
func (f *Follower) readUnknown(ctx context.Context) bool {
	var all sync.WaitGroup
	var failed atomic.Bool
	for _, c := range collections {
		if f.replicas[c].known() > 0 {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			if err := f.read(ctx, c); err != nil {
				failed.Store(true)
				f.log.Warn("records not read", zap.String("peer", "store"), zap.String("collection", string(c)), zap.Error(err))
			}
		}()
	}
	all.Wait()
	return !failed.Load()
}

// awaitOthers gives the other daemons of a new system time to register.
func (f *Follower) awaitOthers(ctx context.Context) {
	others := false
	known := func() { others = len(f.Daemons()) > 1 } // after what was read before
	if err := f.loop.Call(ctx, known); err != nil || others {
		return
	}
	pause(ctx, firstPause)
	if err := f.read(ctx, platform.Shared); err != nil {
		f.log.Warn("daemons not read", zap.String("peer", "store"), zap.Error(err))
	}
}

// register writes this daemon's record, over that of its last life.
func (f *Follower) register(ctx context.Context) {
	value, err := json.Marshal(f.Self())
	if err != nil {
		f.log.Error("not registered", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		err := f.putSelf(ctx, value)
		if err == nil {
			return
		}
		f.log.Warn("not registered, trying again", zap.String("peer", "store"), zap.Error(err))
		if f.catalog.Load().Configuration != nil {
			// The seeds know enough to serve; the record can wait.
			f.background.Go(func(ctx context.Context) {
				pause(ctx, failurePause)
				f.register(ctx)
			})
			return
		}
		pause(ctx, failurePause)
	}
}

func (f *Follower) putSelf(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	name := platform.DaemonPrefix + string(f.config.Name)
	expect := platform.Revision(0)
	if held, ok := f.replicas[platform.Shared].get(name); ok {
		expect = held.Revision
	}
	record := platform.Record{Name: name, Value: value}
	revision, err := f.feed.Put(ctx, platform.Shared, record, expect)
	if err == nil {
		f.storeAnswered()
		record.Revision = revision
		f.ApplyWrite(platform.Shared, record)
		return nil
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrAmbiguous) {
		if readErr := f.read(ctx, platform.Shared); readErr != nil {
			return readErr
		}
	}
	return err
}

// ranked returns the daemons in the order in which they follow the store: those
// with the most cores first.
func (f *Follower) ranked() []Daemon {
	daemons := f.Daemons()
	sort.Slice(daemons, func(i, j int) bool {
		if daemons[i].Cores != daemons[j].Cores {
			return daemons[i].Cores > daemons[j].Cores
		}
		return daemons[i].Score(string(ServiceName)) > daemons[j].Score(string(ServiceName))
	})
	return daemons
}

// Candidates returns the daemons that follow the store while all is well: the
// first ones of each zone, so that news crosses zones once.
func (f *Follower) DesignatedFollowers() []Daemon {
	ranked := f.ranked()
	zones := map[model.Zone]int{}
	for _, d := range ranked {
		zones[d.Zone] = 0
	}
	each := (storeFollowers + len(zones) - 1) / len(zones)
	var candidates []Daemon
	for _, d := range ranked {
		if zones[d.Zone] < each {
			zones[d.Zone]++
			candidates = append(candidates, d)
		}
	}
	return candidates
}

// Designated reports that this daemon should follow the store itself.
func (f *Follower) Designated() bool {
	for _, d := range f.DesignatedFollowers() {
		if d.Name == f.config.Name {
			return true
		}
	}
	return false
}

// Suspected reports that a daemon did not answer a short time ago.
func (f *Follower) Suspected(name model.DaemonID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.failed[name]
	return ok && time.Since(at) < suspectFor
}

// Suspect notes that a daemon did not answer.
func (f *Follower) Suspect(name model.DaemonID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[name] = time.Now()
}

// followPeers follows one of the daemons that follow the store, as long as it
// answers and hears from the store. It reports false when none does.
func (f *Follower) followPeers(ctx context.Context) bool {
	for _, d := range f.nearestFirst(f.DesignatedFollowers()) {
		if d.Name == f.config.Name || f.Suspected(d.Name) {
			continue
		}
		if f.followPeer(ctx, d) {
			return true
		}
	}
	return false
}

// nearestFirst puts the daemons of the own zone first; the rest is in random order.
func (f *Follower) nearestFirst(daemons []Daemon) []Daemon {
	rand.Shuffle(len(daemons), func(i, j int) { daemons[i], daemons[j] = daemons[j], daemons[i] })
	sort.SliceStable(daemons, func(i, j int) bool {
		return daemons[i].Zone == f.config.Zone && daemons[j].Zone != f.config.Zone
	})
	return daemons
}

// followPeer follows one daemon until it fails. It reports that it answered well at all.
func (f *Follower) followPeer(ctx context.Context, d Daemon) bool {
	good := false
	for ctx.Err() == nil {
		answer, err := f.poll(ctx, d.Control, peerWait)
		if err != nil {
			f.Suspect(d.Name)
			f.log.Info("daemon not followed any more", zap.String("peer", string(d.Name)), zap.Error(err))
			return good
		}
		if !answer.OnStore || time.Duration(answer.AgeMS)*time.Millisecond > freshWithin {
			f.Suspect(d.Name)
			f.log.Info("daemon does not hear from the store", zap.String("peer", string(d.Name)), zap.Int64("age_ms", answer.AgeMS))
			return good
		}
		good = true
		if f.Designated() {
			return true
		}
	}
	return true
}

// poll asks a daemon for what is new there.
func (f *Follower) poll(ctx context.Context, address string, wait time.Duration) (*pollAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout-peerWait)
	defer cancel()
	request := &pollRequest{Have: map[platform.Collection]platform.Revision{}, WaitMS: wait.Milliseconds()}
	for _, c := range collections {
		request.Have[c] = f.replicas[c].known()
	}
	answer, err := rpc.Call[pollAnswer](ctx, f.client, address, methodPoll, request)
	if err != nil {
		return nil, err
	}
	for c, u := range answer.Updates {
		if f.replicas[c] != nil {
			f.publish(c, f.replicas[c].apply(u))
		}
	}
	heard := time.Now().Add(-time.Duration(answer.AgeMS) * time.Millisecond)
	if last := f.heardAt.Load(); last == nil || heard.After(*last) {
		f.heardAt.Store(&heard)
	}
	return answer, nil
}

func (f *Follower) servePoll(ctx context.Context, request *pollRequest) (*pollAnswer, error) {
	deadline := time.Now().Add(time.Duration(request.WaitMS) * time.Millisecond)
	for {
		changed := f.Changed()
		answer := f.lacking(request)
		left := time.Until(deadline)
		if len(answer.Updates) > 0 || left <= 0 || !answer.OnStore {
			return answer, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

func (f *Follower) lacking(request *pollRequest) *pollAnswer {
	answer := &pollAnswer{Updates: map[platform.Collection]update{}, AgeMS: f.Age().Milliseconds(), OnStore: f.StoreReachable()}
	for _, c := range collections {
		if f.replicas[c].known() == 0 {
			continue
		}
		u := f.replicas[c].since(request.Have[c])
		if u.Full || len(u.Records) > 0 {
			answer.Updates[c] = u
		}
	}
	return answer
}

// followStore follows all collections of the store: a designated daemon until
// ctx ends or it is not designated any more, another one for one round.
func (f *Follower) followStore(ctx context.Context) {
	var all sync.WaitGroup
	for _, c := range collections {
		all.Add(1)
		go func() {
			defer all.Done()
			f.followCollection(ctx, c)
		}()
	}
	all.Wait()
}

func (f *Follower) followCollection(ctx context.Context, c platform.Collection) {
	failing := false
	defer func() { f.noteFailing(failing, false) }()
	for ctx.Err() == nil {
		err := f.wait(ctx, c)
		if err != nil && !failing {
			f.log.Warn("store lost", zap.String("peer", "store"), zap.String("collection", string(c)), zap.Error(err))
		}
		if err == nil && failing {
			f.log.Info("store regained", zap.String("peer", "store"), zap.String("collection", string(c)))
		}
		f.noteFailing(failing, err != nil)
		failing = err != nil
		if failing {
			f.catchUp(ctx)
			f.pauseAfterFailure(ctx)
		}
		if !f.Designated() {
			return
		}
	}
}

// noteFailing counts the collections that the store does not give, and wakes the
// daemons that follow this one when the first one fails.
func (f *Follower) noteFailing(before, now bool) {
	switch {
	case now && !before:
		if f.failing.Add(1) == 1 {
			f.wake()
		}
	case before && !now:
		f.failing.Add(-1)
	}
}

// pauseAfterFailure waits before the next call to a store that failed. Daemons
// that only try it because no other is heard from wait longer.
func (f *Follower) pauseAfterFailure(ctx context.Context) {
	least := failurePause
	if !f.Designated() {
		least = strangerPause
	}
	pause(ctx, least+rand.N(least))
}

// catchUp asks the other candidates what they know, for a daemon that the store
// does not serve.
func (f *Follower) catchUp(ctx context.Context) {
	for _, d := range f.DesignatedFollowers() {
		if d.Name == f.config.Name || f.Suspected(d.Name) {
			continue
		}
		answer, err := f.poll(ctx, d.Control, 0)
		if err != nil {
			f.Suspect(d.Name)
			continue
		}
		if answer.OnStore {
			return
		}
	}
}

// wait takes the next changes of a collection.
func (f *Follower) wait(ctx context.Context, c platform.Collection) error {
	if f.replicas[c].known() == 0 {
		return f.read(ctx, c)
	}
	length := storeWait
	if c == platform.Shared {
		length = sharedWait
	}
	waitCtx, cancel := context.WithTimeout(ctx, length+storeSlack)
	defer cancel()
	page, err := f.feed.Changes(waitCtx, c, f.replicas[c].known(), length)
	f.calls.Inc()
	if errors.Is(err, platform.ErrHistoryGone) {
		f.log.Info("history gone, reading anew", zap.String("collection", string(c)))
		return f.read(ctx, c)
	}
	if err != nil {
		return err
	}
	f.storeAnswered()
	f.publish(c, f.replicas[c].apply(update{Records: wireRecords(page.Records), Revision: page.Revision}))
	if len(page.Records) > 0 {
		pause(ctx, joinPause)
	}
	return nil
}

// read takes a whole collection.
func (f *Follower) read(ctx context.Context, c platform.Collection) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := f.feed.Read(ctx, c)
	f.calls.Inc()
	if err != nil {
		return err
	}
	f.storeAnswered()
	f.publish(c, f.replicas[c].apply(update{Full: true, Records: wireRecords(page.Records), Revision: page.Revision}))
	return nil
}

func (f *Follower) storeAnswered() {
	now := time.Now()
	f.storeAt.Store(&now)
	f.heardAt.Store(&now)
}

func wireRecords(records []platform.Record) []wireRecord {
	list := make([]wireRecord, 0, len(records))
	for _, record := range records {
		list = append(list, wireRecord(record))
	}
	return list
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
