package ownership

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

// syncDispatchers gives each server one living active dispatcher and removes
// retiring ones that have stopped. The owner of a server's shards stays the
// same: two dispatchers for one owner are safe.
func (p *planner) syncDispatchers() {
	for i := range p.next.Servers {
		p.dropStopped(&p.next.Servers[i])
	}
	for _, choice := range placement.Dispatchers(p.dispatcherInput()) {
		daemon := p.liveDaemon(choice.Daemon)
		if daemon == nil {
			continue
		}
		p.activate(p.next.Server(choice.Server), daemon)
	}
}

// dropStopped removes the retiring dispatchers that can send nothing any more.
// While the server owns a moving shard they stay, so that the move's drain sees them.
func (p *planner) dropStopped(server *Server) {
	server.Dispatchers = slices.DeleteFunc(server.Dispatchers, func(d Dispatcher) bool {
		if d.State != DispatcherRetiring || !p.view.idle(server.ID, &d) {
			return false
		}
		p.note(ChangeDispatcher, string(server.ID), string(d.Daemon)+" has stopped")
		return true
	})
}

// sparesCoordinator is the number of daemons from which on the pool's
// coordinator dispatches to none of its servers, so that its loss alone leaves
// every server with a dispatcher.
const sparesCoordinator = 3

func (p *planner) dispatcherInput() placement.DispatcherInput {
	in := placement.DispatcherInput{Pool: p.next.Pool}
	for i := range p.next.Servers {
		server := &p.next.Servers[i]
		in.Servers = append(in.Servers, placement.Server{ID: server.ID, Zone: server.Zone, Weight: 1})
		if active := server.ActiveDispatcher(); active != nil && p.live(active) {
			in.Current = append(in.Current, placement.DispatcherChoice{Server: server.ID, Daemon: active.Daemon})
		}
	}
	for _, daemon := range p.view.Daemons {
		if daemon.ID == p.next.Coordinator.Daemon && len(p.view.Daemons) >= sparesCoordinator {
			continue
		}
		in.Daemons = append(in.Daemons, placement.Daemon{ID: daemon.ID, Zone: daemon.Zone, Busy: daemon.OtherPoolServers})
	}
	return in
}

func (p *planner) live(d *Dispatcher) bool {
	daemon := p.liveDaemon(d.Daemon)
	return daemon != nil && daemon.Incarnation == d.Incarnation
}

func (p *planner) liveDaemon(id model.DaemonID) *LiveDaemon {
	for i := range p.view.Daemons {
		if p.view.Daemons[i].ID == id {
			return &p.view.Daemons[i]
		}
	}
	return nil
}

// activate makes a daemon the active dispatcher of a server.
func (p *planner) activate(server *Server, daemon *LiveDaemon) {
	chosen := -1
	for i := range server.Dispatchers {
		d := &server.Dispatchers[i]
		if d.Daemon == daemon.ID && d.Incarnation == daemon.Incarnation {
			chosen = i
			continue
		}
		if d.State == DispatcherActive {
			d.State = DispatcherRetiring
			d.StateSeq = p.next.Seq
			p.note(ChangeDispatcher, string(server.ID), p.retireCause(d))
		}
	}
	if chosen >= 0 {
		p.reactivate(server, &server.Dispatchers[chosen])
		return
	}
	p.note(ChangeDispatcher, string(server.ID), string(daemon.ID)+" dispatches")
	server.Dispatchers = append(server.Dispatchers, Dispatcher{
		Daemon:      daemon.ID,
		Incarnation: daemon.Incarnation,
		Zone:        daemon.Zone,
		State:       DispatcherActive,
		StateSeq:    p.next.Seq,
		Slots:       p.view.Rules.Slots,
		Dispatch:    daemon.Dispatch,
		Control:     daemon.Control,
	})
}

func (p *planner) reactivate(server *Server, d *Dispatcher) {
	if d.State == DispatcherActive && d.Slots == p.view.Rules.Slots {
		return
	}
	if d.State != DispatcherActive {
		d.State = DispatcherActive
		d.StateSeq = p.next.Seq
	}
	d.Slots = p.view.Rules.Slots
	p.note(ChangeDispatcher, string(server.ID), string(d.Daemon)+" dispatches")
}

func (p *planner) retireCause(d *Dispatcher) string {
	if p.live(d) {
		return string(d.Daemon) + " gives the server to another daemon"
	}
	return string(d.Daemon) + " is silent, leaving or restarted"
}
