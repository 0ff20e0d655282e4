package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// EvidenceKind names what a dispatcher saw of a server.
type EvidenceKind string

// Kinds of evidence.
const (
	EvidenceHealthy  EvidenceKind = "healthy"  // a request or a probe was answered
	EvidenceRefused  EvidenceKind = "refused"  // the connection was refused or reset
	EvidenceTimeout  EvidenceKind = "timeout"  // a probe was not answered in time
	EvidenceDraining EvidenceKind = "draining" // the server said that it is leaving
)

// Evidence is one observation of a server by its dispatcher.
type Evidence struct {
	Server model.ServerRef `json:"server"`
	Kind   EvidenceKind    `json:"kind"`
	At     time.Time       `json:"at"`
	Detail string          `json:"detail,omitempty"`
}
