package spread

import (
	"encoding/binary"
	"encoding/json"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// TopicName identifies a topic.
type TopicName string

// ItemName identifies an item within a topic.
type ItemName string

// Version orders the values of one item; the highest one is current. An item of
// version zero is not sent to peers.
type Version uint64

// Item is a versioned value.
type Item struct {
	Name    ItemName        `json:"name"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// ItemVersion is an item without its value.
type ItemVersion struct {
	Name    ItemName `json:"name"`
	Version Version  `json:"version"`
}

// Topic is a set of items that every daemon should hold. Implementations are
// safe for concurrent use.
type Topic interface {
	Name() TopicName
	// Versions returns the versions of the items that this daemon holds, sorted by name.
	Versions() []ItemVersion
	// Newer returns the held items that are missing from have or have a lower version
	// there.
	Newer(have []ItemVersion) []Item
	// Merge stores the items from a peer that are newer than the held ones and
	// reports whether there were any.
	Merge(items []Item) bool
}

// digest returns a hash of the names and versions. Daemons with equal items thus
// compare only one number.
func digest(versions []ItemVersion) uint64 {
	hash := xxhash.New()
	var number [8]byte
	for _, v := range versions {
		_, _ = hash.WriteString(string(v.Name))
		binary.LittleEndian.PutUint64(number[:], uint64(v.Version))
		_, _ = hash.Write(number[:])
	}
	return hash.Sum64()
}

// Map is a Topic that holds its items in memory and calls a function for items
// received from peers.
type Map struct {
	name  TopicName
	onNew func(Item)

	mu    sync.Mutex
	items map[ItemName]Item
}

// NewMap returns an empty topic. onNew is called, outside of any lock, for each
// item that Merge stored; it may be nil.
func NewMap(name TopicName, onNew func(Item)) *Map {
	return &Map{name: name, onNew: onNew, items: map[ItemName]Item{}}
}

// Name implements Topic.
func (m *Map) Name() TopicName { return m.name }

// Set stores an item that this daemon writes. It reports false, and stores nothing,
// when the held item has the same or a higher version.
func (m *Map) Set(item Item) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set(item)
}

// set does the work of Set. The caller holds the lock.
func (m *Map) set(item Item) bool {
	if current, ok := m.items[item.Name]; ok && current.Version >= item.Version {
		return false
	}
	m.items[item.Name] = item
	return true
}

// Get returns the item with the name and whether it is held.
func (m *Map) Get(name ItemName) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[name]
	return item, ok
}

// Remove deletes an item from this daemon's copy. A peer that still holds the item
// may send it again.
func (m *Map) Remove(name ItemName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.items, name)
}

// Items returns all items, sorted by name.
func (m *Map) Items() []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := make([]Item, 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items
}

// Versions implements Topic.
func (m *Map) Versions() []ItemVersion {
	items := m.Items()
	versions := make([]ItemVersion, 0, len(items))
	for _, item := range items {
		versions = append(versions, ItemVersion{Name: item.Name, Version: item.Version})
	}
	return versions
}

// Newer implements Topic.
func (m *Map) Newer(have []ItemVersion) []Item {
	known := make(map[ItemName]Version, len(have))
	for _, v := range have {
		known[v.Name] = v.Version
	}
	var newer []Item
	for _, item := range m.Items() {
		if item.Version > known[item.Name] {
			newer = append(newer, item)
		}
	}
	return newer
}

// Merge implements Topic.
func (m *Map) Merge(items []Item) bool {
	var accepted []Item
	m.mu.Lock()
	for _, item := range items {
		if m.set(item) {
			accepted = append(accepted, item)
		}
	}
	m.mu.Unlock()
	if m.onNew != nil {
		for _, item := range accepted {
			m.onNew(item)
		}
	}
	return len(accepted) > 0
}
