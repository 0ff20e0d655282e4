package follow

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// modelStore is a model of the store: the current records, and all changes in order.
type modelStore struct {
	records  map[string]platform.Record
	changes  []platform.Record
	revision platform.Revision
}

func (s *modelStore) change(name string, deleted bool) {
	s.revision++
	record := platform.Record{Name: name, Revision: s.revision, Deleted: deleted}
	if deleted {
		delete(s.records, name)
	} else {
		record.Value = []byte(fmt.Sprint(s.revision))
		s.records[name] = record
	}
	s.changes = append(s.changes, record)
}

// full returns the update for a read of the whole collection.
func (s *modelStore) full() update {
	u := update{Full: true, Revision: s.revision}
	for _, r := range s.records {
		u.Records = append(u.Records, wireRecord(r))
	}
	return u
}

// changesAfter returns the update with all changes after a revision.
func (s *modelStore) changesAfter(have platform.Revision) update {
	u := update{Revision: s.revision}
	for _, r := range s.changes {
		if r.Revision > have {
			u.Records = append(u.Records, wireRecord(r))
		}
	}
	return u
}

// mustAgree fails the test unless the replica has the records of the store and no others.
func mustAgree(t *rapid.T, s *modelStore, r *replica) {
	for name, record := range s.records {
		copied, ok := r.get(name)
		must.True(t, ok)
		must.Eq(t, record, copied)
	}
	for name := range r.records {
		if _, listed := s.records[name]; !listed {
			_, ok := r.get(name)
			must.False(t, ok)
		}
	}
}

// Replicas apply full updates and changes, from the store or from each other, in any order
// and also late. Whenever a replica has reached the store's revision, it must have the
// store's records.
func TestReplicasAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{records: map[string]platform.Record{}}
		first, second := newReplica(), newReplica()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			case 2:
				first.apply(s.full())
			case 3:
				if first.completeUpTo() > 0 {
					first.apply(s.changesAfter(first.completeUpTo()))
				}
			case 4:
				if first.completeUpTo() > 0 {
					second.apply(first.since(second.completeUpTo()))
				}
			case 5: // an answer arrives late, with an old revision
				second.apply(update{Full: true, Revision: second.completeUpTo() / 2})
			}
			if s.revision > 0 && first.completeUpTo() == s.revision {
				mustAgree(t, s, first)
			}
			if s.revision > 0 && second.completeUpTo() == s.revision {
				mustAgree(t, s, second)
			}
		}
	})
}

func TestReplicaIgnoresOlderUpdate(t *testing.T) {
	r := newReplica()
	r.apply(update{Full: true, Revision: 5, Records: []wireRecord{{Name: "a", Value: []byte("5"), Revision: 5}}})
	must.SliceEmpty(t, r.apply(update{Full: true, Revision: 4, Records: []wireRecord{{Name: "a", Value: []byte("3"), Revision: 3}}}))
	record, _ := r.get("a")
	must.Eq(t, "5", string(record.Value))
}

func TestOwnWriteSurvivesOlderFullUpdate(t *testing.T) {
	r := newReplica()
	r.applyWrite(platform.Record{Name: "own", Value: []byte("9"), Revision: 9})
	r.apply(update{Full: true, Revision: 7})
	_, ok := r.get("own")
	must.True(t, ok)
}
