package kernel

import (
	"context"
	"sync"
)

// Background runs the background goroutines of a service and stops them together.
// The zero value is ready to use.
type Background struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func (b *Background) initContext() {
	b.ctx, b.cancel = context.WithCancel(context.Background())
}

// Go runs f in a new goroutine with a context that Stop cancels.
func (b *Background) Go(f func(context.Context)) {
	b.once.Do(b.initContext)
	b.done.Add(1)
	go func() {
		defer b.done.Done()
		f(b.ctx)
	}()
}

// Stop cancels the context of the goroutines and waits until they have returned.
func (b *Background) Stop() {
	b.once.Do(b.initContext)
	b.cancel()
	b.done.Wait()
}
