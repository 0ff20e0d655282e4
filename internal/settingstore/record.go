package settingstore

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Record is one accepted version of the settings tree.
type Record struct {
	Version settings.Version `json:"version"`
	// Base is the version that the operator's change was made to.
	Base settings.Version `json:"base"`
	// Scope is the part of the tree that the change replaced.
	Scope  settings.Scope `json:"scope"`
	Author string         `json:"author"`
	Note   string         `json:"note,omitempty"`
	At     time.Time      `json:"at"`
	// WriteID identifies the change, so that the operator's tool may send it again.
	WriteID platform.WriteID `json:"write_id"`
	// Era is the store's era in which the version was accepted.
	Era platform.Era `json:"era,omitempty"`
	// Tree is the text of the whole tree. In the table it is empty if the text is
	// larger than maxInlineBytes; the text is then in the object store under Object.
	Tree   string `json:"tree,omitempty"`
	Object string `json:"object,omitempty"`
}

// Summary returns the record without its text.
func (r Record) Summary() Record {
	r.Tree = ""
	return r
}

// Change is an operator's request to replace a part of the tree.
type Change struct {
	Base    settings.Version `json:"base"`           // version that the change was made to
	Scope   settings.Scope   `json:"scope"`          // part of the tree that is replaced
	File    string           `json:"file"`           // name of the text in reported problems
	Text    string           `json:"text"`           // new text of the part
	Note    string           `json:"note,omitempty"` // operator's remark
	WriteID platform.WriteID `json:"write_id"`       // identifies the change when it is sent again
	// Author is set by the daemon from the operator's token.
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
	return errors.Wrap(newTable(p).replace(ctx, storedRecord{}, first), "write the first settings version")
}

// Errors of Accept besides jsonc.Problems and ConflictError.
var (
	// ErrNotAccepted says that the change did not take effect and will not take
	// effect later.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown says that the store could not determine in time whether
	// the change took effect. Sending it again with the same write id is safe.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNoVersion says that a version does not exist or is no longer retained.
	ErrNoVersion = errors.New("no such version")
)

// ConflictError says that other changes were accepted after the base of a change
// and that the change cannot be merged with them.
type ConflictError struct {
	// Current is the current version in the table, without its text.
	Current Record `json:"current"`
	// Diff is a unified diff between the base of the change and the current version.
	Diff string `json:"diff"`
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return "settings: version " + e.Current.Version.String() + " by " + e.Current.Author + " came first"
}
