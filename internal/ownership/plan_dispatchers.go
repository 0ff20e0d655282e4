package ownership

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

// syncDispatchers gives each server one active dispatcher that is alive and
// removes the retiring ones that have drained. Shards keep their owner when the
// dispatcher changes: two dispatchers sending to one owner for a while do not
// violate exclusive ownership.
func (p *planner) syncDispatchers() {
	for i := range p.next.Servers {
		p.dropDrained(&p.next.Servers[i])
	}
	for _, choice := range placement.Dispatchers(p.dispatcherInput()) {
		daemon := p.liveDaemon(choice.Daemon)
		if daemon == nil {
			continue
		}
		p.activate(p.next.Server(choice.Server), daemon)
	}
}

// dropDrained removes the retiring dispatchers none of whose requests can still
// run at the server. A dispatcher with undrained shards stays listed, because
// endMoves waits only for listed dispatchers.
func (p *planner) dropDrained(server *Server) {
	server.Dispatchers = slices.DeleteFunc(server.Dispatchers, func(d Dispatcher) bool {
		if d.State != DispatcherRetiring || !p.view.serverDrained(server.ID, &d) {
			return false
		}
		p.addChange(ChangeDispatcher, string(server.ID), string(d.Daemon)+" has stopped")
		return true
	})
}

// minDaemonsSparingCoordinator is the number of available daemons from which
// the pool's coordinator is no longer chosen as a dispatcher of the pool, so
// that the loss of the coordinator alone leaves every server with a dispatcher.
const minDaemonsSparingCoordinator = 3

func (p *planner) dispatcherInput() placement.DispatcherInput {
	in := placement.DispatcherInput{Pool: p.next.Pool}
	for i := range p.next.Servers {
		server := &p.next.Servers[i]
		in.Servers = append(in.Servers, placement.Server{ID: server.ID, Zone: server.Zone, Weight: 1})
		if active := server.ActiveDispatcher(); active != nil && p.isLive(active) {
			in.Current = append(in.Current, placement.DispatcherChoice{Server: server.ID, Daemon: active.Daemon})
		}
	}
	for _, daemon := range p.view.Daemons {
		if daemon.ID == p.next.Coordinator.Daemon && len(p.view.Daemons) >= minDaemonsSparingCoordinator {
			continue
		}
		in.Daemons = append(in.Daemons, placement.Daemon{ID: daemon.ID, Zone: daemon.Zone, OtherPoolServers: daemon.OtherPoolServers})
	}
	return in
}

// isLive reports whether the dispatcher's incarnation is available.
func (p *planner) isLive(d *Dispatcher) bool {
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

// activate makes the daemon the active dispatcher of the server and retires the
// previous one.
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
			p.addChange(ChangeDispatcher, string(server.ID), p.retireCause(d))
		}
	}
	if chosen >= 0 {
		p.reactivate(server, &server.Dispatchers[chosen])
		return
	}
	p.addChange(ChangeDispatcher, string(server.ID), string(daemon.ID)+" dispatches")
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

// reactivate makes a listed dispatcher active again if it retires, and sets its
// number of slots from the settings.
func (p *planner) reactivate(server *Server, d *Dispatcher) {
	if d.State == DispatcherActive && d.Slots == p.view.Rules.Slots {
		return
	}
	if d.State != DispatcherActive {
		d.State = DispatcherActive
		d.StateSeq = p.next.Seq
	}
	d.Slots = p.view.Rules.Slots
	p.addChange(ChangeDispatcher, string(server.ID), string(d.Daemon)+" dispatches")
}

func (p *planner) retireCause(d *Dispatcher) string {
	if p.isLive(d) {
		return string(d.Daemon) + " gives the server to another daemon"
	}
	return string(d.Daemon) + " is silent, leaving or restarted"
}
