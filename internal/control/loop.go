// Package control runs the control goroutine, the only one that changes a daemon's
// control state, and the listener for calls of other daemons. Requests of callers
// are not handled on the control goroutine and do not wait for it: they read
// immutable snapshots.
package control

import (
	"context"
	"sync"
	"sync/atomic"
)

const queueLength = 1024 // functions waiting for the control goroutine

// Loop runs functions one after the other on one goroutine, the control goroutine.
type Loop struct {
	queue chan func()
	done  chan struct{}
	once  sync.Once
}

// NewLoop returns a Loop and starts its goroutine, which runs until Close.
func NewLoop() *Loop {
	l := &Loop{queue: make(chan func(), queueLength), done: make(chan struct{})}
	go l.run()
	return l
}

func (l *Loop) run() {
	for {
		select {
		case f := <-l.queue:
			f()
		case <-l.done:
			return
		}
	}
}

// Post queues f. It blocks while the queue is full. It reports false if the loop is
// closed and f was not queued.
func (l *Loop) Post(f func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// Call runs f on the control goroutine and waits until f has returned, ctx has ended
// or the loop is closed. When Call returns, f is not running; when Call returns an
// error, f has not run and will not run. Call must not be called from the control
// goroutine, which would wait for itself.
func (l *Loop) Call(ctx context.Context, f func()) error {
	c := &pendingCall{f: f, done: make(chan struct{})}
	if !l.Post(c.run) {
		return context.Canceled
	}
	var err error
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-l.done:
		err = context.Canceled
	}
	if c.cancel() {
		return err
	}
	<-c.done
	return nil
}

// pendingCall is a queued function that either runs or is canceled.
type pendingCall struct {
	f       func()
	done    chan struct{}
	claimed atomic.Bool // set once by the one of run and cancel that comes first
}

func (c *pendingCall) run() {
	if c.claimed.CompareAndSwap(false, true) {
		c.f()
		close(c.done)
	}
}

// cancel prevents the function from running. It reports false if the function runs
// or has run.
func (c *pendingCall) cancel() bool { return c.claimed.CompareAndSwap(false, true) }

// Close ends the goroutine once the running function has returned. Functions that
// are still queued may not run.
func (l *Loop) Close() {
	l.once.Do(func() { close(l.done) })
}
