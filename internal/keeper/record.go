package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// put writes owners whose Revision is the one that they replace. It returns
// when the outcome is known: a write without an answer may take effect seconds
// later, and until it is known to have failed nothing may be granted that it
// contradicts. The same write is therefore made again until its condition
// decides; errDoubt says that this took too long.
func (k *Keeper) put(ctx context.Context, next *catalog.Owners) (*catalog.Owners, error) {
	value, err := follow.EncodeOwners(next)
	if err != nil {
		return nil, err
	}
	record := platform.Record{Name: follow.OwnersRecordName(next.Service), Value: value}
	revision, err := k.putOnce(ctx, record, platform.Revision(next.Revision))
	if errors.Is(err, platform.ErrAmbiguous) {
		revision, err = k.resolve(ctx, record, platform.Revision(next.Revision))
	}
	if err != nil {
		return nil, err
	}
	record.Revision = revision
	k.follow.ApplyWrite(platform.Shared, record)
	written := *next
	written.Revision = uint64(revision)
	return &written, nil
}

func (k *Keeper) putOnce(ctx context.Context, record platform.Record, expect platform.Revision) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return k.feed.Put(ctx, platform.Shared, record, expect)
}

// errDoubt says that it is not known whether a write took effect.
var errDoubt = errors.New("keeper: the outcome of a write is not known")

// resolve makes a write of unknown outcome again until its outcome is known.
func (k *Keeper) resolve(ctx context.Context, record platform.Record, expect platform.Revision) (platform.Revision, error) {
	k.log.Warn("write without an answer, made again", zap.String("record", record.Name), zap.Uint64("expected", uint64(expect)))
	end := time.Now().Add(doubtLimit)
	for time.Now().Before(end) && ctx.Err() == nil {
		revision, err := k.putOnce(ctx, record, expect)
		if err == nil {
			return revision, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return k.foundWritten(ctx, record)
		}
		time.Sleep(doubtPause)
	}
	return 0, errDoubt
}

// foundWritten tells a write that took effect from one that another replaced.
func (k *Keeper) foundWritten(ctx context.Context, record platform.Record) (platform.Revision, error) {
	k.follow.RefreshShared(ctx)
	held, ok := k.follow.SharedRecord(record.Name)
	if ok && string(held.Value) == string(record.Value) {
		return held.Revision, nil
	}
	return 0, platform.ErrConflict
}
