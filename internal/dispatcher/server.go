package dispatcher

import (
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// server is what the dispatcher keeps of one backend server.
type server struct {
	ref     model.ServerRef
	address string
	queue   *Queue
	pool    *httplink.Pool
	probes  *httplink.Pool
	health  health
}

const probeConnections = 1 // connections to a server kept for probes

// serverFor returns the state of a server under its current permit.
func (d *Dispatcher) serverFor(ref model.ServerRef) (*server, *reason.Error) {
	permit := d.gate.Permit(ref)
	if permit == nil {
		return nil, reason.New(reason.NotDispatcher, "dispatch", ref.String(), "this daemon does not dispatch to the server")
	}
	compiled := d.directory.Load().Settings
	if compiled == nil || compiled.Pools[ref.Pool] == nil {
		return nil, reason.New(reason.NotReady, "dispatch", ref.String(), "no settings of the pool are in force")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[ref]
	if !ok || s.address != permit.Address {
		s = d.newServer(permit, compiled)
		d.servers[ref] = s
	}
	s.queue.SetSlots(permit.Slots)
	return s, nil
}

func (d *Dispatcher) newServer(permit *ownership.Permit, compiled *settings.Compiled) *server {
	pool := compiled.Pools[permit.Server.Pool]
	return &server{
		ref:     permit.Server,
		address: permit.Address,
		queue:   NewQueue(permit.Server.String(), len(compiled.RankIndex), permit.Slots, pool.QueuePerRank),
		pool:    httplink.NewPool(permit.Address, max(pool.Connections-probeConnections, 1), d.network.Dial),
		probes:  httplink.NewPool(permit.Address, probeConnections, d.network.Dial),
	}
}

// dropServers forgets the servers for which no permit is held.
func (d *Dispatcher) dropServers(permits []*ownership.Permit) {
	held := make(map[model.ServerRef]string, len(permits))
	for _, permit := range permits {
		held[permit.Server] = permit.Address
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for ref, s := range d.servers {
		if address, ok := held[ref]; ok && address == s.address {
			continue
		}
		delete(d.servers, ref)
		s.pool.Close()
		s.probes.Close()
		d.board.Forget(ref)
	}
}
