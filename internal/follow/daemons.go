package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/retry"
)

// Delays of writes of this daemon's record.
const (
	registerAgainJitter  = time.Second     // spreads the writes after the store came back from an older copy
	longestRegisterPause = 4 * time.Second // between two tries
)

// Daemon is the record with which a daemon registers itself in the store. The encoded
// names are kept for daemons of other builds.
type Daemon struct {
	Name        model.DaemonID    `json:"name"`
	Incarnation model.Incarnation `json:"life"`
	Zone        model.Zone        `json:"zone"`
	Control     string            `json:"control"` // ip:port at which other daemons call it
	// Cores is the number of processor cores that the daemon may use.
	Cores float64 `json:"cores"`
}

// Score returns the daemon's score for a task; the daemon with the highest score is
// chosen. All daemons compute the same score, and a daemon is chosen for a share of
// the tasks that grows with its cores.
func (d Daemon) Score(task string) float64 {
	return placement.WeightedScore(task, string(d.Name), d.Cores)
}

// daemonRecord is the stored form of a Daemon.
type daemonRecord struct {
	Daemon
	// Era is the era for which the record was written. It is left out in the first one. An
	// older copy of the store has no record that was written for a later era.
	Era platform.Era `json:"era,omitempty"`
}

// writtenFor returns the era for which the record was written.
func (r *daemonRecord) writtenFor() platform.Era { return max(r.Era, platform.FirstEra) }

// encode returns the value of the record in the store.
func (r daemonRecord) encode() ([]byte, error) {
	if r.Era == platform.FirstEra {
		r.Era = 0
	}
	value, err := json.Marshal(r)
	return value, errors.Wrapf(err, "record of daemon %s: encode", r.Name)
}

// Self returns this daemon's record.
func (f *Follower) Self() Daemon {
	return Daemon{Name: f.config.Name, Incarnation: f.incarnation, Zone: f.config.Zone, Control: f.config.AdvertisedControl(), Cores: f.config.Fenced.Cores}
}

// Daemons returns the registered daemons, and this one in any case.
func (f *Follower) Daemons() []Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Daemon, 0, len(f.daemons)+1)
	for _, d := range f.daemons {
		if d.Name != f.config.Name {
			list = append(list, d.Daemon)
		}
	}
	return append(list, f.Self())
}

// Peers returns the control addresses (ip:port) of the other daemons that are not suspected.
func (f *Follower) Peers() []string {
	var peers []string
	for _, d := range f.Daemons() {
		if d.Name != f.config.Name && !f.Suspected(d.Name) {
			peers = append(peers, d.Control)
		}
	}
	return peers
}

// DaemonByName returns the daemon of that name, or false when it is not registered.
func (f *Follower) DaemonByName(name model.DaemonID) (Daemon, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[name]
	return d.Daemon, ok
}

// applyDaemon takes over the record of a daemon. A record that replaces one of an earlier
// era of the store may be that of an older copy, and counts only if it was written for a later
// era than the known one: otherwise the daemon registers again if it is not its current one.
func (f *Follower) applyDaemon(name model.DaemonID, changed change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, isKnown := f.daemons[name]
	if changed.Deleted {
		if !isKnown || !changed.acrossEras {
			delete(f.daemons, name)
		}
		return
	}
	var d daemonRecord
	if err := json.Unmarshal(changed.Value, &d); err != nil {
		f.log.Error("daemon record could not be decoded", zap.String("daemon", string(name)), zap.Error(err))
		return
	}
	if isKnown && changed.acrossEras && d.writtenFor() <= known.writtenFor() {
		return
	}
	f.daemons[name] = d
	delete(f.suspectedUntil, name)
	delete(f.silences, d.Control)
}

// register writes this daemon's record, replacing that of its previous incarnation. It
// tries until it succeeds, in the background once a configuration is known.
func (f *Follower) register(ctx context.Context) {
	f.registerAfter(ctx, registerRetries())
}

