package follow

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// source is the store as a model: all changes in order.
type source struct {
	records  map[string]platform.Record
	changes  []platform.Record
	revision platform.Revision
}

func (s *source) change(name string, gone bool) {
	s.revision++
	record := platform.Record{Name: name, Revision: s.revision, Gone: gone}
	if gone {
		delete(s.records, name)
	} else {
		record.Value = []byte(fmt.Sprint(s.revision))
		s.records[name] = record
	}
	s.changes = append(s.changes, record)
}

func (s *source) full() update {
	u := update{Full: true, Revision: s.revision}
	for _, r := range s.records {
		u.Records = append(u.Records, wireRecord(r))
	}
	return u
}

func (s *source) after(have platform.Revision) update {
	u := update{Revision: s.revision}
	for _, r := range s.changes {
		if r.Revision > have {
			u.Records = append(u.Records, wireRecord(r))
		}
	}
	return u
}

func same(t *rapid.T, s *source, r *replica) {
	for name, record := range s.records {
		held, ok := r.get(name)
		must.True(t, ok)
		must.Eq(t, record, held)
	}
	for name := range r.records {
		if _, listed := s.records[name]; !listed {
			_, ok := r.get(name)
			must.False(t, ok)
		}
	}
}

// However copies catch up, from the store or from each other, whole or by
// changes, they agree with the store once they have its revision.
func TestReplicasAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &source{records: map[string]platform.Record{}}
		first, second := newReplica(), newReplica()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			case 2:
				first.apply(s.full())
			case 3:
				if first.known() > 0 {
					first.apply(s.after(first.known()))
				}
			case 4:
				if first.known() > 0 {
					second.apply(first.since(second.known()))
				}
			case 5: // an old answer comes late
				second.apply(update{Full: true, Revision: second.known() / 2})
			}
			if s.revision > 0 && first.known() == s.revision {
				same(t, s, first)
			}
			if s.revision > 0 && second.known() == s.revision {
				same(t, s, second)
			}
		}
	})
}

func TestAReplicaNeverGoesBack(t *testing.T) {
	r := newReplica()
	r.apply(update{Full: true, Revision: 5, Records: []wireRecord{{Name: "a", Value: []byte("5"), Revision: 5}}})
	must.SliceEmpty(t, r.apply(update{Full: true, Revision: 4, Records: []wireRecord{{Name: "a", Value: []byte("3"), Revision: 3}}}))
	record, _ := r.get("a")
	must.Eq(t, "5", string(record.Value))
}

func TestALearnedRecordSurvivesAnOlderFullRead(t *testing.T) {
	r := newReplica()
	r.learn(platform.Record{Name: "own", Value: []byte("9"), Revision: 9})
	r.apply(update{Full: true, Revision: 7})
	_, ok := r.get("own")
	must.True(t, ok)
}
