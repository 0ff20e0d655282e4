package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone reports that the store no longer keeps the changes after a
// revision. The whole collection must be read again.
var ErrHistoryGone = errors.New("platform: the changes after that revision are no longer kept")

// DaemonPrefix is the prefix of the names of the daemons' records in the collection
// Shared.
const DaemonPrefix = "daemon/"

// Revision is a value of the store's single counter of transactions. Each
// transaction raises it.
type Revision uint64

// Collection is the name of a set of records in the store.
type Collection string

// Collections.
const (
	// Configurations holds the operators' configuration; read only.
	Configurations Collection = "configurations"
	// Servers holds the registrations of backend servers; read only.
	Servers Collection = "servers"
	// Shared holds the system's own records: the addresses of the daemons and the
	// owners of keys.
	Shared Collection = "shared"
)

// Record is one value of a collection.
type Record struct {
	Name     string
	Value    []byte
	Revision Revision
	// Deleted reports that the record was deleted at the revision.
	Deleted bool
}

// Page is the result of a read of a collection or of a wait for its changes.
type Page struct {
	Records []Record
	// Revision is the store's revision up to which Records are complete. Some of
	// the records may be newer.
	Revision Revision
}

// RecordStore reads collections, waits for their changes and writes records
// conditionally.
type RecordStore interface {
	// Read returns all records of a collection. Changes has to follow from the
	// revision of the page.
	Read(ctx context.Context, c Collection) (Page, error)
	// Changes returns the records that changed after a revision as soon as there
	// are any, or an empty page once wait has passed. It returns ErrHistoryGone
	// when the changes after the revision are no longer kept.
	Changes(ctx context.Context, c Collection, after Revision, wait time.Duration) (Page, error)
	// Put writes a record whose revision must be expect; zero means that it must
	// not exist. It returns the new revision, or ErrConflict, ErrAmbiguous or
	// ErrUnavailable.
	Put(ctx context.Context, c Collection, r Record, expect Revision) (Revision, error)
}
