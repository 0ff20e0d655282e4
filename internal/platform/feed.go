package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone says that the changes after a revision are no longer kept. The
// collection must be read anew.
var ErrHistoryGone = errors.New("platform: the changes after that revision are no longer kept")

// DaemonPrefix begins the names of the daemons' records among the shared ones.
const DaemonPrefix = "daemon/"

// Revision is a value of the store's one counter, which rises with each transaction.
type Revision uint64

// Collection names a set of records in the store.
type Collection string

// Collections.
const (
	// Configurations holds what operators ask of the system; read only.
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
	// Deleted says that the record was removed at the revision.
	Deleted bool
}

// Page is the answer of a read or of a wait for changes.
type Page struct {
	Records []Record
	// Revision is the store's newest one at the time of the answer.
	Revision Revision
}

// RecordStore reads collections, follows their changes and writes records under a condition.
type RecordStore interface {
	// Read returns all records of a collection as of one moment.
	Read(ctx context.Context, c Collection) (Page, error)
	// Changes returns what changed after a revision, as soon as something did or
	// wait has passed.
	Changes(ctx context.Context, c Collection, after Revision, wait time.Duration) (Page, error)
	// Put writes a record whose revision must be expect; zero means that it must
	// not exist. It returns the new revision, or ErrConflict, ErrAmbiguous or
	// ErrUnavailable.
	Put(ctx context.Context, c Collection, r Record, expect Revision) (Revision, error)
}
