package kernel

import (
	"context"
	"sync"
)

// Background runs the goroutines of a service from its Start to its Stop.
type Background struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func (b *Background) begin() {
	b.ctx, b.cancel = context.WithCancel(context.Background())
}

// Go runs f on a goroutine of its own, with a context that ends with Stop.
func (b *Background) Go(f func(context.Context)) {
	b.once.Do(b.begin)
	b.done.Add(1)
	go func() {
		defer b.done.Done()
		f(b.ctx)
	}()
}

// Stop ends the context and waits for the goroutines.
func (b *Background) Stop() {
	b.once.Do(b.begin)
	b.cancel()
	b.done.Wait()
}
