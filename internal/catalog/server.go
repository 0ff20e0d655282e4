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
	// Gone says that the server is not registered any more. It may still work for
	// a short time.
	Gone bool
	// LeavingSince is when this daemon learned that the server leaves or is gone.
	LeavingSince time.Time
	// Born is the start of this life in Unix milliseconds. Another life under the
	// same id holds nothing of this one.
	Born int64
	// WarmUntil is the end of the slow time after the start, by this daemon's clock.
	WarmUntil time.Time
}

// SameLife reports that both describe the same process.
func (s *Server) SameLife(other *Server) bool {
	return other != nil && s.ID == other.ID && s.Born == other.Born && s.Address == other.Address
}
