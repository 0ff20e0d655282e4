package serverspeed

import "time"

// Share makes the book keep its samples for other daemons.
func (b *Book) Share() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shared = true
}

// TakeTallies returns the samples since the last call in their encoded form. What is left
// over goes with the next message.
func (b *Book) TakeTallies() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return encodeTallies(b.pending)
}

// AddTallies adds the samples of another daemon as if they were this daemon's own, which are
// not sent on. Those of servers that this daemon does not know are kept as well.
func (b *Book) AddTallies(encoded []byte, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return decodeTallies(encoded, func(key Key, t Tally) {
		if t.Count == 0 {
			return
		}
		server := b.entry(key)
		server.add(t.Log, float64(t.Count), b.service(server.service).Prior().Noise, now)
		b.publish(server, now)
	})
}

// Figures returns the figures that were published after a sequence number, oldest first, in
// their encoded form, and the number of the last one. A number that was not given out stands
// for zero: it comes from a daemon's earlier process.
func (b *Book) Figures(after uint64, now time.Time) (encoded []byte, last uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if after > b.sequence {
		after = 0
	}
	keys := make([]Key, 0, maxFigures)
	for key, server := range b.servers {
		if server.sequence > after {
			keys = b.insertBySequence(keys, key)
		}
	}
	last = after
	for _, key := range keys {
		encoded = appendFigure(encoded, key, b.servers[key].published, now)
		last = b.servers[key].sequence
	}
	return encoded, last
}

// insertBySequence inserts a key into a list that is sorted by sequence, and holds maxFigures
// at most. The caller must hold b.mu.
func (b *Book) insertBySequence(keys []Key, key Key) []Key {
	sequence := b.servers[key].sequence
	if len(keys) == maxFigures {
		if b.servers[keys[len(keys)-1]].sequence < sequence {
			return keys
		}
		keys = keys[:len(keys)-1]
	}
	at := len(keys)
	keys = append(keys, key)
	for ; at > 0 && b.servers[keys[at-1]].sequence > sequence; at-- {
		keys[at] = keys[at-1]
	}
	keys[at] = key
	return keys
}

// AddFigures takes over the figures of a daemon that gathers the samples of others.
func (b *Book) AddFigures(encoded []byte, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return decodeFigures(encoded, now, func(key Key, f Figure) {
		b.entry(key).peer = f
	})
}
