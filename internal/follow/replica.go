package follow

import (
	"sort"
	"sync"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// replica is this daemon's copy of one collection. Deleted records stay in it as
// tombstones (Deleted). It is safe for concurrent use.
type replica struct {
	mu       sync.Mutex
	records  map[string]platform.Record
	floor    platform.Revision // all changes after it are in records, deletions included
	revision platform.Revision // all changes up to it are in records; 0 before the first read
}

// update is the difference that brings the copy of one collection up to Revision.
type update struct {
	// Full says that Records is the whole collection: all other records are deleted.
	Full     bool              `json:"full,omitempty"`
	Records  []wireRecord      `json:"records,omitempty"`
	Revision platform.Revision `json:"revision"`
}

// wireRecord is a platform.Record as daemons send it to each other, with the value in
// base64. The encoded name of Deleted, "gone", is kept for daemons of other builds.
type wireRecord struct {
	Name     string            `json:"name"`
	Value    []byte            `json:"value,omitempty"`
	Revision platform.Revision `json:"revision"`
	Deleted  bool              `json:"gone,omitempty"`
}

func newReplica() *replica { return &replica{records: map[string]platform.Record{}} }

// completeUpTo returns the revision up to which the copy has all changes, 0 before the
// first read.
func (r *replica) completeUpTo() platform.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// since returns the update for a copy that is complete up to the given revision. It is a
// full one if that revision is below the floor.
func (r *replica) since(have platform.Revision) update {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := update{Revision: r.revision, Full: have < r.floor}
	for _, record := range r.records {
		if u.Full && record.Deleted || !u.Full && record.Revision <= have {
			continue
		}
		u.Records = append(u.Records, wireRecord(record))
	}
	sort.Slice(u.Records, func(i, j int) bool { return u.Records[i].Revision < u.Records[j].Revision })
	return u
}

// apply applies an update and returns the records that changed. An update older than
// the copy is ignored.
func (r *replica) apply(u update) []platform.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Revision < r.revision {
		return nil
	}
	changed := r.merge(u.Records)
	if u.Full {
		changed = append(changed, r.deleteUnlisted(u)...)
		r.floor = u.Revision
	}
	r.revision = u.Revision
	return changed
}

// applyWrite applies one record that this daemon wrote itself and returns it if it is
// newer than the copy's. The copy's revision stays, because other changes made before
// the record may still be missing.
func (r *replica) applyWrite(record platform.Record) []platform.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.merge([]wireRecord{wireRecord(record)})
}

// merge stores the records that are newer than the copy's and returns them. The caller
// holds r.mu.
func (r *replica) merge(records []wireRecord) []platform.Record {
	var changed []platform.Record
	for _, record := range records {
		known, ok := r.records[record.Name]
		if ok && known.Revision >= record.Revision {
			continue
		}
		r.records[record.Name] = platform.Record(record)
		changed = append(changed, platform.Record(record))
	}
	return changed
}

// deleteUnlisted marks the records that a full update doesn't list as deleted and returns
// them. Records newer than the update stay. The caller holds r.mu.
func (r *replica) deleteUnlisted(u update) []platform.Record {
	listed := map[string]struct{}{}
	for _, record := range u.Records {
		listed[record.Name] = struct{}{}
	}
	var deleted []platform.Record
	for name, record := range r.records {
		if _, ok := listed[name]; ok || record.Deleted || record.Revision > u.Revision {
			continue
		}
		tombstone := platform.Record{Name: name, Revision: u.Revision, Deleted: true}
		r.records[name] = tombstone
		deleted = append(deleted, tombstone)
	}
	return deleted
}

// get returns a record, or false when there is none or it is deleted.
func (r *replica) get(name string) (platform.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[name]
	return record, ok && !record.Deleted
}