// registerRetries returns the pauses between failed tries to register.
func registerRetries() *retry.Backoff {
	return &retry.Backoff{First: 2 * storeRetryDelay, Limit: longestRegisterPause}
}

// registerAfter is register, with the pauses after further failures.
func (f *Follower) registerAfter(ctx context.Context, pauses *retry.Backoff) {
	for ctx.Err() == nil {
		err := f.putSelf(ctx)
		if err == nil {
			return
		}
		f.log.Warn("daemon could not be registered in the store, retrying", zap.String("peer", "store"), zap.Error(err))
		if f.catalog.Load().Configuration != nil {
			// The daemon can serve with what the seeds sent, so don't delay its start.
			f.background.Go(func(ctx context.Context) {
				sleep(ctx, pauses.Next())
				f.registerAfter(ctx, pauses)
			})
			return
		}
		sleep(ctx, pauses.Next())
	}
}

// putSelf writes this daemon's record for the store's era. On a conflict, or when the outcome
// is unknown, it reads the records again, so that the next try expects the right revision.
func (f *Follower) putSelf(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	over := f.ownPosition()
	written, err := f.writeSelf(ctx, over)
	if err == nil && written.Era != over.Era {
		// The store came back meanwhile: others would take the record for the copy's.
		_, err = f.writeSelf(ctx, written)
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrAmbiguous) {
		if readErr := f.readCollection(ctx, platform.Shared); readErr != nil {
			return readErr
		}
	}
	return err
}

// ownPosition returns the position of this daemon's record in the store's era. Its revision is
// 0 if the era has none: one of an earlier era was lost by the store.
func (f *Follower) ownPosition() platform.Position {
	shared := f.replicas[platform.Shared]
	era := max(shared.completeUpTo().Era, platform.FirstEra)
	registered, ok := shared.get(platform.DaemonPrefix + string(f.config.Name))
	if !ok || registered.Era < era {
		return platform.Position{Era: era}
	}
	return registered.Position
}

// writeSelf writes this daemon's record once, for the era of a position and over the record at
// that position.
func (f *Follower) writeSelf(ctx context.Context, over platform.Position) (platform.Position, error) {
	value, err := daemonRecord{Daemon: f.Self(), Era: over.Era}.encode()
	if err != nil {
		return platform.Position{}, err
	}
	record := platform.Record{Name: platform.DaemonPrefix + string(f.config.Name), Value: value}
	record.Position, err = f.store.Put(ctx, platform.Shared, record, over.Revision)
	if err != nil {
		return platform.Position{}, err
	}
	f.log.Info("this daemon is registered", zap.Uint64("era", uint64(record.Era)), zap.Uint64("revision", uint64(record.Revision)))
	f.markStoreAnswered()
	f.markRegistered()
	f.ApplyWrite(platform.Shared, record)
	return record.Position, nil
}

// registerAgain registers this daemon if the store has lost its record.
func (f *Follower) registerAgain(ctx context.Context) {
	sleep(ctx, rand.N(registerAgainJitter))
	if f.isRegistered() {
		return
	}
	lost, _ := f.replicas[platform.Shared].record(platform.DaemonPrefix + string(f.config.Name))
	f.log.Info("registering this daemon again", zap.Uint64("era", uint64(f.StoreEra())),
		zap.Uint64("earlier_era", uint64(lost.Era)), zap.Uint64("earlier_revision", uint64(lost.Revision)))
	f.register(ctx)
}

// isRegistered reports whether the store has the record of this process.
func (f *Follower) isRegistered() bool {
	shared := f.replicas[platform.Shared]
	stored, ok := shared.get(platform.DaemonPrefix + string(f.config.Name))
	if !ok || stored.Era != shared.completeUpTo().Era {
		return false
	}
	var registered daemonRecord
	return json.Unmarshal(stored.Value, &registered) == nil && registered.Daemon == f.Self()
}
