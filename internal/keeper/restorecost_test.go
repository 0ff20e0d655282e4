package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// maxRestoreCost is the time for which keys may be without owner longer when the store comes
// back from an older copy than after the same seconds of a silent store.
const maxRestoreCost = 2 * time.Second

// unownedTime returns for how long some key has no owner after the store was away, and came back
// from an older copy or with all that it had. lose is called when it comes back, or the given
// time before.
func unownedTime(t *testing.T, restored bool, before time.Duration, lose func(h *history)) (unowned time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		const outage, step = 3 * time.Second, 20 * time.Millisecond
		h := startHistory()
		h.startDaemon(2)
		time.Sleep(2 * time.Second)
		back := time.Now().Add(outage)
		h.mu.Lock()
		h.storeDownUntil = back
		h.mu.Unlock()
		go func() {
			time.Sleep(time.Until(back.Add(-before)))
			lose(h)
		}()
		go func() {
			time.Sleep(time.Until(back))
			if restored {
				h.restore(outage+5*time.Second, modelRewriteTime)
			}
		}()
		for end := back.Add(modelRecoveryTime); time.Now().Before(end); time.Sleep(step) {
			if _, missing := h.unownedKey(); missing {
				unowned += step
			}
		}
		h.finish(t)
	})
	return unowned
}

// What a restored store costs keys beyond the same seconds of a silent one.
func TestRestoreCostsKeysLittle(t *testing.T) {
	killKeeper := func(h *history) { h.killDaemon(h.keeperIndex()) }
	for name, c := range map[string]struct {
		before time.Duration
		lose   func(h *history)
	}{
		"keeper survives":           {lose: func(*history) {}},
		"keeper lost at the return": {lose: killKeeper},
		"keeper lost 1 s before":    {before: time.Second, lose: killKeeper},
		"keeper lost 2.5 s before":  {before: 2500 * time.Millisecond, lose: killKeeper},
		"registrations lapse":       {before: time.Second, lose: func(h *history) { h.apply(event{kind: "all registrations lapse", duration: 4 * time.Second}) }},
		"keeper and a server lost":  {lose: func(h *history) { killKeeper(h); h.apply(event{kind: "crash", index: 1, duration: time.Second}) }},
		"a server lost":             {lose: func(h *history) { h.apply(event{kind: "crash", index: 1, duration: time.Second}) }},
		"a server lost 1 s before":  {before: time.Second, lose: func(h *history) { h.apply(event{kind: "crash", index: 1, duration: time.Second}) }},
		"lapse and keeper lost": {lose: func(h *history) {
			h.apply(event{kind: "all registrations lapse", duration: 2 * time.Second})
			killKeeper(h)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			silent := unownedTime(t, false, c.before, c.lose)
			restored := unownedTime(t, true, c.before, c.lose)
			t.Logf("%s: without owner for %s, after a silent store %s", name, restored, silent)
			must.LessEq(t, silent+maxRestoreCost, restored)
		})
	}
}
