package ownership

import (
	"fmt"
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// ChangeKind is what a Change concerns.
type ChangeKind string

// Kinds of changes.
const (
	ChangeTerm        ChangeKind = "term"         // another coordinator or a new term
	ChangeServer      ChangeKind = "server"       // a server was added, removed or changed its state
	ChangeDispatcher  ChangeKind = "dispatcher"   // a dispatcher was added, removed or changed
	ChangeMoveBegan   ChangeKind = "move_began"   // a shard began to drain, to move to another server
	ChangeMoveEnded   ChangeKind = "move_ended"   // a drained shard got its next owner, or keeps its owner under a new epoch
	ChangeKeySplit    ChangeKind = "key_split"    // a shard began to drain, to split a hot key out of it
	ChangeFirstShards ChangeKind = "first_shards" // shards were created or got their first owner
	ChangeSettled     ChangeKind = "settled"      // all permits of versions that the table has lost have expired
)

// Change is one decision of Plan with its cause.
type Change struct {
	Kind    ChangeKind
	Subject string // the server, daemon, shard or key concerned, or a number of shards
	// State is the new state of a server for ChangeServer; empty for other
	// kinds and when the server is removed.
	State ServerState
	Cause string
}

// Plan returns the assignment that follows current, with the decisions that led
// to it, or nil when current stays. The caller must publish it only after it is
// written to the table. current is not modified.
func Plan(current *Assignment, view View) (*Assignment, []Change) {
	p := newPlanner(current, view)
	if current.Unsettled && !view.settles(current) {
		return p.planUnsettled()
	}
	p.settle()
	p.dropInheritedSplits()
	p.syncServers()
	p.syncDispatchers()
	if view.Rules.Keyed {
		p.createShards()
		p.endMoves()
		p.beginMoves()
		p.splitHotKeys()
	}
	p.dropServers()
	if len(p.changes) == 0 {
		return nil, nil
	}
	return p.next, p.changes
}

// planner builds the next assignment and collects its changes.
type planner struct {
	view    View
	next    *Assignment
	changes []Change
}

func newPlanner(current *Assignment, view View) *planner {
	next := *current
	next.Term = view.Term
	next.Seq = model.Seq(platform.NextInEra(uint64(current.Seq), view.Era))
	next.Keyed = view.Rules.Keyed
	next.Coordinator = view.Coordinator
	next.Shards = slices.Clone(current.Shards)
	next.HotKeys = slices.Clone(current.HotKeys)
	next.Servers = slices.Clone(current.Servers)
	for i := range next.Servers {
		next.Servers[i].Dispatchers = slices.Clone(next.Servers[i].Dispatchers)
	}
	p := &planner{view: view, next: &next}
	if current.Term != view.Term || current.Coordinator != view.Coordinator {
		p.addChange(ChangeTerm, string(view.Coordinator.Daemon), "a coordinator took the control lease")
	}
	return p
}

func (p *planner) addChange(kind ChangeKind, subject, cause string) {
	p.changes = append(p.changes, Change{Kind: kind, Subject: subject, Cause: cause})
}

// dropInheritedSplits drops the hot keys that wait to be split out of their shard
// into one of their own (HotKey.Pending), when the term or the coordinator has
// changed. The shards that drain for this then finish draining and keep their
// owner.
func (p *planner) dropInheritedSplits() {
	if len(p.changes) == 0 {
		return
	}
	p.next.HotKeys = slices.DeleteFunc(p.next.HotKeys, func(h HotKey) bool { return h.Pending })
}

// syncServers adds newly listed servers and sets the listed states. A server that
// is no longer listed leaves unless it is lost; one that is listed under another
// address is lost.
func (p *planner) syncServers() {
	listed := map[model.ServerID]ListedServer{}
	for _, server := range p.view.Servers {
		listed[server.ID] = server
		if p.next.Server(server.ID) == nil {
			p.addServer(server)
		}
	}
	for i := range p.next.Servers {
		server := &p.next.Servers[i]
		found, ok := listed[server.ID]
		switch {
		case !ok && server.State != ServerLost:
			p.setState(server, ServerLeaving, "not listed any more")
		case !ok:
		case found.Address != server.Address:
			p.setState(server, ServerLost, "listed under another address")
		default:
			p.setState(server, found.State, found.Cause)
		}
	}
}

func (p *planner) addServer(server ListedServer) {
	p.next.Servers = append(p.next.Servers, Server{
		ID:      server.ID,
		Zone:    server.Zone,
		Address: server.Address,
		State:   server.State,
	})
	p.changes = append(p.changes, Change{Kind: ChangeServer, Subject: string(server.ID), State: server.State, Cause: "newly listed"})
}

func (p *planner) setState(server *Server, state ServerState, cause string) {
	if server.State == state {
		return
	}
	server.State = state
	p.changes = append(p.changes, Change{Kind: ChangeServer, Subject: string(server.ID), State: state, Cause: cause})
}

// dropServers removes the servers that are no longer listed under their address,
// own no shard, and are not the target of a move.
func (p *planner) dropServers() {
	listed := map[model.ServerID]string{}
	for _, server := range p.view.Servers {
		listed[server.ID] = server.Address
	}
	p.next.Servers = slices.DeleteFunc(p.next.Servers, func(s Server) bool {
		if listed[s.ID] == s.Address || p.inUse(s.ID) {
			return false
		}
		p.addChange(ChangeServer, string(s.ID), "removed: not listed and owns nothing")
		return true
	})
}

// inUse reports whether a shard is owned by the server or moves to it.
func (p *planner) inUse(id model.ServerID) bool {
	return slices.ContainsFunc(p.next.Shards, func(s Shard) bool { return s.Server == id || s.Next == id })
}

// createShards creates the shards of a new pool.
func (p *planner) createShards() {
	if p.next.FixedShards > 0 {
		return
	}
	p.next.FixedShards = p.view.Rules.Shards
	p.next.Shards = make([]Shard, p.view.Rules.Shards)
	p.addChange(ChangeFirstShards, fmt.Sprintf("%d shards", p.view.Rules.Shards), "first assignment of the pool")
}

// endMoves gives each moving shard to its new server once no request on it can
// still run at the old one.
func (p *planner) endMoves() {
	for id := range p.next.Shards {
		shard := &p.next.Shards[id]
		if shard.Next == "" || !p.next.drained(model.ShardID(id), p.view) {
			continue
		}
		p.endMove(model.ShardID(id), shard)
	}
}

// endMove makes the target the owner under the next epoch, even when the target
// has been lost meanwhile: it may serve the shard already (see DrainedMove), so it
// must drain before another server gets the shard.
func (p *planner) endMove(id model.ShardID, shard *Shard) {
	p.addChange(ChangeMoveEnded, fmt.Sprintf("shard %d", id), fmt.Sprintf("nothing runs at %s; %s owns it", shard.Server, shard.Next))
	*shard = shard.afterMove()
	p.finishSplit(id, shard)
}

// beginMoves starts the moves that placement chooses. A shard without an owner
// is assigned at once, since there is nothing to drain.
func (p *planner) beginMoves() {
	initial := 0
	for _, move := range placement.Decide(p.placementInput()) {
		shard := &p.next.Shards[move.Shard]
		if shard.Server == move.To {
			continue
		}
		if shard.Server == "" {
			shard.Server = move.To
			shard.Epoch++
			initial++
			continue
		}
		shard.Next = move.To
		shard.MoveSeq = p.next.Seq
		p.addChange(ChangeMoveBegan, fmt.Sprintf("shard %d", move.Shard), p.moveCause(shard))
	}
	if initial > 0 {
		p.addChange(ChangeFirstShards, fmt.Sprintf("%d shards", initial), "they had no owner yet")
	}
}

func (p *planner) moveCause(shard *Shard) string {
	state := ServerLost
	if server := p.next.Server(shard.Server); server != nil {
		state = server.State
	}
	if state == ServerActive {
		return fmt.Sprintf("balance: from %s to %s", shard.Server, shard.Next)
	}
	return fmt.Sprintf("%s is %s: to %s", shard.Server, state, shard.Next)
}

// placementInput gives weight 0 to servers that must not get shards: those that
// are not active and those without an active dispatcher.
func (p *planner) placementInput() placement.Input {
	in := placement.Input{Pool: p.next.Pool, Weights: p.view.Rules.Weights, MoveBudget: p.view.MoveBudget}
	weights := map[model.ServerID]float64{}
	for _, server := range p.view.Servers {
		weights[server.ID] = server.Weight
	}
	for i := range p.next.Servers {
		server := &p.next.Servers[i]
		weight := weights[server.ID]
		if server.State != ServerActive || server.ActiveDispatcher() == nil {
			weight = 0
		}
		in.Servers = append(in.Servers, placement.Server{ID: server.ID, Zone: server.Zone, Weight: weight})
	}
	for id, shard := range p.next.Shards {
		in.Shards = append(in.Shards, p.placementShard(model.ShardID(id), shard))
	}
	return in
}

// placementShard counts a moving shard as owned by the server that it moves to.
func (p *planner) placementShard(id model.ShardID, shard Shard) placement.Shard {
	owner := shard.Server
	if shard.Next != "" {
		owner = shard.Next
	}
	return placement.Shard{ID: id, Owner: owner, Load: p.view.ShardRates[id], Moving: shard.Next != ""}
}
