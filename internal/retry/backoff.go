package retry

import (
	"math/rand/v2"
	"time"
)

// Limits of the pauses between attempts, before jitter.
const (
	backoffFirst = 5 * time.Millisecond
	backoffLimit = 200 * time.Millisecond
)

// Backoff computes the pauses between the attempts of one request. The zero value is
// ready to use.
type Backoff struct {
	last time.Duration
}

// Next returns the next pause. It doubles from backoffFirst up to backoffLimit; the
// result is a random time between one half of that and the whole.
func (b *Backoff) Next() time.Duration {
	if b.last == 0 {
		b.last = backoffFirst
	} else {
		b.last = min(2*b.last, backoffLimit)
	}
	return b.last/2 + rand.N(b.last/2)
}
