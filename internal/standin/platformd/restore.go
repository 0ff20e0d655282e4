package platformd

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// headerEra is the header of all responses of the store that names its era.
const headerEra = "Store-Era"

const (
	maxCopyAge    = 30 * time.Second // oldest moment to which the store can return
	registerDelay = time.Second      // after a restore, until instances are registered again
)

// Restoration is the body of a call to PathRestore.
type Restoration struct {
	// AgeMS is the age of the copy from which the store returns, in milliseconds.
	AgeMS int `json:"age_ms"`
}

// commit is the time of a transaction and the version that it gave the store.
type commit struct {
	at      time.Time
	version uint64
}

// objectWrite is a write of an object, with what is needed to revert it.
type objectWrite struct {
	at       time.Time
	name     string
	previous []byte
	existed  bool
}

// registration is the newest registration of an instance and its time.
type registration struct {
	at       time.Time
	instance platform.Instance
}

// Restore returns the store to a copy of the given age, at most 30 s: rows, objects,
// history and version are those of that moment, but what an earlier restore took back
// stays lost. The era rises by one. Versions of later transactions are given out again. Waiting calls end with status 503. Instances
// that were registered or removed since are so again a second later; rows written with
// PutRow and DeleteRow have to be written again by the caller.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.applyPending(now)
	copied := now.Add(-min(age, maxCopyAge))
	s.store.returnTo(copied)
	s.revertObjects(copied)
	s.era++
	for _, r := range s.registrations {
		if r.at.After(copied) {
			s.pending = append(s.pending, listChange{at: now.Add(registerDelay), instance: r.instance})
		}
	}
}

// Era returns the store's era: 1 at the start, raised by each restore.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// returnTo reverts all transactions after a time.
func (s *rowStore) returnTo(at time.Time) {
	kept := len(s.commits)
	for kept > 0 && s.commits[kept-1].at.After(at) {
		kept--
	}
	s.commits = s.commits[:kept]
	s.version = s.forgotten
	if kept > 0 {
		s.version = s.commits[kept-1].version
	}
	changes := s.changes
	s.rows, s.changes = map[rowName]Row{}, nil
	for _, row := range changes {
		if *row.Ver <= s.version {
			s.record(row)
		}
	}
}

// commit begins a transaction: it raises the version and notes the time.
func (s *rowStore) commit(now time.Time) {
	s.version++
	s.commits = append(s.commits, commit{at: now, version: s.version})
	for now.Sub(s.commits[0].at) > maxCopyAge {
		s.forgotten = s.commits[0].version
		s.commits = s.commits[1:]
	}
}

// noteObjectWrite remembers what a write of an object replaces. The caller must hold s.mu.
func (s *Server) noteObjectWrite(name string) {
	now := time.Now()
	previous, existed := s.objects[name]
	s.objectWrites = append(s.objectWrites, objectWrite{at: now, name: name, previous: previous, existed: existed})
	for now.Sub(s.objectWrites[0].at) > maxCopyAge {
		s.objectWrites = s.objectWrites[1:]
	}
}

// revertObjects reverts all writes of objects after a time. The caller must hold s.mu.
func (s *Server) revertObjects(at time.Time) {
	for len(s.objectWrites) > 0 {
		last := s.objectWrites[len(s.objectWrites)-1]
		if !last.at.After(at) {
			return
		}
		s.objectWrites = s.objectWrites[:len(s.objectWrites)-1]
		if last.existed {
			s.objects[last.name] = last.previous
		} else {
			delete(s.objects, last.name)
		}
	}
}

// setEra names the era in a response whose content was taken under the same lock. The
// caller must hold s.mu.
func (s *Server) setEra(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(headerEra, strconv.FormatUint(s.era, 10))
}
