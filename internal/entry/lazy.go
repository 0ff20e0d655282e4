package entry

import "sync"

// lazyMap is a map that makes the value of a key at the first get. Values are
// never removed. It is safe for concurrent use; a get of an existing key takes only
// the read lock.
type lazyMap[K comparable, V any] struct {
	make func(K) V

	mu    sync.RWMutex
	items map[K]V
}

func newLazyMap[K comparable, V any](make func(K) V) *lazyMap[K, V] {
	return &lazyMap[K, V]{make: make, items: map[K]V{}}
}

func (m *lazyMap[K, V]) get(key K) V {
	m.mu.RLock()
	item, ok := m.items[key]
	m.mu.RUnlock()
	if ok {
		return item
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if item, ok := m.items[key]; ok {
		return item
	}
	item = m.make(key)
	m.items[key] = item
	return item
}

// each calls f with every value under the read lock.
func (m *lazyMap[K, V]) each(f func(V)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, item := range m.items {
		f(item)
	}
}
