package journal

import "sync"

// ring is a circular buffer of the newest items. Its memory is allocated with the first
// item.
type ring[T any] struct {
	mu       sync.Mutex
	capacity int
	items    []T
	next     int    // index of the oldest item of a full buffer, which the next item replaces
	total    uint64 // items added since the start
}

func (r *ring[T]) add(item *T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if r.items == nil {
		r.items = make([]T, 0, r.capacity)
	}
	if len(r.items) < r.capacity {
		r.items = append(r.items, *item)
		return
	}
	r.items[r.next] = *item
	r.next = (r.next + 1) % r.capacity
}

// list returns the items that match, oldest first.
func (r *ring[T]) list(match func(*T) bool) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []T{}
	for i := range r.items {
		item := &r.items[(r.next+i)%len(r.items)]
		if match(item) {
			found = append(found, *item)
		}
	}
	return found
}

// dropped returns the number of items that newer ones have replaced.
func (r *ring[T]) dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total - uint64(len(r.items))
}
