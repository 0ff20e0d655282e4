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

// put writes an owners record. next.Revision is the revision that it replaces; put
// returns a copy with the new revision, or platform.ErrConflict if the record has
// another revision. It returns when the outcome is known: a write that was not
// answered may take effect seconds later, and until it is known to have failed
// nothing may be granted that contradicts it. The same conditional write is therefore
// retried until it succeeds or conflicts; errOutcomeUnknown says that this took too
// long.
func (k *Keeper) put(ctx context.Context, next *catalog.Owners) (*catalog.Owners, error) {
	value, err := follow.EncodeOwners(next)
	if err != nil {
		return nil, err
	}
	record := platform.Record{Name: follow.OwnersRecordName(next.Service), Value: value}
	revision, err := k.putOnce(ctx, record, platform.Revision(next.Revision))
	if errors.Is(err, platform.ErrAmbiguous) {
		revision, err = k.retryAmbiguous(ctx, record, platform.Revision(next.Revision))
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
	return k.store.Put(ctx, platform.Shared, record, expect)
}

// errOutcomeUnknown says that it is not known whether a write took effect.
var errOutcomeUnknown = errors.New("keeper: the outcome of a write is unknown")

// retryAmbiguous repeats a write of unknown outcome until its outcome is known, for
// ambiguousWriteTimeout at most.
func (k *Keeper) retryAmbiguous(ctx context.Context, record platform.Record, expect platform.Revision) (platform.Revision, error) {
	k.log.Warn("write was not answered, retrying", zap.String("record", record.Name), zap.Uint64("expected", uint64(expect)))
	end := time.Now().Add(ambiguousWriteTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		revision, err := k.putOnce(ctx, record, expect)
		if err == nil {
			return revision, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return k.confirmWritten(ctx, record)
		}
		time.Sleep(ambiguousWriteRetryDelay)
	}
	return 0, errOutcomeUnknown
}

// confirmWritten finds out why a repeated write conflicts: it returns the revision if
// the first attempt took effect, and platform.ErrConflict if another daemon wrote the
// record.
func (k *Keeper) confirmWritten(ctx context.Context, record platform.Record) (platform.Revision, error) {
	k.follow.RefreshShared(ctx)
	held, ok := k.follow.SharedRecord(record.Name)
	if ok && string(held.Value) == string(record.Value) {
		return held.Revision, nil
	}
	return 0, platform.ErrConflict
}
