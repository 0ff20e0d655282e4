package platform

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Errors of the table and the object store.
var (
	// ErrNotFound reports that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict reports that the version of the row or record is not the expected
	// one. The write had no effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrAmbiguous reports that the write may or may not have taken effect.
	ErrAmbiguous = errors.New("platform: outcome of the write is unknown")
	// ErrUnavailable reports that the platform could not be reached or refused the
	// call. No write took effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOtherEra reports that the store came back from an older copy since the era for
	// which the write was meant, or before. Whatever the write did proves nothing.
	ErrOtherEra = errors.New("platform: the store came back from an older copy")
)

// RowVersion orders the writes of one row: each write raises it. Zero stands for an
// absent row.
type RowVersion uint64

// WriteID identifies one write. It serves to find out whether a write with an
// ambiguous outcome took effect.
type WriteID string

// Row is a versioned value of the table. WriteID is that of the row's last write.
type Row struct {
	Key     string     `json:"key"`
	Value   []byte     `json:"value"`
	Version RowVersion `json:"version"`
	WriteID WriteID    `json:"write_id"`
	// Era is the store's era at the read.
	Era Era `json:"-"`
}

// Write is a conditional write: it takes effect only if the row's version equals
// Expect. With Expect zero the row must not exist.
type Write struct {
	Key     string     `json:"key"`
	Value   []byte     `json:"value"`
	Expect  RowVersion `json:"expect"`
	WriteID WriteID    `json:"write_id"`
	// Era is the era for which the write is meant, zero for any.
	Era Era `json:"-"`
}

// meantFor reports whether the write is meant for an era.
func (w *Write) meantFor(era Era) bool { return w.Era == 0 || w.Era == era }

// CheckEra returns ErrOtherEra if the write is not meant for the era of its answer.
func (w *Write) CheckEra(era Era) error {
	if w.meantFor(era) {
		return nil
	}
	return errors.Wrapf(ErrOtherEra, "write %s: era %d, want %d", w.Key, era, w.Era)
}

// Table is the platform's table with conditional writes.
type Table interface {
	// Get returns the row, or ErrNotFound or ErrUnavailable. With ErrNotFound the row
	// states the store's era only.
	Get(ctx context.Context, key string) (Row, error)
	// CompareAndSet writes the row and returns its new version, or ErrConflict,
	// ErrAmbiguous, ErrUnavailable or ErrOtherEra.
	CompareAndSet(ctx context.Context, w Write) (RowVersion, error)
	// List returns at most limit rows whose key starts with prefix.
	List(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Delete removes the row if its version equals expect.
	Delete(ctx context.Context, key string, expect RowVersion) error
}

// ObjectStore is the platform's store for larger values. By convention, an object
// is not changed after its first write.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// InstanceKind distinguishes daemons from backend servers.
type InstanceKind string

// Kinds of instances.
const (
	KindDaemon InstanceKind = "daemon"
	KindServer InstanceKind = "server"
)

// InstanceState is the state of an instance as the platform reports it.
type InstanceState string

// States of instances. A leaving instance is about to shut down. Instances that
// have ended are not listed.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID    string         `json:"id"`
	Kind  InstanceKind   `json:"kind"`
	Pool  model.PoolName `json:"pool,omitempty"`
	Zone  model.Zone     `json:"zone"`
	State InstanceState  `json:"state"`
	// Address is host:port: a daemon's control address, or a server's request address.
	Address string `json:"address"`
}

// InstanceList is the platform's list of live and leaving instances. It lags behind
// their actual state.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// EraWatch tells of the store's eras.
type EraWatch interface {
	// OnEra calls f with each later era that an answer to any call of this client
	// states, before the caller gets the answer, and at once with the newest one so far.
	// f must not block.
	OnEra(f func(Era))
}

// Platform combines the table, the object store, the instance list and the watch of eras.
type Platform interface {
	Table
	ObjectStore
	InstanceList
	EraWatch
}

// WriteAndConfirm writes the row and, if the outcome is ambiguous, reads the row and
// compares its write ID. It returns the row's version if the write took effect,
// ErrConflict if another write has changed the row, ErrOtherEra if the era for which
// the write was meant has ended, and ErrAmbiguous if the row could not be read, does
// not exist or has not changed. Other errors of CompareAndSet are returned as they are.
func WriteAndConfirm(ctx context.Context, t Table, w Write) (RowVersion, error) {
	version, err := t.CompareAndSet(ctx, w)
	if !errors.Is(err, ErrAmbiguous) {
		return version, err
	}
	row, err := t.Get(ctx, w.Key)
	switch {
	case (err == nil || errors.Is(err, ErrNotFound)) && !w.meantFor(row.Era):
		return 0, w.CheckEra(row.Era)
	case errors.Is(err, ErrNotFound):
		return 0, ErrAmbiguous
	case err != nil:
		return 0, ErrAmbiguous
	case row.WriteID == w.WriteID:
		return row.Version, nil
	case row.Version > w.Expect:
		return 0, ErrConflict
	default:
		return 0, ErrAmbiguous
	}
}
