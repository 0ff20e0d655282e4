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

// firstEra returns a position in the first era.
func firstEra(revision platform.Revision) platform.Position {
	return platform.Position{Era: platform.FirstEra, Revision: revision}
}

// fakeStore is a store whose collections are empty, except for records. While unavailable
// is set, its calls fail with ErrUnavailable.
type fakeStore struct {
	unavailable atomic.Bool
	revision    atomic.Uint64 // rises with each successful call
	// records are the records of platform.Shared; the daemon can't change them.
	records []platform.Record
}

// page returns an empty page with the next revision.
func (f *fakeStore) page() (platform.Page, error) {
	if f.unavailable.Load() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return platform.Page{Position: firstEra(platform.Revision(f.revision.Add(1)))}, nil
}

// Read implements platform.RecordStore.
func (f *fakeStore) Read(_ context.Context, c platform.Collection) (platform.Page, error) {
	page, err := f.page()
	if c == platform.Shared {
		page.Records = f.records
	}
	return page, err
}

// Changes implements platform.RecordStore. It returns an empty page.
func (f *fakeStore) Changes(context.Context, platform.Collection, platform.Position, time.Duration) (platform.Page, error) {
	time.Sleep(5 * time.Millisecond) // instead of the wait, so that the follower does not poll without a pause
	return f.page()
}

// Put implements platform.RecordStore. It stores nothing: it only fails with ErrConflict
// if the record exists with another revision than expect.
func (f *fakeStore) Put(_ context.Context, _ platform.Collection, r platform.Record, expect platform.Revision) (platform.Position, error) {
	for _, record := range f.records {
		if record.Name == r.Name && record.Revision != expect {
			return firstEra(0), platform.ErrConflict
		}
	}
	page, err := f.page()
	return page.Position, err
}

// newFollow starts the follower of daemon d1, and stops it when the test ends. It returns
// once the store is reachable.
func newFollow(t *testing.T, store *fakeStore) *Follower {
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

// A daemon that restarts finds the record of its previous incarnation in the store. It must
// replace it and load all collections without waiting for storeRetryDelay, as it does after
// a failed call.
func TestRestartLoadsAllCollectionsWithoutDelay(t *testing.T) {
	store := &fakeStore{}
	store.revision.Store(100)
	store.records = []platform.Record{
		{Name: platform.DaemonPrefix + "d1", Value: []byte(`{"name":"d1","zone":"z1"}`), Position: firstEra(7)},
		{Name: platform.DaemonPrefix + "d2", Value: []byte(`{"name":"d2","zone":"z1"}`), Position: firstEra(8)},
	}
	began := time.Now()
	f := newFollow(t, store)
	for _, c := range collections {
		for f.replicas[c].completeUpTo().IsZero() {
			must.Less(t, storeRetryDelay, time.Since(began), must.Sprintf("%s is not loaded", c))
			time.Sleep(time.Millisecond)
		}
	}
}

// When the store becomes unavailable to a daemon, it must answer the polls that are pending
// at it at once, so that the daemons that poll it choose another one. A poll that waited for
// changes until its end would delay them.
func TestPollAnswersAtOnceWhenStoreBecomesUnavailable(t *testing.T) {
	store := &fakeStore{}
	f := newFollow(t, store)
	have := map[platform.Collection]platform.Revision{}
	for _, c := range collections {
		have[c] = 1 << 40 // above all revisions: the poll is answered only when the store becomes unavailable
	}
	answered := make(chan *pollResponse, 1)
	go func() {
		answer, err := f.servePoll(context.Background(), &pollRequest{Have: have, WaitMS: time.Hour.Milliseconds()})
		must.NoError(t, err)
		answered <- answer
	}()
	time.Sleep(50 * time.Millisecond) // until servePoll waits for changes
	store.unavailable.Store(true)
	select {
	case answer := <-answered:
		must.False(t, answer.StoreReachable)
	case <-time.After(10 * time.Second):
		t.Fatal("poll not answered within 10 s after the store became unavailable")
	}
	store.unavailable.Store(false)
	end := time.Now().Add(10 * time.Second)
	for !f.StoreReachable() && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	must.True(t, f.StoreReachable())
}
