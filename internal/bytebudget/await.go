package bytebudget

import (
	"context"
	"math"
	"time"
)

// checkPeriod is the time after which a waiting holder looks for others that have stopped
// making progress.
const checkPeriod = 200 * time.Millisecond

// unlimited is a patience that does not end before the context.
const unlimited = time.Duration(math.MaxInt64)

// Await is Take that waits until ctx ends while the verdict is Wait or Collecting. It reports
// whether the bytes may be held.
func (h *Holder) Await(ctx context.Context, kind Kind, bytes int64) bool {
	return await(ctx, h.Take, kind, bytes, unlimited)
}

// AwaitShare is Await for TakeShare.
func (h *Holder) AwaitShare(ctx context.Context, kind Kind, bytes int64) bool {
	return await(ctx, h.TakeShare, kind, bytes, unlimited)
}

// AwaitBriefly is Await that waits for others for at most patience. A wait for a collection
// does not count.
func (h *Holder) AwaitBriefly(ctx context.Context, kind Kind, bytes int64, patience time.Duration) bool {
	return await(ctx, h.Take, kind, bytes, patience)
}

func await(ctx context.Context, take func(Kind, int64, time.Time) (Verdict, <-chan struct{}), kind Kind, bytes int64, patience time.Duration) bool {
	for {
		now := time.Now()
		verdict, changed := take(kind, bytes, now)
		if verdict == Granted || verdict == Refused {
			return verdict == Granted
		}
		pause := checkPeriod
		if verdict == Wait {
			pause = min(pause, patience)
		}
		if pause <= 0 {
			return false
		}
		check := time.NewTimer(pause)
		select {
		case <-changed:
		case <-check.C:
		case <-ctx.Done():
			check.Stop()
			return false
		}
		check.Stop()
		if verdict == Wait {
			patience -= time.Since(now)
		}
	}
}
