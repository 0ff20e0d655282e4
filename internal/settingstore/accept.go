package settingstore

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Bounds of Accept.
const (
	acceptTimeout = 15 * time.Second // time in which a change is accepted, refused or resolved
	acceptTries   = 16               // races lost to other changes before a change is refused
)

// Accept checks a change in full and makes it the next version. It returns the
// accepted record, or jsonc.Problems, a ConflictError, ErrNotAccepted or
// ErrOutcomeUnknown. A change with a write id that was accepted before is not
// accepted again; its record is returned.
func (s *Store) Accept(ctx context.Context, change Change) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if change.WriteID == "" {
		change.WriteID = platform.WriteID(uuid.NewString())
	}
	for range acceptTries {
		record, err := s.try(ctx, change)
		if err == nil {
			s.learn(record, "accepted here from "+record.Author)
			return record, nil
		}
		if !errors.Is(err, errRaced) {
			return Record{}, err
		}
	}
	return Record{}, errors.Wrapf(ErrNotAccepted, "%d other changes came first", acceptTries)
}

func (s *Store) try(ctx context.Context, change Change) (Record, error) {
	current, err := s.table.current(ctx)
	if err != nil {
		return Record{}, errors.Wrapf(ErrNotAccepted, "%v", err)
	}
	if before, ok := s.acceptedBefore(ctx, change, current); ok {
		return before, nil
	}
	text, err := s.merge(ctx, change, current)
	if err != nil {
		return Record{}, err
	}
	next := Record{
		Version: current.Version + 1,
		Base:    change.Base,
		Scope:   change.Scope,
		Author:  change.Author,
		Note:    change.Note,
		At:      time.Now(),
		WriteID: change.WriteID,
		Tree:    string(text),
	}
	return next, s.table.replace(ctx, current, next)
}

// acceptedBefore finds a version by the write id of its change.
func (s *Store) acceptedBefore(ctx context.Context, change Change, current held) (Record, bool) {
	if current.WriteID == change.WriteID {
		return current.Record, true
	}
	for v := current.Version - 1; v > change.Base; v-- {
		old, err := s.table.version(ctx, v)
		if err != nil {
			return Record{}, false
		}
		if old.WriteID == change.WriteID {
			return old, true
		}
	}
	return Record{}, false
}

// merge returns the text of the next version: the change on its base, or, when
// the base is not current any more, on the current version if nothing that the
// change touches or builds on was changed in between. The result is checked in full.
func (s *Store) merge(ctx context.Context, change Change, current held) ([]byte, error) {
	if change.Base != current.Version {
		if err := s.mergeable(ctx, change, current); err != nil {
			return nil, err
		}
	}
	env, err := s.environment(current)
	if err != nil {
		return nil, err
	}
	replacement := settings.Replacement{Scope: change.Scope, File: change.File, Text: []byte(change.Text)}
	return replacement.Apply([]byte(current.Tree), env)
}

// mergeable returns nil when a team's change may be put on a newer version than
// its base: neither the team's own subtree nor the fleet's part, on which all
// subtrees build, has changed.
func (s *Store) mergeable(ctx context.Context, change Change, current held) error {
	base, err := s.table.version(ctx, change.Base)
	if errors.Is(err, ErrNoVersion) {
		return &ConflictError{Current: current.Summary(), Diff: "version " + change.Base.String() + " is not kept\n"}
	}
	if err != nil {
		return errors.Wrapf(ErrNotAccepted, "%v", err)
	}
	before, now := []byte(base.Tree), []byte(current.Tree)
	_, isTeam := change.Scope.Team()
	if isTeam && settings.SamePart(before, now, change.Scope) && settings.SamePart(before, now, settings.ScopeFleet) {
		return nil
	}
	return &ConflictError{
		Current: current.Summary(),
		Diff:    settings.Diff("version "+base.Version.String(), before, "version "+current.Version.String(), now),
	}
}

// environment returns what a change of the current version is checked against.
func (s *Store) environment(current held) (settings.Environment, error) {
	tree, err := settings.Parse([]byte(current.Tree))
	if err != nil {
		return settings.Environment{}, errors.Wrap(err, "read the current version")
	}
	compiled, err := settings.Compile(tree, current.Version)
	if err != nil {
		return settings.Environment{}, errors.Wrap(err, "read the current version")
	}
	instances := s.member.Members().Instances
	if len(instances) == 0 {
		return settings.Environment{}, errors.Wrap(ErrNotAccepted, "the instance list is not known yet")
	}
	servers := map[model.PoolName]int{}
	for _, instance := range instances {
		if instance.Kind == platform.KindServer && instance.State == platform.StateLive {
			servers[instance.Pool]++
		}
	}
	return settings.Environment{Previous: compiled, Servers: servers}, nil
}

// Check checks a change against the version in force without accepting it.
func (s *Store) Check(ctx context.Context, change Change) error {
	current, err := s.table.current(ctx)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	env, err := s.environment(current)
	if err != nil {
		return err
	}
	replacement := settings.Replacement{Scope: change.Scope, File: change.File, Text: []byte(change.Text)}
	_, err = replacement.Apply([]byte(current.Tree), env)
	return err
}

// Version returns an accepted version from the table; zero stands for the
// current one, or while the table is down for the newest that this daemon knows.
func (s *Store) Version(ctx context.Context, v settings.Version) (Record, error) {
	if v != 0 {
		return s.table.version(ctx, v)
	}
	now, err := s.table.current(ctx)
	if known := s.newest(); errors.Is(err, platform.ErrUnavailable) && known != nil {
		return *known, nil
	}
	return now.Record, err
}

// History returns the kept versions without their texts, newest first.
func (s *Store) History(ctx context.Context) ([]Record, error) { return s.table.history(ctx) }
