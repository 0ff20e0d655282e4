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

// Keys, sizes and delays.
const (
	rowKey            = "settings/tree"
	historyPrefix     = "settings/history/"
	objectPrefix      = "settings/"
	maxVersions       = 256                   // versions retained, including the current one
	maxInlineBytes    = 64 * 1024             // larger trees are stored as objects
	resolveRetryDelay = 50 * time.Millisecond // delay between attempts to resolve a write
)

// errRowChanged says that the row changed since it was read and that the write had no effect.
var errRowChanged = errors.New("the settings row changed since it was read")

// table reads and writes versions in the platform's table and object store.
type table struct {
	platform platform.Platform
	eras     *newestEra
}

func newTable(p platform.Platform) table { return table{platform: p, eras: &newestEra{}} }

// storedRecord is a version as read from its row.
type storedRecord struct {
	Record
	// era is the store's era at the read. rowVersion is the version of that era's row,
	// zero if it does not exist; the record is then that of an earlier era's row.
	era        platform.Era
	rowVersion platform.RowVersion
	// rowValue is the encoded content of the row, nil if there is no version.
	rowValue []byte
}

// key returns the key of the row that a change of the version replaces.
func (s *storedRecord) key() string { return platform.EraKey(rowKey, s.era) }

func historyKey(v settings.Version) string { return fmt.Sprintf("%s%020d", historyPrefix, uint64(v)) }

// current returns the current version with its text.
func (t table) current(ctx context.Context) (storedRecord, error) {
	row, err := t.platform.Get(ctx, platform.EraKey(rowKey, t.eras.get()))
	if (err == nil || errors.Is(err, platform.ErrNotFound)) && row.Era > t.eras.get() {
		t.eras.set(row.Era)
		row, err = t.platform.Get(ctx, platform.EraKey(rowKey, row.Era))
	}
	era, version := row.Era, row.Version
	for earlier := era; errors.Is(err, platform.ErrNotFound) && earlier > platform.FirstEra; {
		earlier--
		row, err = t.platform.Get(ctx, platform.EraKey(rowKey, earlier))
	}
	if err != nil {
		return storedRecord{}, errors.Wrap(err, "read settings")
	}
	if row.Era != era {
		return storedRecord{}, errors.Wrapf(platform.ErrUnavailable, "read settings: era %d, then %d", era, row.Era)
	}
	stored, err := t.load(ctx, row)
	stored.era, stored.rowVersion = era, version
	return stored, err
}

// load decodes a row and, if its tree is an object, reads the object.
func (t table) load(ctx context.Context, row platform.Row) (storedRecord, error) {
	stored := storedRecord{era: row.Era, rowVersion: row.Version, rowValue: row.Value}
	if err := json.Unmarshal(row.Value, &stored.Record); err != nil {
		return storedRecord{}, errors.Wrapf(err, "decode %s", row.Key)
	}
	if stored.Object == "" {
		return stored, nil
	}
	text, err := t.platform.GetObject(ctx, stored.Object)
	if err != nil {
		return storedRecord{}, errors.Wrapf(err, "read object %s", stored.Object)
	}
	stored.Tree = string(text)
	return stored, nil
}

