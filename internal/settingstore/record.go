package settingstore

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Record is one accepted version.
type Record struct {
	Version settings.Version `json:"version"`
	// Base is the version that the operator changed.
	Base settings.Version `json:"base"`
	// Scope is the part of the tree that the change replaced.
	Scope  settings.Scope `json:"scope"`
	Author string         `json:"author"`
	Note   string         `json:"note,omitempty"`
	At     time.Time      `json:"at"`
	// WriteID identifies the change across retries of the operator's tool.
	WriteID platform.WriteID `json:"write_id"`
	// Tree is the text of the whole tree. It stands in the row, or in the object
	// store under Object when it is large.
	Tree   string `json:"tree,omitempty"`
	Object string `json:"object,omitempty"`
}

// Summary returns the record without its text.
func (r Record) Summary() Record {
	r.Tree = ""
	return r
}

// Change is an operator's wish to replace a part of the tree.
type Change struct {
	Base    settings.Version `json:"base"`
	Scope   settings.Scope   `json:"scope"`
	File    string           `json:"file"`
	Text    string           `json:"text"`
	Note    string           `json:"note,omitempty"`
	WriteID platform.WriteID `json:"write_id"`
	// Author is filled in by the daemon from the operator's token.
	Author string `json:"-"`
}

// Seed writes the first version of an empty table.
func Seed(ctx context.Context, p platform.Platform, tree []byte) error {
	first := Record{
		Version: 1,
		Author:  "first start",
		At:      time.Now(),
		WriteID: platform.WriteID(uuid.NewString()),
		Tree:    string(tree),
	}
	return errors.Wrap(table{p}.replace(ctx, held{}, first), "accept the first settings")
}

// Errors of Accept besides jsonc.Problems and ConflictError.
var (
	// ErrNotAccepted says that the change did not take effect and never will.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown says that the store could not tell in time whether the
	// change took effect. Sending it again with the same write id is safe.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNoVersion says that a version is not kept.
	ErrNoVersion = errors.New("no such version")
)

// ConflictError says that other operators' changes came first.
type ConflictError struct {
	// Current is the version in the table, without its text.
	Current Record `json:"current"`
	// Diff shows what changed between the operator's base and the current version.
	Diff string `json:"diff"`
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return "settings: version " + e.Current.Version.String() + " by " + e.Current.Author + " came first"
}
