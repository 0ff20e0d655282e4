package linkroom

import (
	"sync"
	"time"
)

// UnknownLength is what a Flow takes for the rest of a message of unknown length: its turns
// are of one part each.
const UnknownLength = ChunkBytes

// Flow is a large message that passes in parts. It is safe for concurrent use.
type Flow struct {
	pacer *Pacer
	class Class

	mu         sync.Mutex
	left       int           // bytes of the turn that have not passed
	at, next   time.Time     // of the current part and of the one after it
	latest     time.Time     // of the current part
	controlled time.Duration // as Pacer.reserve said at the begin of the turn
}

// NewFlow returns the flow of a message.
func (p *Pacer) NewFlow(class Class) *Flow { return &Flow{pacer: p, class: class} }

// Next takes the time of the next part of the message, which may pass at At. rest is the
// number of bytes that are left of the message, with that part.
func (f *Flow) Next(part, rest int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at, f.latest = f.next, now.Add(maxBacklog)
	if f.left < part {
		f.left = max(min(rest, TurnBytes), part)
		wait, controlled := f.pacer.reserve(f.class, f.left, now)
		f.at, f.controlled = now.Add(wait), controlled
	}
	f.left -= part
	f.next = f.at.Add(f.pacer.duration(float64(part)))
}

// At returns when the part may pass, which may become later until then: maxBacklog after Next
// at most.
func (f *Flow) At() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.at.Add(f.pacer.postponed(f.class, f.controlled))
	if at.After(f.latest) {
		return f.latest
	}
	return at
}
