package follow

import (
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// When the store comes back from an older copy, the registrations of servers are those of
// the copy at first. Each server writes its own again within seconds, and the store
// removes those of servers that have ended.
const (
	// missingRegistrationGrace is the time for which a server stays in the catalog that
	// the copy does not list.
	missingRegistrationGrace = 2 * time.Second
	// silentReports is the number of reports that a server may leave out before the store
	// removes its registration.
	silentReports = 3
	// settleMargin is added to the time of these reports, for reading the removal.
	settleMargin = time.Second
	// departedMemory is the time for which a server that has left is remembered: an
	// older copy may list it again.
	departedMemory = time.Minute
	// recheckDelay is the pause before a registration is looked at again while the copy
	// is not current enough.
	recheckDelay = 200 * time.Millisecond
)

// registrationSettleTime returns the time after which a registration that has not changed
// is not a leftover of the copy: the store removes those of silent servers sooner.
func (f *Follower) registrationSettleTime() time.Duration {
	return silentReports*f.config.Fenced.ReportPeriod() + settleMargin
}

// doubtRegistrations makes registrations count as possibly outdated until they have settled.
func (f *Follower) doubtRegistrations() {
	settleAt := time.Now().Add(f.registrationSettleTime())
	f.registrationsSettleAt.Store(&settleAt)
}

// departedServer is a server that was removed from the catalog.
type departedServer struct {
	server *catalog.Server
	at     time.Time
}

// beginEra is called when the copy of a collection enters an era of the store.
func (f *Follower) beginEra(c platform.Collection, previous, position platform.Position) {
	if previous.IsZero() {
		return
	}
	f.log.Warn("the store came back from an older copy", zap.String("peer", "store"), zap.String("collection", string(c)),
		zap.Uint64("era", uint64(position.Era)), zap.Uint64("revision", uint64(position.Revision)),
		zap.Uint64("earlier_era", uint64(previous.Era)), zap.Uint64("earlier_revision", uint64(previous.Revision)))
	if c == platform.Shared {
		f.background.Go(f.registerAgain)
	}
}

// outdated reports whether a registration is not newer than what is known of the server. That
// a process leaves is always news.
func (f *Follower) outdated(server *catalog.Server) bool {
	known := f.servers[server.ID]
	if known == nil && f.departed[server.ID] != nil {
		known = f.departed[server.ID].server
	}
	if known == nil || server.NewerThan(known) {
		return false
	}
	return !server.Leaving || known.Leaving || !server.SameProcess(known)
}

// keepKnownServer leaves a server as it is known, and gone if it has left, although the
// copy from which the store came back lists an outdated registration. If the server does
// not write another one but the store keeps this one, the server is alive: it counts
// again after registrationSettleTime.
func (f *Follower) keepKnownServer(server *catalog.Server, record platform.Record) {
	known := f.servers[server.ID]
	if known != nil && !known.Leaving && known.SameProcess(server) {
		return // nothing differs but the report's age
	}
	f.log.Info("outdated registration ignored", zap.String("server", record.Name), zap.Uint64("revision", uint64(record.Revision)),
		zap.Uint64("era", uint64(record.Era)), zap.Bool("leaving", known != nil && known.Leaving), zap.Bool("departed", known == nil))
	f.recheckRegistration(server.ID, record, f.registrationSettleTime(), func() {
		f.setServer(server, record)
		f.publishServers()
	})
}

// awaitRegistration marks a server that the copy does not list as deregistered, unless it
// registers within missingRegistrationGrace.
func (f *Follower) awaitRegistration(id model.ServerID, record platform.Record) {
	f.log.Info("server missing in the older copy of the store", zap.String("server", record.Name), zap.Uint64("era", uint64(record.Era)))
	f.recheckRegistration(id, record, missingRegistrationGrace, func() {
		f.markDeregistered(id, record)
		f.publishServers()
	})
}

// recheckRegistration runs then on the control goroutine once the copy is current as of a
// time after now, if the record of the server has not changed until then.
func (f *Follower) recheckRegistration(id model.ServerID, record platform.Record, after time.Duration, then func()) {
	asOf := time.Now().Add(after)
	var recheck func()
	recheck = func() {
		current, known := f.replicas[platform.Servers].record(string(id))
		switch {
		case !known || current.Position != record.Position:
		case time.Now().Add(-f.collectionAge(platform.Servers)).Before(asOf):
			f.afterOnLoop(recheckDelay, recheck)
		default:
			then()
		}
	}
	f.afterOnLoop(after, recheck)
}

// afterOnLoop runs a function on the control goroutine after a time.
func (f *Follower) afterOnLoop(after time.Duration, run func()) {
	time.AfterFunc(after, func() { f.loop.Post(run) })
}

// rememberDeparted remembers a server that was removed from the catalog, and forgets those
// that were removed longer than departedMemory ago.
func (f *Follower) rememberDeparted(server *catalog.Server) {
	now := time.Now()
	for id, d := range f.departed {
		if now.Sub(d.at) > departedMemory {
			delete(f.departed, id)
		}
	}
	f.departed[server.ID] = &departedServer{server: server, at: now}
}
