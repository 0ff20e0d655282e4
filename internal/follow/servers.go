package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

func (f *Follower) applyServer(record change) {
	id := model.ServerID(record.Name)
	if record.Deleted && record.acrossEras {
		f.awaitRegistration(id, record.Record)
		return
	}
	if record.Deleted {
		f.markDeregistered(id, record.Record)
		return
	}
	server, err := f.dialect.DecodeServer(record.Record, time.Now())
	if err != nil {
		delete(f.servers, id)
		f.log.Warn("invalid server registration, server ignored", zap.String("server", record.Name), zap.Uint64("revision", uint64(record.Revision)), zap.Error(err))
		return
	}
	if record.acrossEras && f.outdated(server) {
		f.keepKnownServer(server, record.Record)
		return
	}
	f.setServer(server, record.Record)
}

// setServer replaces the registration of a server.
func (f *Follower) setServer(server *catalog.Server, record platform.Record) {
	id := server.ID
	previous := f.servers[id]
	if server.Leaving {
		server.LeavingSince = time.Now()
		if previous != nil && previous.Leaving && previous.SameProcess(server) {
			server.LeavingSince = previous.LeavingSince
		}
	}
	f.servers[id] = server
	if previous == nil || previous.Leaving != server.Leaving || !previous.SameProcess(server) {
		f.log.Info("server registered",
			zap.String("server", record.Name), zap.String("service", string(server.Service)),
			zap.String("address", server.Address), zap.Bool("leaving", server.Leaving),
			zap.Int64("born", server.StartedMS), zap.Uint64("revision", uint64(record.Revision)))
	}
}

// deregisteredGrace is the time for which a server whose registration was removed stays in
// the catalog and may still get requests for keys that it owns.
const deregisteredGrace = 1500 * time.Millisecond

// markDeregistered marks a server whose registration was removed as deregistered and
// leaving, and removes it after deregisteredGrace. The grace time is for registrations that
// only expired because the store was unavailable.
func (f *Follower) markDeregistered(id model.ServerID, record platform.Record) {
	previous := f.servers[id]
	if previous == nil || previous.Deregistered {
		return
	}
	f.log.Info("server deregistered", zap.String("server", record.Name), zap.Uint64("revision", uint64(record.Revision)))
	deregistered := *previous
	deregistered.Deregistered = true
	if !deregistered.Leaving {
		deregistered.Leaving = true
		deregistered.LeavingSince = time.Now()
	}
	f.servers[id] = &deregistered
	time.AfterFunc(deregisteredGrace, func() { f.loop.Post(func() { f.removeDeregistered(id) }) })
}

func (f *Follower) removeDeregistered(id model.ServerID) {
	if server := f.servers[id]; server != nil && server.Deregistered {
		delete(f.servers, id)
		f.rememberDeparted(server)
		f.publishServers()
	}
}

func (f *Follower) publishServers() {
	servers := make(map[model.ServerID]*catalog.Server, len(f.servers))
	for id, server := range f.servers {
		servers[id] = server
	}
	f.catalog.PublishServers(servers)
}

// ReadRegistration returns the registration of a server from a read of the store that
// began after the call; found is false when the server is not registered. It returns
// an error when the store cannot be read, the registration is invalid, or it may be an
// outdated one from an older copy of the store.
func (f *Follower) ReadRegistration(ctx context.Context, id model.ServerID) (server *catalog.Server, found bool, err error) {
	if err := f.readServersAfter(ctx, time.Now()); err != nil {
		return nil, false, err
	}
	if settleAt := f.registrationsSettleAt.Load(); settleAt != nil && time.Now().Before(*settleAt) {
		return nil, false, errors.Errorf("registration of server %s may be outdated for %s more", id, time.Until(*settleAt))
	}
	record, found := f.replicas[platform.Servers].get(string(id))
	if !found {
		return nil, false, nil
	}
	server, err = f.dialect.DecodeServer(record, time.Now())
	return server, err == nil, err
}

// readServersAfter reads all servers unless a read that began after the given time has
// succeeded, so that concurrent callers share one read.
func (f *Follower) readServersAfter(ctx context.Context, after time.Time) error {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	if f.serversReadAt.After(after) {
		return nil
	}
	began := time.Now()
	if err := f.readCollection(ctx, platform.Servers); err != nil {
		return errors.Wrap(err, "read server registrations from the store")
	}
	f.serversReadAt = began
	return nil
}
