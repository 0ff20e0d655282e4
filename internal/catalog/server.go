package catalog

import (
	"cmp"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Server is one process of a backend server, from its start to its end.
type Server struct {
	ID      model.ServerID
	Service model.PoolName
	Address string // ip:port
	Zone    model.Zone
	Slots   int // number of requests that the server can run at a time
	// Leaving says that the server is about to shut down and is to get no new work.
	Leaving bool
	// Deregistered says that the server's registration has been removed. The process
	// may still finish its work for a short time.
	Deregistered bool
	// LeavingSince is when this daemon first saw the server as leaving or deregistered.
	LeavingSince time.Time
	// StartedMS is the start of the process in Unix milliseconds. Another process
	// under the same id holds none of this one's keys.
	StartedMS int64
	// Sequence counts the reports of the process, from its start. Of two registrations of
	// one process, the one with the higher sequence is the newer one.
	Sequence uint64
	// WarmUpUntil is the time, by this daemon's clock, until which the server is slow
	// because it was started recently.
	WarmUpUntil time.Time
}

// SameProcess reports whether both describe the same process. It is false if other
// is nil.
func (s *Server) SameProcess(other *Server) bool {
	return other != nil && s.ID == other.ID && s.StartedMS == other.StartedMS && s.Address == other.Address
}

// NewerThan reports whether s is a newer registration of the same server than other: one
// of a later process, or a later one of the same process.
func (s *Server) NewerThan(other *Server) bool {
	return cmp.Or(cmp.Compare(s.StartedMS, other.StartedMS), cmp.Compare(s.Sequence, other.Sequence)) > 0
}
