// Package control runs the goroutine that owns a daemon's control state.
// Traffic never runs on it and never waits for it: it reads immutable snapshots.
package control

import (
	"context"
	"sync"
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
// or Close. It must not be called from the control goroutine.
func (l *Loop) Call(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	if !l.Post(func() { f(); close(ran) }) {
		return context.Canceled
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return context.Canceled
	}
}

// Close ends the goroutine. Queued functions are dropped.
func (l *Loop) Close() {
	l.once.Do(func() { close(l.done) })
}
