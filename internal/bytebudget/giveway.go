package bytebudget

import (
	"cmp"
	"slices"
	"time"
)

// makeRoom asks holders to give way until missing bytes are about to be given back. It
// reports false if the bytes that h asks for are to be refused. The caller must hold b.mu.
func (b *Budget) makeRoom(h *Holder, kind Kind, bytes, missing int64, now time.Time) bool {
	for other := range b.holders {
		if other.asked {
			missing -= other.reclaimable()
		}
	}
	if missing <= 0 {
		return true
	}
	for _, victim := range b.victims(h, kind, bytes, now) {
		missing -= victim.reclaimable()
		victim.asked = true
		b.gaveWay++
		go victim.yield()
		if missing <= 0 {
			return true
		}
	}
	return kind == Answer
}

// reclaimable returns the bytes of those that were or may be asked to give way to the answer
// of h. The caller must hold b.mu.
func (b *Budget) reclaimable(h *Holder, now time.Time) int64 {
	bytes := int64(0)
	for other := range b.holders {
		if other != h && (other.asked || other.phase == Receiving || other.stalled(now)) {
			bytes += other.reclaimable()
		}
	}
	return bytes
}

// victims returns the holders that give way to h, the first one first: those that make no
// progress, and then the bodies that hold more than h would. Of both, the largest is first.
func (b *Budget) victims(h *Holder, kind Kind, bytes int64, now time.Time) []*Holder {
	var stalled, receiving []*Holder
	for other := range b.holders {
		switch {
		case other == h || other.asked || other.reclaimable() == 0:
		case other.stalled(now):
			stalled = append(stalled, other)
		case other.phase != Receiving || kind == Connection:
		case kind == Answer || other.held[Body] > h.held[Body]+bytes:
			receiving = append(receiving, other)
		}
	}
	slices.SortFunc(stalled, largestFirst)
	slices.SortFunc(receiving, largestFirst)
	return append(stalled, receiving...)
}

// largestFirst compares holders by the bytes that they give back when they give way.
func largestFirst(a, b *Holder) int { return cmp.Compare(b.reclaimable(), a.reclaimable()) }

// reclaimable returns the bytes that a holder gives back when it gives way.
func (h *Holder) reclaimable() int64 { return h.held[Body] + h.held[Answer] }

// stalled reports whether a holder's caller makes no progress.
func (h *Holder) stalled(now time.Time) bool {
	idle := now.Sub(h.progressAt)
	if h.phase == Delivering {
		return idle >= stalledDelivery
	}
	return idle >= stalledReceiving
}
