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

// put writes an owners record for the era of next.Position, whose revision is that of the
// record that it replaces. It returns a copy with the new position, platform.ErrConflict if
// the record has another revision, or errEraEnded if the store has come back from an older
// copy: what was written, if anything, then says nothing about who owns keys. put returns
// when the outcome is known: a write that was not answered may take effect seconds later,
// and until it is known to have failed nothing may be granted that contradicts it. The same
// conditional write is therefore retried until it succeeds or conflicts; errOutcomeUnknown
// says that this took too long.
func (k *Keeper) put(ctx context.Context, next *catalog.Owners) (*catalog.Owners, error) {
	value, err := follow.EncodeOwners(next)
	if err != nil {
		return nil, err
	}
	record := platform.Record{Name: follow.OwnersRecordName(next.Service, next.Era), Value: value}
	record.Position, err = k.putOnce(ctx, record, next.Position)
	if errors.Is(err, platform.ErrAmbiguous) {
		record.Position, err = k.retryAmbiguous(ctx, record, next.Position)
	}
	if err != nil {
		return nil, err
	}
	k.follow.ApplyWrite(platform.Shared, record)
	written := *next
	written.Position = record.Position
	return &written, nil
}

// errEraEnded says that the store was found in a later era than that of the write.
var errEraEnded = errors.New("keeper: the store came back from an older copy before or during the write")

// putOnce writes a record that has the expected revision in the expected era.
func (k *Keeper) putOnce(ctx context.Context, record platform.Record, expect platform.Position) (platform.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	position, err := k.store.Put(ctx, platform.Shared, record, expect.Revision)
	answered := err == nil || errors.Is(err, platform.ErrConflict)
	if answered && position.Era != expect.Era {
		return platform.Position{}, errors.Wrapf(errEraEnded, "record %s: era %d, want %d", record.Name, position.Era, expect.Era)
	}
	return position, err
}

// errOutcomeUnknown says that it is not known whether a write took effect.
var errOutcomeUnknown = errors.New("keeper: the outcome of a write is unknown")

// retryAmbiguous repeats a write of unknown outcome until its outcome is known, for
// ambiguousWriteTimeout at most.
func (k *Keeper) retryAmbiguous(ctx context.Context, record platform.Record, expect platform.Position) (platform.Position, error) {
	k.log.Warn("write was not answered, retrying", zap.String("record", record.Name), zap.Uint64("expected", uint64(expect.Revision)))
	end := time.Now().Add(ambiguousWriteTimeout)
	pauses := writeRetries()
	for time.Now().Before(end) && ctx.Err() == nil {
		position, err := k.putOnce(ctx, record, expect)
		switch {
		case err == nil, errors.Is(err, errEraEnded):
			return position, err
		case errors.Is(err, platform.ErrConflict):
			return k.confirmWritten(ctx, record, expect.Era)
		}
		time.Sleep(pauses.Next())
	}
	return platform.Position{}, errOutcomeUnknown
}

// confirmWritten finds out why a repeated write conflicts: it returns the position if the
// first attempt took effect in the given era, and platform.ErrConflict if another daemon
// wrote the record.
func (k *Keeper) confirmWritten(ctx context.Context, record platform.Record, era platform.Era) (platform.Position, error) {
	k.follow.RefreshShared(ctx)
	held, ok := k.follow.SharedRecord(record.Name)
	switch {
	case ok && held.Era > era:
		return platform.Position{}, errEraEnded
	case ok && string(held.Value) == string(record.Value):
		return held.Position, nil
	}
	return platform.Position{}, platform.ErrConflict
}
