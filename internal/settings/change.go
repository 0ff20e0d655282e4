package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Scope names the part of the tree that a change replaces.
type Scope string

// Scopes of a change. The scope of a team's subtree is teamPrefix followed by
// the team's name.
const (
	ScopeTree  Scope = ""
	ScopeFleet Scope = "fleet"
	teamPrefix       = "teams."
)

// TeamScope returns the scope of one team's subtree.
func TeamScope(team model.TeamName) Scope { return Scope(teamPrefix + string(team)) }

// Team returns the team whose subtree is the scope, and false for other scopes.
func (s Scope) Team() (model.TeamName, bool) {
	name, ok := strings.CutPrefix(string(s), teamPrefix)
	if !ok {
		return "", false
	}
	return model.TeamName(name), true
}

// Valid reports whether the scope is well-formed. The team need not exist.
func (s Scope) Valid() bool {
	team, isTeam := s.Team()
	return s == ScopeTree || s == ScopeFleet || (isTeam && namePattern.MatchString(string(team)))
}

// String returns the name of the scope that is shown to operators.
func (s Scope) String() string {
	if s == ScopeTree {
		return "the whole tree"
	}
	return string(s)
}

func (s Scope) path() path {
	if s == ScopeTree {
		return nil
	}
	if team, ok := s.Team(); ok {
		return path{"teams", string(team)}
	}
	return path{string(s)}
}

// Part returns the text of the scope's part of a tree with its comments, or
// nil if the tree has no such part. The error is of type jsonc.Problems.
func Part(tree []byte, scope Scope) ([]byte, error) {
	if scope == ScopeTree {
		return tree, nil
	}
	doc, err := jsonc.Parse("tree", tree)
	if err != nil {
		return nil, err
	}
	return doc.Text(scope.path()), nil
}

// SamePart reports whether two trees have the same text in the scope, comments
// included.
func SamePart(a, b []byte, scope Scope) bool {
	first, firstErr := Part(a, scope)
	second, secondErr := Part(b, scope)
	return firstErr == nil && secondErr == nil && bytes.Equal(first, second)
}

// Replacement is a new text for the part of the tree given by Scope.
type Replacement struct {
	Scope Scope
	// File is the name of the text in reported problems.
	File string
	Text []byte
}

// Apply inserts the replacement into a tree, validates the result in full and
// returns its text. Problems inside the replacement are reported with the file
// and lines of the replacement. The error is of type jsonc.Problems.
func (r Replacement) Apply(tree []byte, env Environment) ([]byte, error) {
	doc, err := r.parse()
	if err != nil {
		return nil, err
	}
	merged := r.Text
	if r.Scope != ScopeTree {
		if merged, err = r.mergeInto(tree); err != nil {
			return nil, err
		}
	}
	env.changedTeam, _ = r.Scope.Team()
	if _, err := Validate(r.File, merged, env); err != nil {
		return nil, r.relocate(doc, err)
	}
	return merged, nil
}

// parse checks the size, the syntax and the schema of the replacement, without
// the rest of the tree.
func (r Replacement) parse() (*jsonc.Document, error) {
	if len(r.Text) > MaxTreeBytes {
		return nil, r.problem(fmt.Sprintf("found %d bytes, want %d or fewer", len(r.Text), MaxTreeBytes))
	}
	doc, err := jsonc.Parse(r.File, r.Text)
	if err != nil {
		return nil, err
	}
	var target any = &Tree{}
	if r.Scope == ScopeFleet {
		target = &Fleet{}
	}
	if _, isTeam := r.Scope.Team(); isTeam {
		target = &Team{}
	}
	return doc, doc.Decode(target)
}

func (r Replacement) problem(message string) jsonc.Problems {
	return jsonc.Problems{{File: r.File, Line: 1, Column: 1, Path: strings.Join(r.Scope.path(), "."), Message: message}}
}

func (r Replacement) mergeInto(tree []byte) ([]byte, error) {
	doc, err := jsonc.Parse("tree", tree)
	if err != nil {
		return nil, err
	}
	merged, err := doc.Set(r.Scope.path(), r.Text)
	if err != nil {
		return nil, r.problem(err.Error())
	}
	return merged, nil
}

// relocate maps the positions of problems inside the replaced part from the
// merged tree to the replacement doc. Other problems are in the rest of the tree;
// their file name says that it is the tree in force with the replacement applied.
func (r Replacement) relocate(doc *jsonc.Document, err error) error {
	problems, ok := err.(jsonc.Problems)
	if !ok || r.Scope == ScopeTree {
		return err
	}
	prefix := strings.Join(r.Scope.path(), ".")
	for i, p := range problems {
		rest, inside := strings.CutPrefix(p.Path, prefix)
		if !inside {
			problems[i].File = "settings in force with " + r.File
			continue
		}
		var inner path
		if rest = strings.TrimPrefix(rest, "."); rest != "" {
			inner = strings.Split(rest, ".")
		}
		moved := doc.Problem(inner, "%s", p.Message)
		moved.Path = p.Path
		problems[i] = moved
	}
	return problems
}

// Diff returns a unified diff of two trees, empty if they are equal.
func Diff(oldName string, old []byte, newName string, updated []byte) string {
	return string(diff.Diff(oldName, endWithNewline(old), newName, endWithNewline(updated)))
}

func endWithNewline(text []byte) []byte {
	if len(text) == 0 || text[len(text)-1] == '\n' {
		return text
	}
	return append(bytes.Clone(text), '\n')
}

// WithDrain replaces the list of drained servers of a pool and returns the text of
// the team's subtree that results.
func WithDrain(tree []byte, team model.TeamName, pool model.PoolName, drained []model.ServerID) ([]byte, error) {
	doc, err := jsonc.Parse("tree", tree)
	if err != nil {
		return nil, err
	}
	list, err := json.Marshal(drained)
	if err != nil {
		return nil, errors.Wrap(err, "settings: encode")
	}
	changed, err := doc.Set(path{"teams", string(team), "pools", string(pool), "drain"}, list)
	if err != nil {
		return nil, err
	}
	return Part(changed, TeamScope(team))
}
