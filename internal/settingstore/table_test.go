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

func newTable(t *testing.T) (table, *platformd.Server) {
	t.Helper()
	p, err := platformd.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(p.Stop)
	tb := table{adapter.NewStore(p.Address(), nil)}
	must.NoError(t, Seed(t.Context(), tb.platform, []byte("one")))
	return tb, p
}

func next(old held, id platform.WriteID, text string) Record {
	return Record{Version: old.Version + 1, Base: old.Version, WriteID: id, Tree: text}
}

func current(t *testing.T, tb table) held {
	t.Helper()
	now, err := tb.current(t.Context())
	must.NoError(t, err)
	return now
}

func TestReplaceKeepsHistory(t *testing.T) {
	tb, _ := newTable(t)
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

func TestReplaceTellsTheLoserOfARace(t *testing.T) {
	tb, _ := newTable(t)
	old := current(t, tb)
	must.NoError(t, tb.replace(t.Context(), old, next(old, "first", "first")))
	must.ErrorIs(t, tb.replace(t.Context(), old, next(old, "second", "second")), errRaced)
	must.Eq(t, "first", current(t, tb).Tree)
}

func TestLargeTreeBecomesAnObject(t *testing.T) {
	tb, _ := newTable(t)
	text := strings.Repeat("x", inlineLimit+1)
	must.NoError(t, tb.replace(t.Context(), current(t, tb), next(current(t, tb), "big", text)))
	now := current(t, tb)
	must.Eq(t, text, now.Tree)
	must.StrHasPrefix(t, objectPrefix, now.Object)
	must.Less(t, inlineLimit, len(now.value))
}

func TestHistoryIsBounded(t *testing.T) {
	tb, _ := newTable(t)
	for range historyLimit + 10 {
		old := current(t, tb)
		must.NoError(t, tb.replace(t.Context(), old, next(old, platform.WriteID(old.Version.String()), "x")))
	}
	list, err := tb.history(t.Context())
	must.NoError(t, err)
	must.SliceLen(t, historyLimit, list)
}

func TestLostAnswerIsResolved(t *testing.T) {
	tb, p := newTable(t)
	p.SetFaults(platformd.Faults{DropWriteResponses: 1, DropWriteResponsesPrefix: rowKey})
	must.NoError(t, tb.replace(t.Context(), current(t, tb), next(current(t, tb), "lost", "two")))
	must.Eq(t, "two", current(t, tb).Tree)
}

// lateWrites holds back the first write of the current version.
type lateWrites struct {
	platform.Platform
	held *platform.Write
}

// CompareAndSet implements platform.Table.
func (l *lateWrites) CompareAndSet(ctx context.Context, w platform.Write) (platform.RowVersion, error) {
	if l.held == nil && w.Key == rowKey {
		l.held = &w
		return 0, platform.ErrAmbiguous
	}
	return l.Platform.CompareAndSet(ctx, w)
}

// A write that is still on its way when its outcome is decided must not take
// effect afterwards.
func TestLateWriteCannotSucceedAfterItWasResolved(t *testing.T) {
	tb, _ := newTable(t)
	late := &lateWrites{Platform: tb.platform}
	err := table{late}.replace(t.Context(), current(t, tb), next(current(t, tb), "late", "two"))
	must.ErrorIs(t, err, errRaced)
	_, err = tb.platform.CompareAndSet(t.Context(), *late.held)
	must.ErrorIs(t, err, platform.ErrConflict)
	must.Eq(t, "one", current(t, tb).Tree)
	must.Eq(t, 1, current(t, tb).Version)
}

func TestUnresolvedWriteIsUnknown(t *testing.T) {
	tb, p := newTable(t)
	old := current(t, tb)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := table{&downAfterWrite{Platform: tb.platform, standin: p}}.replace(ctx, old, next(old, "w", "two"))
	must.ErrorIs(t, err, ErrOutcomeUnknown)
}

// downAfterWrite loses the answer to the write and then the platform.
type downAfterWrite struct {
	platform.Platform
	standin *platformd.Server
}

// CompareAndSet implements platform.Table.
func (d *downAfterWrite) CompareAndSet(ctx context.Context, w platform.Write) (platform.RowVersion, error) {
	version, err := d.Platform.CompareAndSet(ctx, w)
	if w.Key != rowKey {
		return version, err
	}
	d.standin.SetFaults(platformd.Faults{Down: true})
	return 0, platform.ErrAmbiguous
}

func TestOutageIsNotAccepted(t *testing.T) {
	tb, p := newTable(t)
	old := current(t, tb)
	p.SetFaults(platformd.Faults{Down: true})
	must.ErrorIs(t, tb.replace(t.Context(), old, next(old, "w", "two")), ErrNotAccepted)
}
