package follow

import (
	"strings"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// applyUpdate applies an update to the copy of a collection and publishes the changes.
func (f *Follower) applyUpdate(c platform.Collection, u update) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if c == platform.Servers && u.Era > max(f.replicas[c].completeUpTo().Era, platform.FirstEra) {
		f.doubtRegistrations()
	}
	result := f.replicas[c].apply(u)
	if result.newEra {
		f.beginEra(c, result.previous, u.Position)
	}
	f.publish(c, result.changes)
}

// ApplyWrite updates the copy with a record that this daemon wrote to the store itself.
func (f *Follower) ApplyWrite(c platform.Collection, r platform.Record) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.publish(c, f.replicas[c].applyWrite(r))
}

// publish passes changed records on to the catalog, on the control goroutine, and
// answers the daemons that are waiting for changes. The caller holds f.applyMu.
func (f *Follower) publish(c platform.Collection, changed []change) {
	if len(changed) == 0 {
		return
	}
	if asOf := f.completeAsOf[c].Load(); asOf != nil {
		for i := range changed {
			changed[i].notBefore = asOf.Add(-answersOnWay * answerTransit)
		}
	}
	f.loop.Post(func() { f.updateCatalog(c, changed) })
	f.notifyChanged()
}

// notifyChanged closes the current channel of Changed and replaces it. Pending polls then
// check again for changes and for the loss of the store.
func (f *Follower) notifyChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of any copy.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// updateCatalog decodes changed records and publishes them. It runs on the control goroutine.
func (f *Follower) updateCatalog(c platform.Collection, changed []change) {
	switch c {
	case platform.Configurations:
		f.applyEvacuations(changed)
		for _, record := range changed {
			f.applyConfiguration(record.Record)
		}
	case platform.Servers:
		for _, record := range changed {
			f.applyServer(record)
		}
		f.publishServers()
	case platform.Shared:
		for _, record := range changed {
			f.applyShared(record)
		}
	}
}

// storePeer is the store's name in log lines about dependencies.
const storePeer = "store"

// logReceived logs that a newer configuration came from the store or from the daemon at a
// control address (ip:port), and the age of the copy before, which bounds how late it is.
func (f *Follower) logReceived(c platform.Collection, u update, peer string) {
	if c != platform.Configurations || len(u.Records) == 0 || !f.replicas[c].completeUpTo().Before(u.Position) {
		return
	}
	f.log.Info("changed configuration received", zap.String("peer", peer), zap.Uint64("revision", uint64(u.Revision)),
		zap.Duration("copy_age", f.collectionAge(c)), zap.Bool("full", u.Full))
}

func (f *Follower) applyConfiguration(record platform.Record) {
	if !f.dialect.IsConfiguration(record.Name) || record.Deleted {
		return
	}
	configuration, err := f.dialect.DecodeConfiguration(record)
	if err != nil {
		f.log.Error("invalid configuration ignored, the last valid one stays in force", zap.Uint64("revision", uint64(record.Revision)), zap.Error(err))
		return
	}
	if f.catalog.PublishConfiguration(configuration) {
		f.log.Info("configuration in force", zap.Uint64("version", configuration.Version), zap.Uint64("revision", uint64(record.Revision)))
	}
}

func (f *Follower) applyShared(changed change) {
	if name, ok := strings.CutPrefix(changed.Name, platform.DaemonPrefix); ok {
		f.applyDaemon(model.DaemonID(name), changed)
		return
	}
	if era, ok := parseOwnersRecordName(changed.Name); ok && !changed.Deleted {
		f.applyOwners(era, changed.Record)
	}
}
