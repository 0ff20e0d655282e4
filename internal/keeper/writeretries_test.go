package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// writesWhileRefused returns the number of writes in the first and in the second half of a time
// in which the store refuses all of them, after the given start.
func writesWhileRefused(t *testing.T, during time.Duration, begin func(h *history)) (first, second int) {
	synctest.Test(t, func(t *testing.T) {
		h := startHistory()
		h.mu.Lock()
		h.refuseWrites, h.writes = true, nil
		h.mu.Unlock()
		began := time.Now()
		begin(h)
		time.Sleep(time.Until(began.Add(during)))
		h.mu.Lock()
		h.refuseWrites = false
		for _, at := range h.writes {
			if at.Sub(began) < during/2 {
				first++
			} else {
				second++
			}
		}
		h.mu.Unlock()
		h.finish(t)
	})
	return first, second
}

// Keepers repeated refused writes at a fixed pace of 3 to 4 a second: daemons that try to become
// keeper, and keepers that move keys or write their record in a new era.
func TestRefusedWritesAreRepeatedEverMoreRarely(t *testing.T) {
	const during = 8 * time.Second
	for name, begin := range map[string]func(h *history){
		"keeper killed": func(h *history) { h.killDaemon(h.keeperIndex()) },
		"server killed": func(h *history) {
			h.apply(event{kind: "crash", index: 1, duration: 500 * time.Millisecond})
		},
		"new era": func(h *history) { h.restore(time.Second, modelRewriteTime) },
	} {
		t.Run(name, func(t *testing.T) {
			first, second := writesWhileRefused(t, during, begin)
			fastest := int(during / 2 / (longestWritePause / 2))
			must.Positive(t, second)
			must.LessEq(t, fastest, second)
			must.LessEq(t, fastest+2, first)
		})
	}
}
