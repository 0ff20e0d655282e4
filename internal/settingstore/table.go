package settingstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Keys and bounds of the table.
const (
	rowKey        = "settings/tree"
	historyPrefix = "settings/history/"
	objectPrefix  = "settings/"
	historyLimit  = 256                   // versions kept, the current one included
	inlineLimit   = 64 * 1024             // bytes of a tree above which it becomes an object
	resolvePause  = 50 * time.Millisecond // time between two tries to resolve a write
)

// errRaced says that the row changed since it was read, and that the write had no effect.
var errRaced = errors.New("the row changed")

// table reads and writes versions.
type table struct {
	platform platform.Platform
}

// held is a version with the state of its row.
type held struct {
	Record
	row platform.RowVersion
	// value is the row's content as read.
	value []byte
}

func historyKey(v settings.Version) string { return fmt.Sprintf("%s%020d", historyPrefix, uint64(v)) }

// current returns the current version with its text.
func (t table) current(ctx context.Context) (held, error) {
	row, err := t.platform.Get(ctx, rowKey)
	if err != nil {
		return held{}, errors.Wrap(err, "read settings")
	}
	return t.load(ctx, row)
}

func (t table) load(ctx context.Context, row platform.Row) (held, error) {
	h := held{row: row.Version, value: row.Value}
	if err := json.Unmarshal(row.Value, &h.Record); err != nil {
		return held{}, errors.Wrapf(err, "decode %s", row.Key)
	}
	if h.Object == "" {
		return h, nil
	}
	text, err := t.platform.GetObject(ctx, h.Object)
	if err != nil {
		return held{}, errors.Wrapf(err, "read object %s", h.Object)
	}
	h.Tree = string(text)
	return h, nil
}

// version returns a version that is current or in the history.
func (t table) version(ctx context.Context, v settings.Version) (Record, error) {
	now, err := t.current(ctx)
	if err != nil || now.Version == v {
		return now.Record, err
	}
	row, err := t.platform.Get(ctx, historyKey(v))
	if errors.Is(err, platform.ErrNotFound) {
		return Record{}, errors.Wrapf(ErrNoVersion, "version %d", v)
	}
	if err != nil {
		return Record{}, errors.Wrapf(err, "read version %d", v)
	}
	old, err := t.load(ctx, row)
	return old.Record, err
}

// history returns the kept versions without their texts, newest first.
func (t table) history(ctx context.Context) ([]Record, error) {
	now, err := t.current(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := t.platform.List(ctx, historyPrefix, 2*historyLimit)
	if err != nil {
		return nil, errors.Wrap(err, "read the history")
	}
	list := []Record{now.Summary()}
	for i := len(rows) - 1; i >= 0; i-- {
		var old Record
		if err := json.Unmarshal(rows[i].Value, &old); err != nil {
			return nil, errors.Wrapf(err, "decode %s", rows[i].Key)
		}
		if old.Version < now.Version {
			list = append(list, old.Summary())
		}
	}
	return list, nil
}

// replace makes next the current version if old still is. It returns errRaced
// when another change came first, ErrNotAccepted when nothing was written, and
// ErrOutcomeUnknown when ctx ended before that was certain.
func (t table) replace(ctx context.Context, old held, next Record) error {
	if err := t.archive(ctx, old); err != nil {
		return err
	}
	value, err := t.encode(ctx, next)
	if err != nil {
		return err
	}
	write := platform.Write{Key: rowKey, Value: value, Expect: old.row, WriteID: next.WriteID}
	_, err = t.platform.CompareAndSet(ctx, write)
	if errors.Is(err, platform.ErrAmbiguous) {
		err = t.resolve(ctx, old, next)
	}
	switch {
	case err == nil:
		t.prune(ctx, next.Version)
		return nil
	case errors.Is(err, platform.ErrConflict):
		return errRaced
	case errors.Is(err, platform.ErrUnavailable):
		return errors.Wrapf(ErrNotAccepted, "write settings: %v", err)
	default:
		return err
	}
}

// archive copies a version into the history before it is replaced. A version
// never changes, so a copy that is already there is the same.
func (t table) archive(ctx context.Context, old held) error {
	if old.row == 0 {
		return nil
	}
	write := platform.Write{Key: historyKey(old.Version), Value: old.value, WriteID: platform.WriteID(uuid.NewString())}
	_, err := platform.WriteAndConfirm(ctx, t.platform, write)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return errors.Wrapf(ErrNotAccepted, "keep version %d: %v", old.Version, err)
}

// encode renders the row's content and stores a large text as an object first.
func (t table) encode(ctx context.Context, next Record) ([]byte, error) {
	if len(next.Tree) > inlineLimit {
		sum := sha256.Sum256([]byte(next.Tree))
		next.Object = objectPrefix + hex.EncodeToString(sum[:])
		if err := t.platform.PutObject(ctx, next.Object, []byte(next.Tree)); err != nil {
			return nil, errors.Wrapf(ErrNotAccepted, "write object %s: %v", next.Object, err)
		}
		next.Tree = ""
	}
	value, err := json.Marshal(next)
	return value, errors.Wrap(err, "encode settings")
}

// resolve finds out whether a write whose answer was lost took effect. While
// the row still holds the old version, the write may yet arrive: the row is
// then written anew with the same content, after which the write cannot succeed.
func (t table) resolve(ctx context.Context, old held, next Record) error {
	for {
		done, err := t.tryResolve(ctx, old, next)
		if done {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrOutcomeUnknown, "write %s", next.WriteID)
		case <-time.After(resolvePause):
		}
	}
}

func (t table) tryResolve(ctx context.Context, old held, next Record) (done bool, err error) {
	row, err := t.platform.Get(ctx, rowKey)
	if errors.Is(err, platform.ErrNotFound) && old.row == 0 {
		return true, errors.Wrap(ErrNotAccepted, "the answer to the first write was lost")
	}
	if err != nil {
		return false, nil
	}
	var now Record
	if err := json.Unmarshal(row.Value, &now); err != nil {
		return true, errors.Wrap(err, "decode settings")
	}
	switch {
	case now.WriteID == next.WriteID:
		return true, nil
	case now.Version == next.Version:
		return true, platform.ErrConflict
	case now.Version > next.Version:
		return t.resolveByHistory(ctx, next)
	}
	fence := platform.Write{Key: rowKey, Value: row.Value, Expect: row.Version, WriteID: platform.WriteID(uuid.NewString())}
	if _, err := t.platform.CompareAndSet(ctx, fence); err != nil {
		return false, nil
	}
	return true, platform.ErrConflict
}

// resolveByHistory decides when further versions have followed.
func (t table) resolveByHistory(ctx context.Context, next Record) (done bool, err error) {
	row, err := t.platform.Get(ctx, historyKey(next.Version))
	if err != nil {
		return false, nil
	}
	var old Record
	if err := json.Unmarshal(row.Value, &old); err != nil {
		return true, errors.Wrapf(err, "decode %s", row.Key)
	}
	if old.WriteID == next.WriteID {
		return true, nil
	}
	return true, platform.ErrConflict
}

// prune drops the oldest version of a full history. Failures leave it in place.
func (t table) prune(ctx context.Context, now settings.Version) {
	if now <= historyLimit {
		return
	}
	oldest, err := t.platform.Get(ctx, historyKey(now-historyLimit))
	if err != nil {
		return
	}
	_ = t.platform.Delete(ctx, oldest.Key, oldest.Version)
}
