package backends

import (
	"sync"
	"time"
)

const (
	askAgainDivisor = 4                     // after 1/askAgainDivisor of its time limit, an attempt asks again
	minAskAgain     = 10 * time.Millisecond // and not sooner
)

// giveUpTimer asks whether an attempt may be given up, until it may or has ended.
type giveUpTimer struct {
	mayGiveUp func() bool
	giveUp    func()
	again     time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// askToGiveUp asks after the time limit of an attempt, and then again and again. stop must be
// called when the attempt ends.
func askToGiveUp(limit time.Duration, mayGiveUp func() bool, giveUp func()) *giveUpTimer {
	t := &giveUpTimer{mayGiveUp: mayGiveUp, giveUp: giveUp, again: max(limit/askAgainDivisor, minAskAgain)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(limit, t.ask)
	return t
}

func (t *giveUpTimer) ask() {
	if t.mayGiveUp() {
		t.giveUp()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.again)
	}
}

// stop ends the questions. One that is being asked is the last one.
func (t *giveUpTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
