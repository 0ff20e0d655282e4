package placement

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// maxServersAboveShare is the number of servers above an even share that a daemon
// may keep before one of them is assigned to another daemon.
const maxServersAboveShare = 1

// Daemon is one daemon that can dispatch requests to servers.
type Daemon struct {
	ID   model.DaemonID
	Zone model.Zone
	// OtherPoolServers is the number of servers of other pools to which the daemon dispatches.
	OtherPoolServers int
}

// DispatcherInput holds everything on which the choice of dispatchers depends.
type DispatcherInput struct {
	Pool    model.PoolName
	Servers []Server
	// Daemons lists the daemons that may dispatch: alive and not leaving.
	Daemons []Daemon
	// Current holds the choices in effect; empty at first.
	Current []DispatcherChoice
}

// DispatcherChoice names the dispatcher of one server. Daemon is empty when no
// daemon can dispatch.
type DispatcherChoice struct {
	Server model.ServerID
	Daemon model.DaemonID
}

// Dispatchers chooses one dispatcher for each server, in the order of in.Servers.
// A server keeps its current dispatcher if that daemon is alive, is in another
// availability zone than the server (or no daemon is) and is below the limit of
// servers per daemon. The other servers get the daemon with the fewest servers, in
// another zone where possible.
func Dispatchers(in DispatcherInput) []DispatcherChoice {
	c := newDispatcherChooser(in)
	choices := make([]DispatcherChoice, len(in.Servers))
	for i, server := range in.Servers {
		choices[i] = DispatcherChoice{Server: server.ID, Daemon: c.keepCurrent(server)}
	}
	for i, server := range in.Servers {
		if choices[i].Daemon == "" {
			choices[i].Daemon = c.choose(server)
		}
	}
	return choices
}

// dispatcherChooser holds the state of one call of Dispatchers.
type dispatcherChooser struct {
	daemons       []Daemon
	byID          map[model.DaemonID]Daemon
	current       map[model.ServerID]model.DaemonID
	serverCount   map[model.DaemonID]int
	limit         int    // of servers per daemon
	subjectPrefix string // of a server's ID in Score, so that pools differ
}

func newDispatcherChooser(in DispatcherInput) *dispatcherChooser {
	c := &dispatcherChooser{
		daemons:       in.Daemons,
		byID:          map[model.DaemonID]Daemon{},
		current:       map[model.ServerID]model.DaemonID{},
		serverCount:   map[model.DaemonID]int{},
		subjectPrefix: string(in.Pool) + "/",
	}
	total := len(in.Servers)
	for _, daemon := range in.Daemons {
		c.byID[daemon.ID] = daemon
		c.serverCount[daemon.ID] = daemon.OtherPoolServers
		total += daemon.OtherPoolServers
	}
	for _, choice := range in.Current {
		c.current[choice.Server] = choice.Daemon
	}
	if count := len(in.Daemons); count > 0 {
		c.limit = (total+count-1)/count + maxServersAboveShare
	}
	return c
}

// keepCurrent returns the server's current dispatcher and counts the server for it,
// or returns "" when another daemon has to be chosen.
func (c *dispatcherChooser) keepCurrent(server Server) model.DaemonID {
	daemon, alive := c.byID[c.current[server.ID]]
	switch {
	case !alive:
		return ""
	case daemon.Zone == server.Zone && len(c.inOtherZones(server.Zone)) > 0:
		return ""
	case c.serverCount[daemon.ID] >= c.limit:
		return ""
	}
	c.serverCount[daemon.ID]++
	return daemon.ID
}

// choose returns the daemon with the fewest servers, in another zone where
// possible, and counts the server for it.
func (c *dispatcherChooser) choose(server Server) model.DaemonID {
	candidates := c.inOtherZones(server.Zone)
	if len(candidates) == 0 {
		candidates = c.daemons
	}
	if len(candidates) == 0 {
		return ""
	}
	subject := c.subjectPrefix + string(server.ID)
	best := slices.MinFunc(candidates, func(a, b Daemon) int {
		if difference := c.serverCount[a.ID] - c.serverCount[b.ID]; difference != 0 {
			return difference
		}
		return byScore(subject, string(a.ID), string(b.ID))
	})
	c.serverCount[best.ID]++
	return best.ID
}

// byScore is a comparison function that sorts the candidate with the higher
// rendezvous score first.
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

func (c *dispatcherChooser) inOtherZones(zone model.Zone) []Daemon {
	return slices.DeleteFunc(slices.Clone(c.daemons), func(d Daemon) bool { return d.Zone == zone })
}
