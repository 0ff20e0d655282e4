package settingstore

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// The store may come back from an older copy, which begins its next era. Each era has a
// row of its own for the current version. A version that the copy lacks is written again
// by a daemon that knows it, unless other changes were accepted first.

// versionsLeftOut is the number of versions that the first change of an era leaves out,
// so that no version that the store has lost is given out again.
const versionsLeftOut = 100

// newestEra is the newest era of the store that a table has heard of.
type newestEra struct{ era atomic.Uint64 }

func (n *newestEra) get() platform.Era { return max(platform.Era(n.era.Load()), platform.FirstEra) }

// set records an era that is later than those before.
func (n *newestEra) set(era platform.Era) { n.era.Store(uint64(era)) }

// nextVersion returns the version that follows the current one.
func (s *storedRecord) nextVersion() settings.Version {
	if s.acceptedBefore() {
		return s.Version + 1 + versionsLeftOut
	}
	return s.Version + 1
}

// acceptedBefore reports whether the current version was accepted in an earlier era, so
// that the store may have lost later ones.
func (s *storedRecord) acceptedBefore() bool {
	return max(s.Record.Era, platform.FirstEra) < s.era
}

// currentVersion returns the current version with its text. If it is of an older copy, the
// newest version that this daemon knows is written to the row of the era first.
func (s *Store) currentVersion(ctx context.Context) (storedRecord, error) {
	current, err := s.table.current(ctx)
	if err != nil {
		return storedRecord{}, err
	}
	newest := current.Record
	if known := s.newest(); known != nil && known.WriteID != current.WriteID {
		if !current.acceptedBefore() {
			s.checkLost(ctx, current, known)
			return current, nil
		}
		if known.Version > current.Version {
			newest = *known
		}
	}
	if current.rowVersion != 0 && newest.WriteID == current.WriteID {
		return current, nil
	}
	if err := s.table.replace(ctx, current, newest); err != nil {
		return storedRecord{}, err
	}
	s.log.Warn("settings version written again: the store came back from an older copy", zap.String("step", "settings"), zap.String("peer", "platform"),
		zap.Uint64("version", uint64(newest.Version)), zap.Uint64("version_of_copy", uint64(current.Version)), zap.Uint64("era", uint64(current.era)))
	return s.table.current(ctx)
}

// checkLost reports a version of an earlier era that is in force here and that the store
// has lost, when another one was accepted first in this era: it takes its place.
func (s *Store) checkLost(ctx context.Context, current storedRecord, known *Record) {
	if max(known.Era, platform.FirstEra) >= current.era || known.Version >= current.Version {
		return
	}
	kept, err := s.table.version(ctx, known.Version)
	if err != nil && !errors.Is(err, ErrNoVersion) || err == nil && kept.WriteID == known.WriteID {
		return
	}
	s.log.Error("the store has lost an accepted settings version, and another one was accepted since; the lost change must be made again",
		zap.String("step", "settings"), zap.String("peer", "platform"), zap.Uint64("lost_version", uint64(known.Version)),
		zap.String("author", known.Author), zap.String("scope", known.Scope.String()), zap.Uint64("version", uint64(current.Version)))
	s.journal.Add(journal.Event{
		Kind:    journal.SettingsLost,
		Subject: "version " + known.Version.String(),
		Cause:   "the store came back from an older copy; " + known.Scope.String() + " changed by " + known.Author + " must be changed again",
	})
}
