package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// EvidenceKind is what a dispatcher observed of a server.
type EvidenceKind string

// Kinds of evidence.
const (
	EvidenceHealthy  EvidenceKind = "healthy"  // the server answered a request or a probe
	EvidenceRefused  EvidenceKind = "refused"  // the server refused or reset the connection
	EvidenceTimeout  EvidenceKind = "timeout"  // a probe timed out
	EvidenceDraining EvidenceKind = "draining" // the server announced that it drains
)

// Evidence is one observation of a server's health by its dispatcher.
type Evidence struct {
	Server model.ServerRef `json:"server"`
	Kind   EvidenceKind    `json:"kind"`
	At     time.Time       `json:"at"`
	Detail string          `json:"detail,omitempty"` // what was observed, as text, such as the error
}
