// Package assignments stores the newest assignment of each pool that this daemon has
// received. It publishes each one to the directory, which request handling reads, and
// spreads it to the other daemons as deltas between versions. Drained moves are spread
// beside the versions and appear as ended in what is published.
package assignments

import (
	"encoding/json"
	"sort"
	"sync"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/spread"
)

const (
	topicAssignments = spread.TopicName("assignments")
	// historyLength is the number of versions kept of each pool, as bases of deltas.
	historyLength = 16
)

// Store holds the recent assignments of each pool. It is safe for concurrent use.
type Store struct {
	loop      *control.Loop
	spread    *spread.Replicator
	directory *directory.Directory
	log       *zap.Logger

	drainedItems *spread.Map // holds the drained moves for the other daemons; see MarkDrained

	mu        sync.Mutex
	history   map[model.PoolName][]*ownership.Assignment // oldest first; the last is the newest
	drained   map[model.PoolName]map[model.ShardID]ownership.DrainedMove
	listeners []func(*ownership.Assignment)
}

// New returns an empty store.
func New(loop *control.Loop, s *spread.Replicator, dir *directory.Directory, log *zap.Logger) *Store {
	store := &Store{
		loop:      loop,
		spread:    s,
		directory: dir,
		log:       log.Named(string(topicAssignments)),
		history:   map[model.PoolName][]*ownership.Assignment{},
		drained:   map[model.PoolName]map[model.ShardID]ownership.DrainedMove{},
	}
	store.drainedItems = spread.NewMap(topicDrained, store.drainedItemChanged)
	s.Add(store)
	s.Add(store.drainedItems)
	return store
}

// OnChange registers f, which is called on the control goroutine with each newer assignment,
// as Current returns it. It must be called before any service starts.
func (s *Store) OnChange(f func(*ownership.Assignment)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Get returns the newest version of a pool's assignment that the table is known to have
// held, or nil when there is none.
func (s *Store) Get(pool model.PoolName) *ownership.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest(pool)
}

// newest returns a pool's newest assignment, or nil. The caller holds s.mu.
func (s *Store) newest(pool model.PoolName) *ownership.Assignment {
	versions := s.history[pool]
	if len(versions) == 0 {
		return nil
	}
	return versions[len(versions)-1]
}

// Apply stores an assignment that the platform's table holds or has held, publishes and
// spreads it. It reports false, without effect, when the stored one is at least as new.
func (s *Store) Apply(a *ownership.Assignment) bool {
	if !s.add(a) {
		return false
	}
	s.loop.Post(func() { s.publish(a.Pool) })
	s.spread.SchedulePush(topicAssignments)
	return true
}

// add appends an assignment to the history if it is newer, and reports whether it is.
func (s *Store) add(a *ownership.Assignment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest := s.newest(a.Pool); newest != nil && newest.Seq >= a.Seq {
		return false
	}
	versions := append(s.history[a.Pool], a)
	if len(versions) > historyLength {
		versions = versions[1:]
	}
	s.history[a.Pool] = versions
	return true
}

// publish publishes a pool's current assignment to the directory and calls the listeners,
// unless the directory already has one at least as new. It runs on the control goroutine.
func (s *Store) publish(pool model.PoolName) {
	a := s.Current(pool)
	if a == nil || !a.NewerThan(s.directory.Load().Pools[pool]) {
		return
	}
	s.directory.PublishAssignment(a)
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	for _, listener := range listeners {
		listener(a)
	}
}

// DeltaFrom returns the delta from the version base to the newest one, or nil when base is
// at least as new. If the history no longer has base, the delta holds the whole assignment.
func (s *Store) DeltaFrom(pool model.PoolName, base model.Seq) *ownership.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.newest(pool)
	if next == nil || next.Seq <= base {
		return nil
	}
	for _, version := range s.history[pool] {
		if version.Seq == base {
			return ownership.DeltaOf(version, next)
		}
	}
	return ownership.DeltaOf(nil, next)
}

// ApplyDelta applies a delta to the newest assignment and reports whether the result is newer.
// A delta that does not fit the stored version has no effect.
func (s *Store) ApplyDelta(d *ownership.Delta) bool {
	next, ok := d.Apply(s.Get(d.Pool))
	return ok && s.Apply(next)
}

// Name implements spread.Topic.
func (s *Store) Name() spread.TopicName { return topicAssignments }

// Versions implements spread.Topic.
func (s *Store) Versions() []spread.ItemVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make([]spread.ItemVersion, 0, len(s.history))
	for pool := range s.history {
		versions = append(versions, spread.ItemVersion{
			Name:    spread.ItemName(pool),
			Version: spread.Version(s.newest(pool).Seq),
		})
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i].Name < versions[j].Name })
	return versions
}

// Newer implements spread.Topic.
func (s *Store) Newer(have []spread.ItemVersion) []spread.Item {
	known := map[spread.ItemName]spread.Version{}
	for _, v := range have {
		known[v.Name] = v.Version
	}
	var items []spread.Item
	for _, v := range s.Versions() {
		delta := s.DeltaFrom(model.PoolName(v.Name), model.Seq(known[v.Name]))
		if delta == nil {
			continue
		}
		value, err := json.Marshal(delta)
		if err != nil {
			s.log.Error("assignment could not be encoded and is not spread", zap.String("step", "encode"), zap.Error(err))
			continue
		}
		items = append(items, spread.Item{Name: v.Name, Version: spread.Version(delta.Seq), Value: value})
	}
	return items
}

// Merge implements spread.Topic.
func (s *Store) Merge(items []spread.Item) bool {
	newer := false
	for _, item := range items {
		var delta ownership.Delta
		if err := json.Unmarshal(item.Value, &delta); err != nil {
			s.log.Error("assignment received from a peer could not be decoded", zap.String("step", "decode"), zap.Error(err))
			continue
		}
		if s.ApplyDelta(&delta) {
			newer = true
		}
	}
	return newer
}
