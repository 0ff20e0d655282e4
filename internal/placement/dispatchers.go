package placement

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// extraServers is the number of servers above an even share that a daemon may
// keep before one of them is given to another daemon.
const extraServers = 1

// Daemon is one daemon that can dispatch.
type Daemon struct {
	ID   model.DaemonID
	Zone model.Zone
	// OtherPoolServers is the number of servers of other pools to which the daemon dispatches.
	OtherPoolServers int
}

// DispatcherInput is everything that the choice of dispatchers depends on.
type DispatcherInput struct {
	Pool    model.PoolName
	Servers []Server
	// Daemons lists the daemons that may dispatch: living and not leaving.
	Daemons []Daemon
	// Current is the choice in force; empty at the start.
	Current []DispatcherChoice
}

// DispatcherChoice names the dispatcher of one server. The daemon is empty when there is none to choose.
type DispatcherChoice struct {
	Server model.ServerID
	Daemon model.DaemonID
}

// Dispatchers chooses one dispatcher for each server. It keeps the choice in
// force while that daemon lives, stands in another availability zone than the
// server (where there is one) and does not carry too many servers. Others go to
// the least busy daemon.
func Dispatchers(in DispatcherInput) []DispatcherChoice {
	c := newDispatcherChooser(in)
	choices := make([]DispatcherChoice, len(in.Servers))
	for i, server := range in.Servers {
		choices[i] = DispatcherChoice{Server: server.ID, Daemon: c.keep(server)}
	}
	for i, server := range in.Servers {
		if choices[i].Daemon == "" {
			choices[i].Daemon = c.choose(server)
		}
	}
	return choices
}

type dispatcherChooser struct {
	daemons []Daemon
	byID    map[model.DaemonID]Daemon
	current map[model.ServerID]model.DaemonID
	busy    map[model.DaemonID]int
	limit   int
	seed    string
}

func newDispatcherChooser(in DispatcherInput) *dispatcherChooser {
	c := &dispatcherChooser{
		daemons: in.Daemons,
		byID:    map[model.DaemonID]Daemon{},
		current: map[model.ServerID]model.DaemonID{},
		busy:    map[model.DaemonID]int{},
		seed:    string(in.Pool) + "/",
	}
	total := len(in.Servers)
	for _, daemon := range in.Daemons {
		c.byID[daemon.ID] = daemon
		c.busy[daemon.ID] = daemon.OtherPoolServers
		total += daemon.OtherPoolServers
	}
	for _, choice := range in.Current {
		c.current[choice.Server] = choice.Daemon
	}
	if count := len(in.Daemons); count > 0 {
		c.limit = (total+count-1)/count + extraServers
	}
	return c
}

// keep returns the daemon in force and counts it, or "" when another has to be chosen.
func (c *dispatcherChooser) keep(server Server) model.DaemonID {
	daemon, alive := c.byID[c.current[server.ID]]
	switch {
	case !alive:
		return ""
	case daemon.Zone == server.Zone && len(c.otherZone(server.Zone)) > 0:
		return ""
	case c.busy[daemon.ID] >= c.limit:
		return ""
	}
	c.busy[daemon.ID]++
	return daemon.ID
}

// choose returns the least busy daemon, in another zone where possible.
func (c *dispatcherChooser) choose(server Server) model.DaemonID {
	candidates := c.otherZone(server.Zone)
	if len(candidates) == 0 {
		candidates = c.daemons
	}
	if len(candidates) == 0 {
		return ""
	}
	subject := c.seed + string(server.ID)
	best := slices.MinFunc(candidates, func(a, b Daemon) int {
		if difference := c.busy[a.ID] - c.busy[b.ID]; difference != 0 {
			return difference
		}
		return byScore(subject, string(a.ID), string(b.ID))
	})
	c.busy[best.ID]++
	return best.ID
}

// byScore orders the candidate with the higher rendezvous score first.
func byScore(subject, a, b string) int {
	scoreA, scoreB := Score(subject, a), Score(subject, b)
	switch {
	case scoreA > scoreB:
		return -1
	case scoreA < scoreB:
		return 1
	default:
		return 0
	}
}

func (c *dispatcherChooser) otherZone(zone model.Zone) []Daemon {
	return slices.DeleteFunc(slices.Clone(c.daemons), func(d Daemon) bool { return d.Zone == zone })
}
