package bytebudget

const (
	// garbageShare bounds the bytes that were given back and may not have been collected:
	// with those that are held, they may exceed the budget by 1/garbageShare of it. Their
	// collection begins at half of that.
	garbageShare = 8
	// smallBytes of a body never wait for a collection: there is room for them beside the
	// budget.
	smallBytes = 64 << 10
)

// garbage counts the bytes that were given back since the last collection of which the
// budget knows. They may still take memory.
type garbage struct {
	bytes      int64
	collect    func() // collects garbage; nil if it does not count
	collecting bool
}

// CountGarbage has bytes that were given back count until they have been collected. collect
// does that, and returns when it is done. CountGarbage must be called before the first Take.
func (b *Budget) CountGarbage(collect func()) { b.garbage.collect = collect }

// add counts bytes that were given back. The buffers of connections are used again.
func (g *garbage) add(kind Kind, bytes int64) {
	if g.collect != nil && kind != Connection {
		g.bytes += bytes
	}
}

// awaitsCollection reports whether bytes of a kind can't be held before garbage has been
// collected, and begins to collect it in time. The caller must hold b.mu.
func (b *Budget) awaitsCollection(kind Kind, bytes int64) bool {
	if kind == Connection {
		return false
	}
	excess := b.used + bytes + b.garbage.bytes - b.limit
	allowed := b.limit / garbageShare
	if b.garbage.bytes == 0 || excess <= allowed/2 {
		return false
	}
	if !b.garbage.collecting {
		b.garbage.collecting = true
		go b.collectGarbage(b.garbage.bytes)
	}
	return excess > allowed && bytes > smallBytes
}

// collectGarbage collects the bytes that were given back so far.
func (b *Budget) collectGarbage(bytes int64) {
	b.garbage.collect()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.garbage.collecting = false
	b.garbage.bytes -= bytes
	b.wake()
}
