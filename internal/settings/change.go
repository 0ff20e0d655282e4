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

// Scopes. A team's scope is "teams." and its name.
const (
	ScopeTree  Scope = ""
	ScopeFleet Scope = "fleet"
	teamPrefix       = "teams."
)

// TeamScope returns the scope of one team's subtree.
func TeamScope(team model.TeamName) Scope { return Scope(teamPrefix + string(team)) }

// Team returns the team whose subtree the scope names.
func (s Scope) Team() (model.TeamName, bool) {
	name, ok := strings.CutPrefix(string(s), teamPrefix)
	if !ok {
		return "", false
	}
	return model.TeamName(name), true
}

// Valid reports that the scope names a part of a tree.
func (s Scope) Valid() bool {
	team, isTeam := s.Team()
	return s == ScopeTree || s == ScopeFleet || (isTeam && namePattern.MatchString(string(team)))
}

// String names the scope for operators.
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
// nil when the tree has no such part.
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

// SamePart reports that two trees have the same text in the scope.
func SamePart(a, b []byte, scope Scope) bool {
	first, firstErr := Part(a, scope)
	second, secondErr := Part(b, scope)
	return firstErr == nil && secondErr == nil && bytes.Equal(first, second)
}

// Replacement is a new text for a part of the tree.
type Replacement struct {
	Scope Scope
	// File names the text in problems.
	File string
	Text []byte
}

// Apply puts the replacement into a tree and checks the result in full. Problems
// inside the replacement name its own file and lines. The error is of type jsonc.Problems.
func (r Replacement) Apply(tree []byte, env Environment) ([]byte, error) {
	own, err := r.parse()
	if err != nil {
		return nil, err
	}
	merged := r.Text
	if r.Scope != ScopeTree {
		if merged, err = r.splice(tree); err != nil {
			return nil, err
		}
	}
	env.changed, _ = r.Scope.Team()
	if _, err := Validate(r.File, merged, env); err != nil {
		return nil, r.relocate(own, err)
	}
	return merged, nil
}

// parse checks the syntax and the schema of the replacement by itself.
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

func (r Replacement) splice(tree []byte) ([]byte, error) {
	whole, err := jsonc.Parse("tree", tree)
	if err != nil {
		return nil, err
	}
	merged, err := whole.Set(r.Scope.path(), r.Text)
	if err != nil {
		return nil, r.problem(err.Error())
	}
	return merged, nil
}

// relocate gives the problems inside the replaced part the lines of the
// operator's own text. Others stand in the rest of the tree.
func (r Replacement) relocate(own *jsonc.Document, err error) error {
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
		at := own.Problem(inner, "%s", p.Message)
		at.Path = p.Path
		problems[i] = at
	}
	return problems
}

// Diff returns the lines that differ between two trees.
func Diff(oldName string, old []byte, newName string, other []byte) string {
	return string(diff.Diff(oldName, endWithNewline(old), newName, endWithNewline(other)))
}

func endWithNewline(text []byte) []byte {
	if len(text) == 0 || text[len(text)-1] == '\n' {
		return text
	}
	return append(bytes.Clone(text), '\n')
}

// WithDrain returns a team's subtree with another list of drained servers in a pool.
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
