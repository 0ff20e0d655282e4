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
	acceptTimeout     = 15 * time.Second // time limit of Accept, all attempts included
	maxAcceptAttempts = 16               // attempts, each overtaken by another change, before a change is refused
)

// Accept validates a change in full and makes it the next version. It returns the
// accepted record, or jsonc.Problems, a ConflictError, ErrNotAccepted or
// ErrOutcomeUnknown. A change whose write id was accepted before is not applied
// again; the record of the earlier acceptance is returned.
func (s *Store) Accept(ctx context.Context, change Change) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if change.WriteID == "" {
		change.WriteID = platform.WriteID(uuid.NewString())
	}
	for range maxAcceptAttempts {
		record, err := s.tryAccept(ctx, change)
		if err == nil {
			s.distribute(record, "accepted here from "+record.Author)
			return record, nil
		}
		if !errors.Is(err, errRowChanged) {
			return Record{}, err
		}
	}
	return Record{}, errors.Wrapf(ErrNotAccepted, "%d other changes came first", maxAcceptAttempts)
}

// tryAccept makes one attempt to accept a change. It returns errRowChanged if
// another change replaced the current version in the meantime.
func (s *Store) tryAccept(ctx context.Context, change Change) (Record, error) {
	current, err := s.currentVersion(ctx)
	if errors.Is(err, errRowChanged) {
		return Record{}, err
	}
	if err != nil {
		return Record{}, errors.Wrapf(ErrNotAccepted, "%v", err)
	}
	if existing, ok := s.findByWriteID(ctx, change, current); ok {
		return existing, nil
	}
	text, err := s.merge(ctx, change, current)
	if err != nil {
		return Record{}, err
	}
	next := Record{
		Version: current.nextVersion(),
		Base:    change.Base,
		Scope:   change.Scope,
		Author:  change.Author,
		Note:    change.Note,
		At:      time.Now(),
		WriteID: change.WriteID,
		Era:     current.era,
		Tree:    string(text),
	}
	return next, s.table.replace(ctx, current, next)
}

// findByWriteID returns the version that the same change created before, if any.
// It searches the versions after the base of the change.
func (s *Store) findByWriteID(ctx context.Context, change Change, current storedRecord) (Record, bool) {
	if current.WriteID == change.WriteID {
		return current.Record, true
	}
	for v := current.Version - 1; v > change.Base && current.Version-v <= maxVersions; v-- {
		old, err := s.table.version(ctx, v)
		if errors.Is(err, ErrNoVersion) {
			continue // left out at the beginning of an era
		}
		if err != nil {
			return Record{}, false
		}
		if old.WriteID == change.WriteID {
			return old, true
		}
	}
	return Record{}, false
}

// merge applies the change to the current version and returns the text of the
// next version. If the base of the change is no longer current, it first checks
// that the change does not conflict with the changes made since. The result is
// validated in full.
func (s *Store) merge(ctx context.Context, change Change, current storedRecord) ([]byte, error) {
	if change.Base != current.Version {
		if err := s.checkMergeable(ctx, change, current); err != nil {
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

// checkMergeable returns nil if a change may be applied to a newer version than
// its base. This holds for a change of a team's subtree if neither that subtree
// nor the fleet's part, which all subtrees depend on, has changed since.
// Otherwise the error is a ConflictError, or ErrNotAccepted if the base cannot be
// read.
func (s *Store) checkMergeable(ctx context.Context, change Change, current storedRecord) error {
	base, err := s.table.version(ctx, change.Base)
	if errors.Is(err, ErrNoVersion) {
		return &ConflictError{Current: current.Summary(), Diff: "version " + change.Base.String() + " is not kept\n"}
	}
	if err != nil {
		return errors.Wrapf(ErrNotAccepted, "%v", err)
	}
	baseTree, currentTree := []byte(base.Tree), []byte(current.Tree)
	_, isTeam := change.Scope.Team()
	if isTeam && settings.SamePart(baseTree, currentTree, change.Scope) && settings.SamePart(baseTree, currentTree, settings.ScopeFleet) {
		return nil
	}
	return &ConflictError{
		Current: current.Summary(),
		Diff:    settings.Diff("version "+base.Version.String(), baseTree, "version "+current.Version.String(), currentTree),
	}
}

// environment returns the environment that a change of the current version is
// validated in.
func (s *Store) environment(current storedRecord) (settings.Environment, error) {
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

// Check validates a change against the current version in the table without
// accepting it. The base of the change is ignored.
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

// Version returns an accepted version from the table. Zero stands for the current
// version; if the table is unavailable, the newest version that this daemon has
// received is returned instead.
func (s *Store) Version(ctx context.Context, v settings.Version) (Record, error) {
	if v != 0 {
		return s.table.version(ctx, v)
	}
	current, err := s.table.current(ctx)
	if known := s.newest(); errors.Is(err, platform.ErrUnavailable) && known != nil {
		return *known, nil
	}
	return current.Record, err
}

// History returns the retained versions without their texts, newest first.
func (s *Store) History(ctx context.Context) ([]Record, error) { return s.table.history(ctx) }
