// Package assignments holds the newest known assignment of each pool, publishes
// it to traffic and spreads it to the other daemons as deltas.
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
	topic = spread.TopicName("assignments")
	// historyLength is the number of versions of a pool kept to make deltas from.
	historyLength = 16
)

// Store holds the assignments. It is safe for concurrent use.
type Store struct {
	loop      *control.Loop
	spread    *spread.Spread
	directory *directory.Directory
	log       *zap.Logger

	mu        sync.Mutex
	history   map[model.PoolName][]*ownership.Assignment // oldest first; the last is the newest
	listeners []func(*ownership.Assignment)
}

// New returns an empty store.
func New(loop *control.Loop, s *spread.Spread, dir *directory.Directory, log *zap.Logger) *Store {
	store := &Store{
		loop:      loop,
		spread:    s,
		directory: dir,
		log:       log.Named(string(topic)),
		history:   map[model.PoolName][]*ownership.Assignment{},
	}
	s.Add(store)
	return store
}

// OnChange calls f on the control goroutine with each newer assignment. It must
// be called before any service starts.
func (s *Store) OnChange(f func(*ownership.Assignment)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Get returns a pool's newest assignment, or nil.
func (s *Store) Get(pool model.PoolName) *ownership.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest(pool)
}

// newest runs under the lock.
func (s *Store) newest(pool model.PoolName) *ownership.Assignment {
	versions := s.history[pool]
	if len(versions) == 0 {
		return nil
	}
	return versions[len(versions)-1]
}

// Apply takes an assignment that the table holds or held. It reports whether it is newer.
func (s *Store) Apply(a *ownership.Assignment) bool {
	if !s.keep(a) {
		return false
	}
	s.loop.Post(func() { s.publish(a) })
	s.spread.Changed(topic)
	return true
}

func (s *Store) keep(a *ownership.Assignment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.newest(a.Pool); known != nil && known.Seq >= a.Seq {
		return false
	}
	versions := append(s.history[a.Pool], a)
	if len(versions) > historyLength {
		versions = versions[1:]
	}
	s.history[a.Pool] = versions
	return true
}

// publish runs on the control goroutine.
func (s *Store) publish(a *ownership.Assignment) {
	if known := s.directory.Load().Pools[a.Pool]; known != nil && known.Seq >= a.Seq {
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

// DeltaFrom returns what leads from a version to the newest one, or nil when it
// is the newest. A version that is not kept any more gives the whole assignment.
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

// ApplyDelta applies a delta and reports whether it gave a newer assignment.
func (s *Store) ApplyDelta(d *ownership.Delta) bool {
	next, ok := d.Apply(s.Get(d.Pool))
	return ok && s.Apply(next)
}

// Name implements spread.Topic.
func (s *Store) Name() spread.TopicName { return topic }

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
			s.log.Error("assignment not spread", zap.String("step", "encode"), zap.Error(err))
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
			s.log.Error("assignment not read", zap.String("step", "decode"), zap.Error(err))
			continue
		}
		if s.ApplyDelta(&delta) {
			newer = true
		}
	}
	return newer
}
