package settingstore

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	adapter "github.com/chicorylug/chicorylug/platform"
)

func startTable(t *testing.T) (table, *platformd.Server) {
	t.Helper()
	p, err := platformd.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(p.Stop)
	tb := newTable(adapter.NewStore(p.Address(), nil))
	must.NoError(t, Seed(t.Context(), tb.platform, []byte("one")))
	return tb, p
}

func next(old storedRecord, id platform.WriteID, text string) Record {
	return Record{Version: old.Version + 1, Base: old.Version, WriteID: id, Tree: text}
}

func current(t *testing.T, tb table) storedRecord {
	t.Helper()
	stored, err := tb.current(t.Context())
	must.NoError(t, err)
	return stored
}

func TestReplaceKeepsHistory(t *testing.T) {
	tb, _ := startTable(t)
	must.NoError(t, tb.replace(t.Context(), current(t, tb), next(current(t, tb), "w2", "two")))
	must.NoError(t, tb.replace(t.Context(), current(t, tb), next(current(t, tb), "w3", "three")))
	list, err := tb.history(t.Context())
	must.NoError(t, err)
	must.SliceLen(t, 3, list)
	must.Eq(t, "w2", string(list[1].WriteID))
	old, err := tb.version(t.Context(), 2)
	must.NoError(t, err)
	must.Eq(t, "two", old.Tree)
}

func TestReplaceReportsAChangedRow(t *testing.T) {
	tb, _ := startTable(t)
	old := current(t, tb)
	must.NoError(t, tb.replace(t.Context(), old, next(old, "first", "first")))
	must.ErrorIs(t, tb.replace(t.Context(), old, next(old, "second", "second")), errRowChanged)
	must.Eq(t, "first", current(t, tb).Tree)
}

func TestLargeTreeBecomesAnObject(t *testing.T) {
	tb, _ := startTable(t)
	text := strings.Repeat("x", maxInlineBytes+1)
	must.NoError(t, tb.replace(t.Context(), current(t, tb), next(current(t, tb), "big", text)))
	stored := current(t, tb)
	must.Eq(t, text, stored.Tree)
	must.StrHasPrefix(t, objectPrefix, stored.Object)
	must.Less(t, maxInlineBytes, len(stored.rowValue))
}

func TestHistoryIsBounded(t *testing.T) {
	tb, _ := startTable(t)
	for range maxVersions + 10 {
		old := current(t, tb)
		must.NoError(t, tb.replace(t.Context(), old, next(old, platform.WriteID(old.Version.String()), "x")))
	}
	list, err := tb.history(t.Context())
	must.NoError(t, err)
	must.SliceLen(t, maxVersions, list)
}

func TestWriteWithLostResponseIsResolved(t *testing.T) {
	tb, p := startTable(t)
	p.SetFaults(platformd.Faults{DropWriteResponses: 1, DropWriteResponsesPrefix: rowKey})
	must.NoError(t, tb.replace(t.Context(), current(t, tb), next(current(t, tb), "lost", "two")))
	must.Eq(t, "two", current(t, tb).Tree)
}

// delayedWrite withholds the first write of the current version and reports its
// outcome as ambiguous.
type delayedWrite struct {
	platform.Platform
	pending *platform.Write
}

// CompareAndSet implements platform.Table.
func (l *delayedWrite) CompareAndSet(ctx context.Context, w platform.Write) (platform.RowVersion, error) {
	if l.pending == nil && w.Key == rowKey {
		l.pending = &w
		return 0, platform.ErrAmbiguous
	}
	return l.Platform.CompareAndSet(ctx, w)
}

// Guards against a write that is delayed in the network, is resolved as not
// successful, and then takes effect when it is delivered.
func TestDelayedWriteFailsAfterItWasResolved(t *testing.T) {
	tb, _ := startTable(t)
	delayed := &delayedWrite{Platform: tb.platform}
	err := newTable(delayed).replace(t.Context(), current(t, tb), next(current(t, tb), "late", "two"))
	must.ErrorIs(t, err, errRowChanged)
	_, err = tb.platform.CompareAndSet(t.Context(), *delayed.pending)
	must.ErrorIs(t, err, platform.ErrConflict)
	must.Eq(t, "one", current(t, tb).Tree)
	must.Eq(t, 1, current(t, tb).Version)
}

func TestOutcomeOfUnresolvedWriteIsUnknown(t *testing.T) {
	tb, p := startTable(t)
	old := current(t, tb)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := newTable(&outageAfterWrite{Platform: tb.platform, standin: p}).replace(ctx, old, next(old, "w", "two"))
	must.ErrorIs(t, err, ErrOutcomeUnknown)
}

// outageAfterWrite delivers the write of the current version, loses its response
// and then makes the platform unavailable.
type outageAfterWrite struct {
	platform.Platform
	standin *platformd.Server
}

// CompareAndSet implements platform.Table.
func (d *outageAfterWrite) CompareAndSet(ctx context.Context, w platform.Write) (platform.RowVersion, error) {
	version, err := d.Platform.CompareAndSet(ctx, w)
	if w.Key != rowKey {
		return version, err
	}
	d.standin.SetFaults(platformd.Faults{Down: true})
	return 0, platform.ErrAmbiguous
}

func TestReplaceIsNotAcceptedDuringAnOutage(t *testing.T) {
	tb, p := startTable(t)
	old := current(t, tb)
	p.SetFaults(platformd.Faults{Down: true})
	must.ErrorIs(t, tb.replace(t.Context(), old, next(old, "w", "two")), ErrNotAccepted)
}
