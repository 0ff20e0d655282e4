package follow

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// replica is this daemon's copy of one collection. Deleted records stay in it as
// tombstones (Deleted). It is safe for concurrent use.
type replica struct {
	// keepAcrossEras says that records which are missing after the store came back from
	// an older copy stay in the copy: their writers write them again.
	keepAcrossEras bool

	mu       sync.Mutex
	records  map[string]platform.Record
	floor    platform.Position // all changes after it are in records, deletions included, but see gaps
	gaps     []gap             // in ascending order, at most maxGaps
	position platform.Position // all changes up to it are in records; zero before the first read
	firstEra platform.Era      // of the first update, 0 before
}

// gap is a time whose changes a copy knows only by their result, since it was read in full at
// the end: that of records which were written and deleted in between is not known. A copy that
// is complete up to the begin lacks none of these; one in between may have them.
type gap struct {
	begin, end platform.Position
}

// maxGaps bounds the gaps that a copy remembers.
const maxGaps = 16

// update is the difference that brings the copy of one collection up to its position.
type update struct {
	// Full says that Records is the whole collection: all other records are deleted.
	Full    bool         `json:"full,omitempty"`
	Records []wireRecord `json:"records,omitempty"`
	// Since says, unless it is zero or Full, that Records has all records that were written
	// after it and exist: others of these are deleted.
	Since platform.Position `json:"since,omitzero"`
	// Packed holds compressed values by name, of records whose Value is left out.
	Packed map[string][]byte `json:"packed,omitempty"`
	platform.Position
}

// wireRecord is a platform.Record as daemons send it to each other, with the value in
// base64. The encoded name of Deleted, "gone", is kept for daemons of other builds.
type wireRecord struct {
	Name  string `json:"name"`
	Value []byte `json:"value,omitempty"`
	platform.Position
	Deleted bool `json:"gone,omitempty"`
}

// change is a record that an update changed in a copy.
type change struct {
	platform.Record
	// acrossEras says that the copy's record was of an earlier era. The change then may
	// be older than what it replaces: it may only show that the store has come back
	// from an older copy.
	acrossEras bool
	// notBefore is a time up to which the copy was complete without the change, zero if there
	// was no copy. It is earlier than what markComplete recorded, by the longest time of the
	// answers on their way: that counts a copy as complete as of their receipt.
	notBefore time.Time
}

// applied is the outcome of an update.
type applied struct {
	changes []change
	// newEra says that the update began an era for the copy, which was complete up to
	// previous until then.
	newEra   bool
	previous platform.Position
}

func newReplica(keepAcrossEras bool) *replica {
	return &replica{keepAcrossEras: keepAcrossEras, records: map[string]platform.Record{}}
}

// completeUpTo returns the position up to which the copy has all changes, zero before the
// first read.
func (r *replica) completeUpTo() platform.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// followedSince returns the era of the first update, 0 before it.
func (r *replica) followedSince() platform.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstEra
}

// since returns the update for a copy that is complete up to the given position. It is a
// full one if that position is below the floor, in a gap or of an earlier era, and an empty
// one if that position is of a later era.
func (r *replica) since(have platform.Position) update {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := update{Position: r.position}
	if have.Era > r.position.Era {
		return u
	}
	u.Full = have.Era < r.position.Era || have.Before(r.floor) || r.inGap(have)
	if !u.Full {
		u.Since = have
	}
	for _, record := range r.records {
		if u.Full && record.Deleted || !u.Full && !record.After(have) {
			continue
		}
		u.Records = append(u.Records, wireRecord(record))
	}
	sort.Slice(u.Records, func(i, j int) bool { return u.Records[i].Before(u.Records[j].Position) })
	return u
}

// inGap reports whether a position is in a gap. The caller holds r.mu.
func (r *replica) inGap(p platform.Position) bool {
	return slices.ContainsFunc(r.gaps, func(g gap) bool { return g.begin.Before(p) && p.Before(g.end) })
}

// addGap records that the copy has been read in full at a position. The first read, and the
// first one of an era, set the floor. The caller holds r.mu.
func (r *replica) addGap(end platform.Position) {
	if r.position.IsZero() || r.position.Era != end.Era {
		r.floor, r.gaps = end, nil
		return
	}
	if r.position.Before(end) {
		r.gaps = append(r.gaps, gap{begin: r.position, end: end})
	}
	if len(r.gaps) > maxGaps {
		r.floor = r.gaps[0].end
		r.gaps = slices.Delete(r.gaps, 0, 1)
	}
}

// apply applies an update. An update older than the copy is ignored, as is a partial one
// of a later era: the copy then has to be read in full.
func (r *replica) apply(u update) applied {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Before(r.position) || (!u.Full && u.Era > r.position.Era && !r.position.IsZero()) {
		return applied{previous: r.position}
	}
	result := applied{newEra: u.Era > r.position.Era, previous: r.position}
	if r.firstEra == 0 {
		r.firstEra = u.Era
	}
	result.changes = r.merge(u.Records)
	if u.Full || !u.Since.IsZero() {
		result.changes = append(result.changes, r.deleteUnlisted(u)...)
	}
	if u.Full {
		r.addGap(u.Position)
	}
	r.position = u.Position
	return result
}

// applyWrite applies one record that this daemon wrote itself and returns the change if it
// is newer than the copy's. The copy's position stays, because other changes made before
// the record may still be missing.
func (r *replica) applyWrite(record platform.Record) []change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.merge([]wireRecord{wireRecord(record)})
}

// merge stores the records that are newer than the copy's and returns the changes. The
// caller holds r.mu.
func (r *replica) merge(records []wireRecord) []change {
	var changes []change
	for _, record := range records {
		known, ok := r.records[record.Name]
		if ok && !record.After(known.Position) {
			continue
		}
		r.records[record.Name] = platform.Record(record)
		changes = append(changes, change{Record: platform.Record(record), acrossEras: ok && known.Era < record.Era})
	}
	return changes
}

// deleteUnlisted marks the records that an update doesn't list as deleted and returns these
// changes. One that is listed with an earlier change was written and deleted again in a gap.
// Records newer than the update stay, and so do those that were not written after
// Since, unless it is full. The caller holds r.mu.
func (r *replica) deleteUnlisted(u update) []change {
	listed := map[string]platform.Position{}
	for _, record := range u.Records {
		listed[record.Name] = record.Position
	}
	var deleted []change
	for name, record := range r.records {
		acrossEras := record.Era < u.Era
		if at, ok := listed[name]; (ok && !record.After(at)) || record.Deleted || record.After(u.Position) || (acrossEras && r.keepAcrossEras) {
			continue
		}
		if !u.Full && !record.After(u.Since) {
			continue
		}
		tombstone := platform.Record{Name: name, Position: u.Position, Deleted: true}
		r.records[name] = tombstone
		deleted = append(deleted, change{Record: tombstone, acrossEras: acrossEras})
	}
	return deleted
}

// record returns a record or its tombstone, or false when there is neither.
func (r *replica) record(name string) (platform.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[name]
	return record, ok
}

// get returns a record, or false when there is none or it is deleted.
func (r *replica) get(name string) (platform.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[name]
	return record, ok && !record.Deleted
}
