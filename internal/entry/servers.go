package entry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

const avoidPeriod = time.Second // time in which an unreachable server is chosen last

// serverLoads keeps what this entry has outstanding at the servers of pools
// that are not divided by key.
type serverLoads struct {
	loads *lazyMap[model.ServerRef, *serverLoad]
}

type serverLoad struct {
	outstanding atomic.Int64
	avoidUntil  atomic.Int64 // Unix nanoseconds
}

func newServerLoads() *serverLoads {
	return &serverLoads{loads: newLazyMap(func(model.ServerRef) *serverLoad { return &serverLoad{} })}
}

func (s *serverLoads) of(ref model.ServerRef) *serverLoad { return s.loads.of(ref) }

// avoid makes a server the last choice for a while.
func (l *serverLoad) avoid(now time.Time) { l.avoidUntil.Store(now.Add(avoidPeriod).UnixNano()) }

func (l *serverLoad) avoided(now time.Time) bool { return now.UnixNano() < l.avoidUntil.Load() }

// choose takes the better of two random servers: one that was reachable, then
// the one with fewer requests of this entry.
func (s *serverLoads) choose(pool model.PoolName, servers []*ownership.Server, now time.Time) *ownership.Server {
	if len(servers) == 0 {
		return nil
	}
	reachable := s.reachable(pool, servers, now)
	first := reachable[rand.IntN(len(reachable))]
	second := reachable[rand.IntN(len(reachable))]
	if s.outstanding(pool, second) < s.outstanding(pool, first) {
		return second
	}
	return first
}

// reachable returns the servers that are not avoided, or all when none is left.
func (s *serverLoads) reachable(pool model.PoolName, servers []*ownership.Server, now time.Time) []*ownership.Server {
	reachable := make([]*ownership.Server, 0, len(servers))
	for _, server := range servers {
		if !s.of(model.ServerRef{Pool: pool, Server: server.ID}).avoided(now) {
			reachable = append(reachable, server)
		}
	}
	if len(reachable) == 0 {
		return servers
	}
	return reachable
}

func (s *serverLoads) outstanding(pool model.PoolName, server *ownership.Server) int64 {
	return s.of(model.ServerRef{Pool: pool, Server: server.ID}).outstanding.Load()
}

// address chooses server and dispatcher under the assignment of this moment and
// completes the work.
func (c *call) address() (*ownership.Dispatcher, *reason.Error) {
	pool := c.work.Server.Pool
	assignment := c.entry.directory.Load().Pools[pool]
	if assignment == nil {
		return nil, reason.New(reason.NoOwner, "route", string(pool), "the pool has no assignment yet")
	}
	c.work.Term = assignment.Term
	c.work.Shard = assignment.ShardOf(c.work.Key)
	server := c.entry.chooseServer(assignment, c.work)
	if server == nil {
		return nil, reason.New(reason.NoOwner, "route", string(pool), "no server can take the request now")
	}
	c.work.Server.Server = server.ID
	dispatcher := server.ActiveDispatcher()
	if dispatcher == nil {
		return nil, reason.New(reason.NoOwner, "route", c.work.Server.String(), "no dispatcher sends to the server now")
	}
	return dispatcher, nil
}

func (e *Entry) chooseServer(assignment *ownership.Assignment, work *wire.Work) *ownership.Server {
	if shard, ok := assignment.Shard(work.Shard); ok {
		work.Epoch = shard.Epoch
		return assignment.Server(shard.Server)
	}
	return e.servers.choose(assignment.Pool, usableServers(assignment), time.Now())
}

// usableServers returns the active servers that have a dispatcher.
func usableServers(assignment *ownership.Assignment) []*ownership.Server {
	usable := make([]*ownership.Server, 0, len(assignment.Servers))
	for i := range assignment.Servers {
		server := &assignment.Servers[i]
		if server.State == ownership.ServerActive && server.ActiveDispatcher() != nil {
			usable = append(usable, server)
		}
	}
	return usable
}