// version returns the current version or one from the history. The error is
// ErrNoVersion if neither holds v.
func (t table) version(ctx context.Context, v settings.Version) (Record, error) {
	current, err := t.current(ctx)
	if err != nil || current.Version == v {
		return current.Record, err
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

// history returns the retained versions without their texts, newest first.
func (t table) history(ctx context.Context) ([]Record, error) {
	current, err := t.current(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := t.platform.List(ctx, historyPrefix, 2*maxVersions)
	if err != nil {
		return nil, errors.Wrap(err, "read the history")
	}
	list := []Record{current.Summary()}
	for i := len(rows) - 1; i >= 0; i-- {
		var old Record
		if err := json.Unmarshal(rows[i].Value, &old); err != nil {
			return nil, errors.Wrapf(err, "decode %s", rows[i].Key)
		}
		if old.Version < current.Version {
			list = append(list, old.Summary())
		}
	}
	return list, nil
}

// replace makes next the current version if old still is. It returns errRowChanged
// if another change was written first, ErrNotAccepted if nothing was written, and
// ErrOutcomeUnknown if ctx ended before the outcome of the write was certain.
func (t table) replace(ctx context.Context, old storedRecord, next Record) error {
	if err := t.archive(ctx, old); err != nil {
		return err
	}
	value, err := t.encode(ctx, next)
	if err != nil {
		return err
	}
	write := platform.Write{Key: old.key(), Value: value, Expect: old.rowVersion, WriteID: next.WriteID, Era: old.era}
	_, err = t.platform.CompareAndSet(ctx, write)
	if errors.Is(err, platform.ErrAmbiguous) {
		err = t.resolve(ctx, old, next)
	}
	switch {
	case err == nil:
		t.prune(ctx, next.Version)
		return nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrOtherEra):
		return errRowChanged
	case errors.Is(err, platform.ErrUnavailable):
		return errors.Wrapf(ErrNotAccepted, "write settings: %v", err)
	default:
		return err
	}
}

// archive copies a version into the history before it is replaced. Versions are
// immutable, so an existing copy is the same and counts as success.
func (t table) archive(ctx context.Context, old storedRecord) error {
	if old.rowValue == nil {
		return nil
	}
	write := platform.Write{Key: historyKey(old.Version), Value: old.rowValue, WriteID: platform.WriteID(uuid.NewString())}
	_, err := platform.WriteAndConfirm(ctx, t.platform, write)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return errors.Wrapf(ErrNotAccepted, "keep version %d: %v", old.Version, err)
}

// encode returns the content of the row. It first stores a text larger than
// maxInlineBytes as an object, named by the SHA-256 of the text.
func (t table) encode(ctx context.Context, next Record) ([]byte, error) {
	if len(next.Tree) > maxInlineBytes {
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

// resolve determines whether a write took effect whose response was lost. It
// retries until ctx ends. While the row still holds the old version, the write may
// still be delivered; the row is therefore rewritten with the same content, which
// changes the row version, so that the delayed write fails.
func (t table) resolve(ctx context.Context, old storedRecord, next Record) error {
	for {
		done, err := t.tryResolve(ctx, old, next)
		if done {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrOutcomeUnknown, "write %s", next.WriteID)
		case <-time.After(resolveRetryDelay):
		}
	}
}

// tryResolve makes one attempt to resolve a write. A nil error with done set means
// that the write took effect.
func (t table) tryResolve(ctx context.Context, old storedRecord, next Record) (done bool, err error) {
	row, err := t.platform.Get(ctx, old.key())
	if old.era != 0 && row.Era > old.era {
		return true, errors.Wrapf(platform.ErrOtherEra, "write settings: era %d", row.Era)
	}
	if errors.Is(err, platform.ErrNotFound) && old.rowValue == nil {
		return true, errors.Wrap(ErrNotAccepted, "the response to the write of the first version was lost and the row does not exist")
	}
	if errors.Is(err, platform.ErrNotFound) {
		return t.refuseDelayed(ctx, old.key(), old.rowValue, 0)
	}
	if err != nil {
		return false, nil
	}
	var current Record
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return true, errors.Wrap(err, "decode settings")
	}
	switch {
	case current.WriteID == next.WriteID:
		return true, nil
	case current.Version == next.Version:
		return true, platform.ErrConflict
	case current.Version > next.Version:
		return t.resolveByHistory(ctx, next)
	}
	return t.refuseDelayed(ctx, old.key(), row.Value, row.Version)
}

// refuseDelayed writes the row again with the same content, so that a delayed write of
// the same version of the row fails.
func (t table) refuseDelayed(ctx context.Context, key string, value []byte, expect platform.RowVersion) (done bool, err error) {
	rewrite := platform.Write{Key: key, Value: value, Expect: expect, WriteID: platform.WriteID(uuid.NewString())}
	if _, err := t.platform.CompareAndSet(ctx, rewrite); err != nil {
		return false, nil
	}
	return true, platform.ErrConflict
}

// resolveByHistory resolves a write from the history, when the row already holds
// a later version.
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

// prune deletes the version that the limit of maxVersions no longer covers. Errors
// are ignored, and the version then stays in the history.
func (t table) prune(ctx context.Context, current settings.Version) {
	if current <= maxVersions {
		return
	}
	oldest, err := t.platform.Get(ctx, historyKey(current-maxVersions))
	if err != nil {
		return
	}
	_ = t.platform.Delete(ctx, oldest.Key, oldest.Version)
}
