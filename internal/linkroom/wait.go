package linkroom

import (
	"slices"
	"time"
)

const (
	// WaitCheckPeriod is the time between two calls of Try.
	WaitCheckPeriod = 10 * time.Millisecond

	maxWaiters = 32   // requests that wait for room at a time; further ones are refused at once
	waitShare  = 0.25 // of its latency objective that a request waits at most
)

// Waiter is a request that waits for room. Dequeue must be called in the end.
type Waiter struct {
	request *Request
	until   time.Time
}

// Enqueue has a request wait for room, after those of more urgent and of its own rank. It
// returns nil if too many wait.
func (r *Room) Enqueue(q *Request, now time.Time) *Waiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) >= maxWaiters {
		return nil
	}
	w := &Waiter{request: q, until: now.Add(time.Duration(waitShare * float64(q.objective())))}
	at := slices.IndexFunc(r.waiting, func(other *Waiter) bool { return other.request.Rank > q.Rank })
	if at < 0 {
		at = len(r.waiting)
	}
	r.waiting = slices.Insert(r.waiting, at, w)
	return w
}

// Try admits a waiting request if it is the first one and there is room. Otherwise it returns
// the time after which there is room, and for expired whether the request has waited as long as
// it may.
func (r *Room) Try(w *Waiter, now time.Time) (a Admission, missing time.Duration, admitted, expired bool) {
	passing := max(r.In.due(now), r.Out.due(now))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(now)
	missing = r.missing(w.request, passing)
	if missing == 0 && r.waiting[0] == w {
		return r.admit(w.request, now), 0, true, false
	}
	return Admission{}, max(missing, minRetryAfter), false, !now.Before(w.until)
}

// Dequeue removes a request from those that wait.
func (r *Room) Dequeue(w *Waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = slices.DeleteFunc(r.waiting, func(other *Waiter) bool { return other == w })
}
