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

const avoidPeriod = time.Second // time for which a server is not chosen while others can be

// serverLoads counts the requests that this entry has outstanding at each server.
// The counts balance the load of pools that are not divided by key.
type serverLoads struct {
	loads *lazyMap[model.ServerRef, *serverLoad]
}

// serverLoad is the state of one server as seen by this entry.
type serverLoad struct {
	outstanding atomic.Int64 // attempts in progress
	avoidUntil  atomic.Int64 // Unix nanoseconds; see avoid
}

func newServerLoads() *serverLoads {
	return &serverLoads{loads: newLazyMap(func(model.ServerRef) *serverLoad { return &serverLoad{} })}
}

func (s *serverLoads) get(ref model.ServerRef) *serverLoad { return s.loads.get(ref) }

// avoid makes choose prefer other servers for avoidPeriod.
func (l *serverLoad) avoid(now time.Time) { l.avoidUntil.Store(now.Add(avoidPeriod).UnixNano()) }

func (l *serverLoad) avoided(now time.Time) bool { return now.UnixNano() < l.avoidUntil.Load() }

// choose returns the server with fewer outstanding requests of this entry out of
// two random ones (power of two choices), or nil when there are no servers.
// Avoided servers are chosen only when all are avoided.
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

// reachable returns the servers that are not avoided, or all servers if every one
// is avoided.
func (s *serverLoads) reachable(pool model.PoolName, servers []*ownership.Server, now time.Time) []*ownership.Server {
	reachable := make([]*ownership.Server, 0, len(servers))
	for _, server := range servers {
		if !s.get(model.ServerRef{Pool: pool, Server: server.ID}).avoided(now) {
			reachable = append(reachable, server)
		}
	}
	if len(reachable) == 0 {
		return servers
	}
	return reachable
}

func (s *serverLoads) outstanding(pool model.PoolName, server *ownership.Server) int64 {
	return s.get(model.ServerRef{Pool: pool, Server: server.ID}).outstanding.Load()
}

// resolve chooses the server and its dispatcher according to the current assignment
// of the pool, and sets the term, shard, epoch and server of the call's work.
func (c *call) resolve() (*ownership.Dispatcher, *reason.Error) {
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

// chooseServer returns the owner of the shard and sets the work's epoch, or balances
// over the servers of a pool that is not divided by key. It returns nil when there
// is no such server.
func (e *Entry) chooseServer(assignment *ownership.Assignment, work *wire.Work) *ownership.Server {
	if shard, ok := assignment.Shard(work.Shard); ok {
		work.Epoch = shard.Epoch
		return assignment.Server(shard.Server)
	}
	return e.servers.choose(assignment.Pool, usableServers(assignment), time.Now())
}

// usableServers returns the active servers that have an active dispatcher.
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
