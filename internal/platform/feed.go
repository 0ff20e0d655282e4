package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone reports that the store does not have the changes after a position: it
// no longer keeps them, or it has come back from an older copy since. The whole
// collection must be read again.
var ErrHistoryGone = errors.New("platform: the store does not have the changes after that position")

// DaemonPrefix is the prefix of the names of the daemons' records in the collection
// Shared.
const DaemonPrefix = "daemon/"

// Revision is a value of the store's single counter of transactions. Each
// transaction raises it. Within an era it orders the changes, see Position.
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
	Name  string
	Value []byte
	// Position is that of the record's last change. Its era is the era in which the
	// record was read, or written: an older copy's records belong to the new era.
	Position
	// Deleted reports that the record was deleted at the position.
	Deleted bool
}

// Page is the result of a read of a collection or of a wait for its changes.
type Page struct {
	Records []Record
	// Position is the store's position up to which Records are complete. Some of
	// the records may be newer.
	Position
}

// RecordStore reads collections, waits for their changes and writes records
// conditionally.
type RecordStore interface {
	// Read returns all records of a collection. Changes has to follow from the
	// position of the page.
	Read(ctx context.Context, c Collection) (Page, error)
	// Changes returns the records that changed after a position as soon as there
	// are any, or an empty page once wait has passed. It returns ErrHistoryGone
	// when the store does not have the changes after the position.
	Changes(ctx context.Context, c Collection, after Position, wait time.Duration) (Page, error)
	// Put writes a record whose revision must be expect; zero means that it must
	// not exist. It returns the position of the change, or ErrConflict,
	// ErrAmbiguous or ErrUnavailable. With ErrConflict it returns a position that
	// states the store's era only. A caller that took expect from another era than
	// that of the result has not written what it meant to.
	Put(ctx context.Context, c Collection, r Record, expect Revision) (Position, error)
}
