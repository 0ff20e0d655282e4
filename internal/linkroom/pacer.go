package linkroom

import (
	"sync"
	"time"
)

// Class says how urgent bytes are on the link.
type Class int

// Classes of bytes, the more urgent ones first.
const (
	// Control is what daemons send each other and the store.
	Control Class = iota
	// Traffic is what callers and servers send and get.
	Traffic
	classes
)

const (
	// ChunkBytes is the size of the parts in which large bodies pass.
	ChunkBytes = 16 << 10
	// SmallBytes is the largest message that passes without waiting.
	SmallBytes = 8 << 10
	// TurnBytes is the size of a turn: so many bytes of one message pass before those of another
	// one. Who writes a message in pieces has to write pieces of this size.
	TurnBytes = 128 << 10

	usableShare = 0.85                  // share of the bandwidth; the rest is for packet headers and what isn't counted
	maxQueued   = 20 * time.Millisecond // of large bodies on the link, which keeps it busy between two wake-ups
	maxBacklog  = 2 * time.Second       // longest wait for a turn, and of a part
)

// Pacer spreads the large bodies of one direction of the link. They take turns of up to
// TurnBytes, one after the other: with turns of a part each, all of them would be late. Small
// messages take time from it without waiting, and Control takes time from Traffic, not the
// other way round. It is safe for concurrent use.
type Pacer struct {
	rate float64 // usable bandwidth in bytes per second

	mu         sync.Mutex
	freeAt     [classes]time.Time // when the link will have carried what has passed so far
	controlled time.Duration      // for which Control has kept the link, in total
	passed     [classes]int64     // bytes, in total
}

func newPacer(rate float64) *Pacer { return &Pacer{rate: rate} }

// Count takes the time of a message that passes at once.
func (p *Pacer) Count(class Class, bytes int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.take(class, bytes, now)
}

// reserve takes the time of some bytes. It returns how long they have to wait for it and,
// for postponed, how long Control has kept the link so far.
func (p *Pacer) reserve(class Class, bytes int, now time.Time) (wait, controlled time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait = max(p.freeAt[class].Sub(now), 0) - maxQueued
	p.take(class, bytes, now)
	return min(max(wait, 0), maxBacklog), p.controlled
}

// postponed returns by how much bytes of a class have to pass later than reserve said, as
// Control has taken time since.
func (p *Pacer) postponed(class Class, controlled time.Duration) time.Duration {
	if class == Control {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controlled - controlled
}

// Passed returns the number of bytes of a class that have passed or got their time.
func (p *Pacer) Passed(class Class) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passed[class]
}

// due returns the time that the link needs for what has passed and for the turns that wait.
func (p *Pacer) due(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.freeAt[Traffic].Sub(now), 0)
}

// take moves the free times of a class and of the less urgent ones. The caller holds p.mu.
func (p *Pacer) take(class Class, bytes int, now time.Time) {
	p.passed[class] += int64(bytes)
	latest := now.Add(maxBacklog + maxQueued)
	if class == Control {
		p.controlled += p.duration(float64(bytes))
	}
	for c := class; c < classes; c++ {
		free := p.freeAt[c]
		if free.Before(now) {
			free = now
		}
		free = free.Add(p.duration(float64(bytes)))
		if free.After(latest) {
			free = latest
		}
		p.freeAt[c] = free
	}
}

// duration returns the time that the link needs for some bytes.
func (p *Pacer) duration(bytes float64) time.Duration {
	return time.Duration(bytes / p.rate * float64(time.Second))
}
