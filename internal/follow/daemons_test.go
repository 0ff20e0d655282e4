package follow

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// daemonAt returns the record of daemon d2 at a position, as written for an era by the process
// that listens at an address.
func daemonAt(position platform.Position, writtenFor platform.Era, address string) wireRecord {
	value, err := daemonRecord{Daemon: Daemon{Name: "d2", Incarnation: model.Incarnation(address), Control: address}, Era: writtenFor}.encode()
	if err != nil {
		panic(err) // cannot happen: numbers and strings always encode
	}
	return wireRecord{Name: platform.DaemonPrefix + "d2", Value: value, Position: position}
}

// A daemon that restarted at another address while the store came back from an older copy was
// asked at its earlier address from then on, and taken for ended: its new record was taken for
// the copy's.
func TestDaemonThatRestartsInANewEraIsKnownAtItsAddress(t *testing.T) {
	registered := update{Position: era(2, 5), Records: []wireRecord{daemonAt(era(2, 5), 2, "new")}}
	for name, updates := range map[string][]update{
		"before others hear of the era": {
			{Full: true, Position: era(2, 4), Records: []wireRecord{daemonAt(era(2, 4), 2, "new")}},
		},
		"after its record was lost": {{Full: true, Position: era(2, 4)}, registered},
		"after a copy of its older record": {
			{Full: true, Position: era(2, 4), Records: []wireRecord{daemonAt(era(2, 3), 1, "oldest")}}, registered,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegistry(t)
				r.follower.applyUpdate(platform.Shared, update{Full: true, Position: era(1, 9), Records: []wireRecord{daemonAt(era(1, 9), 1, "old")}})
				for _, u := range updates {
					r.follower.applyUpdate(platform.Shared, u)
				}
				synctest.Wait()
				d, known := r.follower.DaemonByName("d2")
				must.True(t, known)
				must.Eq(t, "new", d.Control)
			})
		})
	}
}

// The copy's record of a daemon must not replace the one that others know.
func TestOlderCopyOfADaemonsRecordIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		for _, u := range []update{
			{Full: true, Position: era(2, 9), Records: []wireRecord{daemonAt(era(2, 9), 2, "new")}},
			{Full: true, Position: era(3, 8), Records: []wireRecord{daemonAt(era(3, 8), 2, "old")}},
			{Full: true, Position: era(4, 7), Records: []wireRecord{daemonAt(era(4, 7), 1, "oldest")}},
		} {
			r.follower.applyUpdate(platform.Shared, u)
		}
		synctest.Wait()
		d, _ := r.follower.DaemonByName("d2")
		must.Eq(t, "new", d.Control)
	})
}

// keptRecordStore is a store in era 2 that keeps what is written, and had a record of daemon d1
// at the revision at which this daemon knows it.
type keptRecordStore struct {
	eraStore
	record platform.Record
}

// Put implements platform.RecordStore.
func (s *keptRecordStore) Put(ctx context.Context, c platform.Collection, r platform.Record, expect platform.Revision) (platform.Position, error) {
	position, err := s.eraStore.Put(ctx, c, r, expect)
	if err == nil {
		s.record = r
	}
	return position, err
}

// A daemon that had the other daemons' copies of the era before registered in the next era with
// a record of the earlier one, which others take for that of the older copy.
func TestDaemonRegistersForTheEraOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		store := &keptRecordStore{}
		store.revision.Store(7)
		store.held.Store(7)
		r.follower.store = store
		earlier := wireRecord{Name: platform.DaemonPrefix + "d1", Value: []byte(`{"name":"d1"}`), Position: era(1, 7)}
		r.follower.applyUpdate(platform.Shared, update{Full: true, Position: era(1, 9), Records: []wireRecord{earlier}})
		r.follower.register(t.Context())
		var written daemonRecord
		must.NoError(t, json.Unmarshal(store.record.Value, &written))
		must.EqOp(t, 2, written.writtenFor())
		must.EqOp(t, 2, store.puts.Load())
	})
}

// What the store had lost of a daemon was logged without the position that was lost or the one at
// which it was written again.
func TestLostDaemonRecordIsLoggedWithBothPositions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		core, logs := observer.New(zap.InfoLevel)
		r.follower.log = zap.New(core)
		store := &eraStore{}
		store.revision.Store(40)
		r.follower.store = store
		own := wireRecord{Name: platform.DaemonPrefix + "d1", Value: []byte(`{"name":"d1"}`), Position: era(1, 87)}
		r.follower.applyUpdate(platform.Shared, update{Full: true, Position: era(1, 90), Records: []wireRecord{own}})
		r.follower.applyUpdate(platform.Shared, update{Full: true, Position: era(2, 40)})
		time.Sleep(2 * registerAgainJitter)
		again := logs.FilterMessage("registering this daemon again").All()
		must.Len(t, 1, again)
		must.Eq(t, map[string]any{"era": uint64(2), "earlier_era": uint64(1), "earlier_revision": uint64(87)}, again[0].ContextMap())
		registered := logs.FilterMessage("this daemon is registered").All()
		must.Len(t, 1, registered)
		must.Eq(t, map[string]any{"era": uint64(2), "revision": uint64(41)}, registered[0].ContextMap())
	})
}
