package follow

import (
	"sort"
	"sync"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// replica is a copy of one collection. It is safe for concurrent use.
type replica struct {
	mu       sync.Mutex
	records  map[string]platform.Record
	floor    platform.Revision // changes after it are kept, dropped records included
	revision platform.Revision // the copy is complete up to here
}

// update is what one collection's copy needs to catch up.
type update struct {
	// Full says that records which are not listed are gone.
	Full     bool              `json:"full,omitempty"`
	Records  []wireRecord      `json:"records,omitempty"`
	Revision platform.Revision `json:"revision"`
}

// wireRecord is a record between daemons. A value may be any bytes.
type wireRecord struct {
	Name     string            `json:"name"`
	Value    []byte            `json:"value,omitempty"`
	Revision platform.Revision `json:"revision"`
	Gone     bool              `json:"gone,omitempty"`
}

func newReplica() *replica { return &replica{records: map[string]platform.Record{}} }

// known returns the revision up to which the copy is complete; zero is never.
func (r *replica) known() platform.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// since returns what a copy that is complete up to a revision lacks.
func (r *replica) since(have platform.Revision) update {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := update{Revision: r.revision, Full: have < r.floor}
	for _, record := range r.records {
		if u.Full && record.Gone || !u.Full && record.Revision <= have {
			continue
		}
		u.Records = append(u.Records, wireRecord(record))
	}
	sort.Slice(u.Records, func(i, j int) bool { return u.Records[i].Revision < u.Records[j].Revision })
	return u
}

// apply takes an update and returns the records that changed by it. An update
// that is older than the copy changes nothing.
func (r *replica) apply(u update) []platform.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Revision < r.revision {
		return nil
	}
	changed := r.merge(u.Records)
	if u.Full {
		changed = append(changed, r.dropUnlisted(u)...)
		r.floor = u.Revision
	}
	r.revision = u.Revision
	return changed
}

// learn takes one record that this daemon wrote itself. The copy's revision
// stays: other changes before the record may be missing.
func (r *replica) learn(record platform.Record) []platform.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.merge([]wireRecord{wireRecord(record)})
}

// merge runs under the lock.
func (r *replica) merge(records []wireRecord) []platform.Record {
	var changed []platform.Record
	for _, record := range records {
		held, ok := r.records[record.Name]
		if ok && held.Revision >= record.Revision {
			continue
		}
		r.records[record.Name] = platform.Record(record)
		changed = append(changed, platform.Record(record))
	}
	return changed
}

// dropUnlisted marks as gone what a full update no longer lists. It runs under the lock.
func (r *replica) dropUnlisted(u update) []platform.Record {
	listed := map[string]struct{}{}
	for _, record := range u.Records {
		listed[record.Name] = struct{}{}
	}
	var dropped []platform.Record
	for name, record := range r.records {
		if _, ok := listed[name]; ok || record.Gone || record.Revision > u.Revision {
			continue
		}
		gone := platform.Record{Name: name, Revision: u.Revision, Gone: true}
		r.records[name] = gone
		dropped = append(dropped, gone)
	}
	return dropped
}

// get returns a record that is not gone.
func (r *replica) get(name string) (platform.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[name]
	return record, ok && !record.Gone
}
