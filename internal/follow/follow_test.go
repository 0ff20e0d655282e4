package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// feed is a store that turns this daemon away on demand.
type feed struct {
	turnedAway atomic.Bool
	revision   atomic.Uint64
}

func (f *feed) page() (platform.Page, error) {
	if f.turnedAway.Load() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return platform.Page{Revision: platform.Revision(f.revision.Add(1))}, nil
}

// Read implements platform.Feed.
func (f *feed) Read(context.Context, platform.Collection) (platform.Page, error) { return f.page() }

// Changes implements platform.Feed.
func (f *feed) Changes(context.Context, platform.Collection, platform.Revision, time.Duration) (platform.Page, error) {
	time.Sleep(5 * time.Millisecond)
	return f.page()
}

// Put implements platform.Feed.
func (f *feed) Put(context.Context, platform.Collection, platform.Record, platform.Revision) (platform.Revision, error) {
	page, err := f.page()
	return page.Revision, err
}

func newFollow(t *testing.T, store *feed) *Follow {
	registry := metrics.New()
	network := &netx.Network{}
	loop := control.NewLoop()
	t.Cleanup(loop.Close)
	c := &config.Config{Name: "d1", Zone: "z1", Fenced: &config.Fenced{Cores: 1}}
	f := New(c, loop, store, nil, catalog.New(), rpc.NewServer(registry), rpc.NewClient(network, registry), registry, zap.NewNop())
	must.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	end := time.Now().Add(10 * time.Second)
	for !f.OnStore() && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	must.True(t, f.OnStore())
	return f
}

// A daemon that the store turns away says so at once to those that follow it,
// also to the ones that wait for changes: they look for another one.
func TestATurnedAwayFollowerIsLeftAtOnce(t *testing.T) {
	store := &feed{}
	f := newFollow(t, store)
	have := map[platform.Collection]platform.Revision{}
	for _, c := range collections {
		have[c] = 1 << 40 // ahead of all changes: only the loss of the store answers
	}
	answered := make(chan *pollAnswer, 1)
	go func() {
		answer, err := f.servePoll(context.Background(), &pollRequest{Have: have, WaitMS: time.Hour.Milliseconds()})
		must.NoError(t, err)
		answered <- answer
	}()
	time.Sleep(50 * time.Millisecond)
	store.turnedAway.Store(true)
	select {
	case answer := <-answered:
		must.False(t, answer.OnStore)
	case <-time.After(10 * time.Second):
		t.Fatal("still waits for changes that can't come")
	}
	store.turnedAway.Store(false)
	end := time.Now().Add(10 * time.Second)
	for !f.OnStore() && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	must.True(t, f.OnStore())
}
