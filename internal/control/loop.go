// Package control runs the goroutine that owns a daemon's control state.
// Traffic never runs on it and never waits for it: it reads immutable snapshots.
package control

import (
	"context"
	"sync"
	"sync/atomic"
)

const queueLength = 1024 // functions waiting for the control goroutine

// Loop runs functions one after the other on one goroutine.
type Loop struct {
	work chan func()
	done chan struct{}
	once sync.Once
}

// NewLoop starts the goroutine.
func NewLoop() *Loop {
	l := &Loop{work: make(chan func(), queueLength), done: make(chan struct{})}
	go l.run()
	return l
}

func (l *Loop) run() {
	for {
		select {
		case f := <-l.work:
			f()
		case <-l.done:
			return
		}
	}
}

// Post queues f. It reports false after Close.
func (l *Loop) Post(f func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.work <- f:
		return true
	case <-l.done:
		return false
	}
}

// Call runs f on the control goroutine and waits for its end, the end of ctx
// or Close. Once Call has returned, f is not running: with an error it has not
// run and never will. It must not be called from the control goroutine.
func (l *Loop) Call(ctx context.Context, f func()) error {
	c := &called{f: f, ran: make(chan struct{})}
	if !l.Post(c.run) {
		return context.Canceled
	}
	var err error
	select {
	case <-c.ran:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-l.done:
		err = context.Canceled
	}
	if c.abandon() {
		return err
	}
	<-c.ran
	return nil
}

// called is a function that either runs or is abandoned.
type called struct {
	f     func()
	ran   chan struct{}
	taken atomic.Bool
}

func (c *called) run() {
	if c.taken.CompareAndSwap(false, true) {
		c.f()
		close(c.ran)
	}
}

// abandon reports that the function will not run.
func (c *called) abandon() bool { return c.taken.CompareAndSwap(false, true) }

// Close ends the goroutine. Queued functions are dropped.
func (l *Loop) Close() {
	l.once.Do(func() { close(l.done) })
}
