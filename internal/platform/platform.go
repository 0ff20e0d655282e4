package platform

import (
	"context"
	"errors"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Errors of the table and the object store.
var (
	// ErrNotFound says that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict says that the row's version is not the expected one. The write had no effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrAmbiguous says that the write may or may not have taken effect.
	ErrAmbiguous = errors.New("platform: outcome of the write is unknown")
	// ErrUnavailable says that the platform could not be reached or refused. No write took effect.
	ErrUnavailable = errors.New("platform: unavailable")
)

// RowVersion counts the writes of one row. Zero stands for an absent row.
type RowVersion uint64

// WriteID identifies one write, for resolving ambiguous answers.
type WriteID string

// Row is a versioned value of the table.
type Row struct {
	Key     string     `json:"key"`
	Value   []byte     `json:"value"`
	Version RowVersion `json:"version"`
	WriteID WriteID    `json:"write_id"`
}

// Write is a conditional write: it takes effect only when the row's version
// equals Expect. Expect zero inserts if absent.
type Write struct {
	Key     string     `json:"key"`
	Value   []byte     `json:"value"`
	Expect  RowVersion `json:"expect"`
	WriteID WriteID    `json:"write_id"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// CompareAndSet writes and returns the new version, or ErrConflict,
	// ErrAmbiguous or ErrUnavailable.
	CompareAndSet(ctx context.Context, w Write) (RowVersion, error)
	// List returns the rows whose key starts with prefix, at most limit of them.
	List(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Delete removes the row if its version equals expect.
	Delete(ctx context.Context, key string, expect RowVersion) error
}

// ObjectStore is the platform's store for larger values. Objects are immutable by convention.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// InstanceKind tells daemons from backend servers.
type InstanceKind string

// Kinds of instances.
const (
	KindDaemon InstanceKind = "daemon"
	KindServer InstanceKind = "server"
)

// InstanceState is the platform's word on an instance.
type InstanceState string

// States of instances. An instance that is gone is not listed.
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

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Platform joins the three services.
type Platform interface {
	Table
	ObjectStore
	InstanceList
}

// WriteAndConfirm writes and, when the answer is ambiguous, reads the row back and
// compares the write id. It returns the row version when the write took effect,
// ErrConflict when another write holds the row, or ErrAmbiguous when the row
// could not be read either.
func WriteAndConfirm(ctx context.Context, t Table, w Write) (RowVersion, error) {
	version, err := t.CompareAndSet(ctx, w)
	if !errors.Is(err, ErrAmbiguous) {
		return version, err
	}
	row, err := t.Get(ctx, w.Key)
	switch {
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
