package inspect

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// ownerEventLimit is the maximum number of control decisions shown with an owner.
const ownerEventLimit = 10

// Owner describes the owner of a key in one pool and its dispatchers, the daemons that
// send requests to it. Server is empty while the key's shard has no owner. Term and Seq
// identify the assignment that was used.
type Owner struct {
	Pool  model.PoolName `json:"pool"`
	Key   model.Key      `json:"key"`
	Shard model.ShardID  `json:"shard"`
	// Hot reports whether the key is so busy that it has a shard of its own.
	Hot    bool                  `json:"hot,omitempty"`
	Server model.ServerID        `json:"server"`
	Zone   model.Zone            `json:"zone,omitempty"`
	State  ownership.ServerState `json:"state,omitempty"`
	// Epoch is the shard's epoch, which increases with each change of owner.
	Epoch model.Epoch `json:"epoch"`
	// MovesTo is the server to which the key is being moved, if any.
	MovesTo     model.ServerID         `json:"moves_to,omitempty"`
	Dispatchers []ownership.Dispatcher `json:"dispatchers"`
	Term        model.Term             `json:"term"`
	Seq         model.Seq              `json:"seq"`
	Reason      string                 `json:"why"`
}

// Owners returns the owner of a key in the given pool, or in every keyed pool when pool
// is empty, as this daemon's assignments show it.
func (i *Inspector) Owners(key model.Key, pool model.PoolName) []Owner {
	owners := []Owner{}
	for name, assignment := range i.directory.Load().Pools {
		if assignment.Keyed && (pool == "" || pool == name) {
			owners = append(owners, ownerIn(assignment, key))
		}
	}
	slices.SortFunc(owners, func(a, b Owner) int { return strings.Compare(string(a.Pool), string(b.Pool)) })
	return owners
}

func ownerIn(assignment *ownership.Assignment, key model.Key) Owner {
	id := assignment.ShardOf(key)
	shard, _ := assignment.Shard(id)
	owner := Owner{
		Pool:    assignment.Pool,
		Key:     key,
		Shard:   id,
		Hot:     int(id) >= assignment.FixedShards,
		Server:  shard.Server,
		Epoch:   shard.Epoch,
		MovesTo: shard.Next,
		Term:    assignment.Term,
		Seq:     assignment.Seq,
	}
	if server := assignment.Server(shard.Server); server != nil {
		owner.Zone = server.Zone
		owner.State = server.State
		owner.Dispatchers = server.Dispatchers
	}
	owner.Reason = owner.reason()
	return owner
}

// reason returns a sentence for operators that explains why the server owns the key.
func (o *Owner) reason() string {
	switch {
	case o.Server == "":
		return fmt.Sprintf("shard %d has no owner now", o.Shard)
	case o.MovesTo != "":
		return fmt.Sprintf("shard %d moves from %s to %s", o.Shard, o.Server, o.MovesTo)
	case o.Hot:
		return fmt.Sprintf("the key is hot and has shard %d of its own; owner number %d of it", o.Shard, o.Epoch)
	default:
		return fmt.Sprintf("the key hashes to shard %d; %s is owner number %d of it", o.Shard, o.Server, o.Epoch)
	}
}

// OwnersWithEvents returns the owners of a key with the newest control decisions about
// its shards and servers.
func (i *Inspector) OwnersWithEvents(ctx context.Context, key model.Key, pool model.PoolName) Explanation {
	explanation := Explanation{Owners: i.Owners(key, pool), Steps: []journal.Step{}}
	for _, owner := range explanation.Owners {
		explanation.Events = append(explanation.Events, i.ownerEvents(ctx, owner)...)
	}
	return explanation
}

// ownerEvents returns the newest control decisions of all daemons about the owner's
// shard and servers.
func (i *Inspector) ownerEvents(ctx context.Context, owner Owner) []journal.Event {
	all := i.Events(ctx, EventFilter{Pool: owner.Pool})
	var related []journal.Event
	for _, event := range all.Events {
		if owner.concerns(&event) {
			related = append(related, event)
		}
	}
	return newest(related, ownerEventLimit)
}

// concerns reports whether an event is about the owner's shard or servers or about the
// pool as a whole.
func (o *Owner) concerns(e *journal.Event) bool {
	switch e.Subject {
	case "", fmt.Sprintf("shard %d", o.Shard), string(o.Server), string(o.MovesTo):
		return true
	default:
		return false
	}
}
