// Package bytebudget decides who may hold how many bytes of a process's memory for its
// callers: their connections, the bodies that are being received or were sent on, and the
// answers that are being read or delivered. All draw on one budget.
//
// While the budget has room, everybody gets what they ask for. When it is full, callers
// that make no progress give way first, and then the body that holds the most among those
// that are still being received. A request that was sent on never gives way; its answer
// gets room before any body does.
package bytebudget

import (
	"sync"
	"time"
)

// Kind is what bytes are held for.
type Kind int

// Kinds of bytes.
const (
	Connection Kind = iota // buffers of an open connection
	Body                   // a request's body
	Answer                 // an answer, until it has left the process
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Body, Answer} }

// String implements fmt.Stringer.
func (k Kind) String() string { return [kinds]string{"connections", "bodies", "answers"}[k] }

// Phase is what a holder's caller is doing. It decides whether the holder may be asked to
// give way.
type Phase int

// Phases.
const (
	// Busy callers are never asked: they wait for the process, or hold only a connection.
	Busy Phase = iota
	// Receiving: the caller sends a body.
	Receiving
	// Delivering: the caller takes its answer.
	Delivering
)

const (
	answerShare      = 8               // 1/answerShare of the budget is left to answers
	stalledReceiving = time.Second     // a body without a new byte for so long makes no progress,
	stalledDelivery  = 3 * time.Second // and so does an answer of which nothing was taken for so long
)

// Verdict is the decision on a request for bytes.
type Verdict int

// Verdicts.
const (
	// Granted: the bytes may be held.
	Granted Verdict = iota
	// Wait: others have been asked to give way, or an answer waits for its turn.
	Wait
	// Collecting: there is room as soon as bytes that were given back have been collected.
	Collecting
	// Refused: the bytes may not be held.
	Refused
)

// Budget is a number of bytes that holders share. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	byKind  [kinds]int64
	holders map[*Holder]struct{} // those in another phase than Busy
	freed   chan struct{}        // closed when bytes are given back
	waiting bool                 // somebody may wait for freed
	gaveWay int64                // number of holders that were asked to give way
	garbage garbage
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]struct{}{}, freed: make(chan struct{})}
}

// Limit returns the number of bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// UsedBy returns the number of bytes of a kind that are held.
func (b *Budget) UsedBy(kind Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKind[kind]
}

// GaveWay returns how many holders have been asked to give way.
func (b *Budget) GaveWay() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gaveWay
}

// MostFor returns the largest number of bytes of a kind that a single holder could have if
// there were no other.
func (b *Budget) MostFor(kind Kind) int64 {
	switch kind {
	case Answer:
		return b.limit
	case Connection:
		return b.limit - b.limit/answerShare/2
	default:
		return b.limit - b.limit/answerShare
	}
}

// besideBodies returns the bytes of connections that take no room from bodies: they come out
// of the part of answers, and leave them half of it. The caller must hold b.mu.
func (b *Budget) besideBodies() int64 { return min(b.byKind[Connection], b.limit/answerShare/2) }

// missing returns how many bytes have to be given back before bytes of a kind have room. The
// caller must hold b.mu.
func (b *Budget) missing(kind Kind, bytes int64) int64 {
	missing := b.used + bytes - b.MostFor(kind)
	if kind == Body {
		missing -= b.besideBodies()
	}
	return missing
}

// ConnectionsInTheWay returns how many bytes of connections have to be given back, as far as
// they take room from bodies, before a body may take so many bytes.
func (b *Budget) ConnectionsInTheWay(bytes int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(min(b.missing(Body, bytes), b.byKind[Connection]-b.besideBodies()), 0)
}

// Holder is one user of a budget, such as a caller's connection.
type Holder struct {
	budget *Budget
	yield  func()

	// Protected by budget.mu:
	held       [kinds]int64
	phase      Phase
	progressAt time.Time
	asked      bool
}

// NewHolder returns a holder of no bytes. yield is called when the holder is asked to give
// way, at most once in a phase, from another goroutine and possibly after the phase has
// ended; it must not block. Release must be called in the end.
func (b *Budget) NewHolder(yield func()) *Holder { return &Holder{budget: b, yield: yield} }

