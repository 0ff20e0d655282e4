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
	// held is the record of a daemon's last life, and another daemon's.
	held []platform.Record
}

func (f *feed) page() (platform.Page, error) {
	if f.turnedAway.Load() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return platform.Page{Revision: platform.Revision(f.revision.Add(1))}, nil
}

// Read implements platform.Feed.
func (f *feed) Read(_ context.Context, c platform.Collection) (platform.Page, error) {
	page, err := f.page()
	if c == platform.Shared {
		page.Records = f.held
	}
	return page, err
}

// Changes implements platform.Feed.
func (f *feed) Changes(context.Context, platform.Collection, platform.Revision, time.Duration) (platform.Page, error) {
	time.Sleep(5 * time.Millisecond)
	return f.page()
}

// Put implements platform.Feed.
func (f *feed) Put(_ context.Context, _ platform.Collection, r platform.Record, expect platform.Revision) (platform.Revision, error) {
	for _, held := range f.held {
		if held.Name == r.Name && held.Revision != expect {
			return 0, platform.ErrConflict
		}
	}
	page, err := f.page()
	return page.Revision, err
}

func newFollow(t *testing.T, store *feed) *Follower {
	registry := metrics.New()
	network := &netx.Network{}
	loop := control.NewLoop()
	t.Cleanup(loop.Close)
	c := &config.Config{Name: "d1", Zone: "z1", Fenced: &config.Fenced{Cores: 1}}
	f := New(c, loop, store, nil, catalog.New(), rpc.NewServer(registry), rpc.NewClient(network, registry), registry, zap.NewNop())
	must.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	end := time.Now().Add(10 * time.Second)
	for !f.StoreReachable() && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	must.True(t, f.StoreReachable())
	return f
}

// A daemon that starts again over the record of its last life pauses for nothing.
func TestAStartPausesForNothing(t *testing.T) {
	store := &feed{}
	store.revision.Store(100)
	store.held = []platform.Record{
		{Name: platform.DaemonPrefix + "d1", Value: []byte(`{"name":"d1","zone":"z1"}`), Revision: 7},
		{Name: platform.DaemonPrefix + "d2", Value: []byte(`{"name":"d2","zone":"z1"}`), Revision: 8},
	}
	began := time.Now()
	f := newFollow(t, store)
	for _, c := range collections {
		for f.replicas[c].known() == 0 {
			must.Less(t, failurePause, time.Since(began), must.Sprintf("%s is not known", c))
			time.Sleep(time.Millisecond)
		}
	}
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
	for !f.StoreReachable() && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	must.True(t, f.StoreReachable())
}
