package catalog

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Server is one life of a backend server.
type Server struct {
	ID      model.ServerID
	Service model.PoolName
	Address string // ip:port
	Zone    model.Zone
	Slots   int
	// Leaving says that the server ends soon and takes no new work.
	Leaving bool
	// Deregistered says that the server is not registered any more. It may still work for
	// a short time.
	Deregistered bool
	// LeavingSince is when this daemon learned that the server leaves or is gone.
	LeavingSince time.Time
	// StartedMS is the start of this life in Unix milliseconds. Another life under the
	// same id holds nothing of this one.
	StartedMS int64
	// WarmUpUntil is the end of the slow time after the start, by this daemon's clock.
	WarmUpUntil time.Time
}

// SameProcess reports that both describe the same process.
func (s *Server) SameProcess(other *Server) bool {
	return other != nil && s.ID == other.ID && s.StartedMS == other.StartedMS && s.Address == other.Address
}