// Enter begins a phase at a time.
func (h *Holder) Enter(phase Phase, now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.phase, h.progressAt, h.asked = phase, now, false
	if phase == Busy {
		delete(b.holders, h)
		return
	}
	b.holders[h] = struct{}{}
}

// Progress says that the caller has sent or taken bytes at a time.
func (h *Holder) Progress(now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = now
}

// Stalled reports whether the holder's caller makes no progress with its body or answer.
func (h *Holder) Stalled(now time.Time) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.phase != Busy && h.stalled(now)
}

// Asked reports whether the holder was asked to give way in this phase.
func (h *Holder) Asked() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.asked
}

// Take asks for bytes of a kind. With Wait and Collecting, changed is closed when it is worth asking again.
func (h *Holder) Take(kind Kind, bytes int64, now time.Time) (v Verdict, changed <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.asked {
		return Refused, nil
	}
	missing := b.missing(kind, bytes)
	if missing <= 0 && b.awaitsCollection(kind, bytes) && kind != Answer { // its request was sent on
		h.progressAt = now // the caller is not what the body waits for
		return b.wait(Collecting)
	}
	if missing <= 0 {
		b.take(h, kind, bytes)
		return Granted, nil
	}
	if h.held[kind]+bytes > b.MostFor(kind) {
		return Refused, nil
	}
	if !b.makeRoom(h, kind, bytes, missing, now) {
		return Refused, nil
	}
	return b.wait(Wait)
}

// wait returns a verdict to wait. The caller must hold b.mu.
func (b *Budget) wait(v Verdict) (_ Verdict, changed <-chan struct{}) {
	b.waiting = true
	return v, b.freed
}

// TakeShare is Take that refuses if the holder would then have more of the kind than is left
// for others. It is for what may have no end: a single holder may have half of the budget,
// many have a small part each, and there is always room for others. Before it refuses, it
// asks others to give way if that suffices.
func (h *Holder) TakeShare(kind Kind, bytes int64, now time.Time) (v Verdict, changed <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := h.held[kind] + bytes - (b.limit - b.used - bytes)
	switch {
	case missing > 0 && missing > b.reclaimable(h, now):
		return Refused, nil
	case missing > 0:
		b.makeRoom(h, kind, bytes, missing, now)
		return b.wait(Wait)
	case b.awaitsCollection(kind, bytes):
		return b.wait(Collecting)
	}
	b.take(h, kind, bytes)
	return Granted, nil
}

// take must be called with b.mu held.
func (b *Budget) take(h *Holder, kind Kind, bytes int64) {
	b.used += bytes
	b.byKind[kind] += bytes
	h.held[kind] += bytes
}

// Give gives bytes of a kind back.
func (h *Holder) Give(kind Kind, bytes int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.give(h, kind, bytes)
}

// GiveAll gives all bytes of a kind back.
func (h *Holder) GiveAll(kind Kind) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.give(h, kind, h.held[kind])
}

// Pass hands all bytes of a kind over to another holder.
func (h *Holder) Pass(to *Holder, kind Kind) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	to.held[kind] += h.held[kind]
	h.held[kind] = 0
}

// Holds reports whether the holder has bytes of a kind.
func (h *Holder) Holds(kind Kind) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.held[kind] > 0
}

// Release gives all bytes back.
func (h *Holder) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind := range kinds {
		b.give(h, kind, h.held[kind])
	}
	delete(b.holders, h)
}

// give must be called with b.mu held.
func (b *Budget) give(h *Holder, kind Kind, bytes int64) {
	if bytes == 0 {
		return
	}
	b.used -= bytes
	b.byKind[kind] -= bytes
	h.held[kind] -= bytes
	b.garbage.add(kind, bytes)
	b.wake()
}

// wake has those that wait ask again. The caller must hold b.mu.
func (b *Budget) wake() {
	if !b.waiting {
		return
	}
	b.waiting = false
	close(b.freed)
	b.freed = make(chan struct{})
}
