package retry

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Limits of the pauses between attempts, before jitter.
const (
	backoffFirst = 5 * time.Millisecond
	backoffLimit = 200 * time.Millisecond
)

// Backoff computes the pauses between the attempts of one operation. The zero value is
// ready to use, with the limits for requests.
type Backoff struct {
	// First and Limit are the first and the longest pause, before jitter. If zero, they
	// are backoffFirst and backoffLimit.
	First, Limit time.Duration
	last         time.Duration
}

// Next returns the next pause. It doubles from the first one up to the limit; the result
// is a random time between one half of that and the whole.
func (b *Backoff) Next() time.Duration {
	first, limit := cmp.Or(b.First, backoffFirst), cmp.Or(b.Limit, backoffLimit)
	if b.last == 0 {
		b.last = first
	} else {
		b.last = min(2*b.last, limit)
	}
	return b.last/2 + rand.N(b.last/2)
}
