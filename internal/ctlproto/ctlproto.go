// Package ctlproto defines the control messages between the coordinators of
// pools and the agents of dispatchers. Each message carries the term in which
// it was sent. A message of an older term is refused, and the refusal carries
// the newer term.
package ctlproto

import (
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// RPC methods.
const (
	// MethodRenew is called by an agent on the coordinator of a pool.
	MethodRenew rpc.Method = "permit.renew"
	// MethodUpdate is called by a coordinator on an agent.
	MethodUpdate rpc.Method = "permit.update"
	// MethodOffer is called by a coordinator that releases a lease, on its
	// successor.
	MethodOffer rpc.Method = "lease.offer"
)

// Refusal is the reason why a message was not processed.
type Refusal struct {
	Code RefusalCode `json:"code"`
	// Term is the newest term that the refusing daemon has seen.
	Term model.Term `json:"term"`
}

// RefusalCode is the machine-readable reason of a refusal.
type RefusalCode string

// Codes of refusals: the message's term is not the present one, or its receiver
// is not the pool's coordinator.
const (
	StaleTerm      RefusalCode = "stale_term"
	NotCoordinator RefusalCode = "not_coordinator"
)

// Evidence is an ownership.Evidence on the wire. It carries its age in
// milliseconds, since the clocks of two daemons cannot be compared.
type Evidence struct {
	Server model.ServerID         `json:"server"`
	Kind   ownership.EvidenceKind `json:"kind"`
	AgeMS  int64                  `json:"age_ms"`
	Detail string                 `json:"detail,omitempty"`
}

// RenewRequest asks for a renewal of the permits of one pool and reports
// acknowledgement, evidence and loads.
type RenewRequest struct {
	Pool     model.PoolName         `json:"pool"`
	Term     model.Term             `json:"term"`
	Ack      ownership.Ack          `json:"ack"`
	Evidence []Evidence             `json:"evidence,omitempty"`
	Loads    []ownership.LoadReport `json:"loads,omitempty"`
}

// RenewResponse confirms that Seq is the newest version, unless Refusal is set.
type RenewResponse struct {
	Refusal *Refusal   `json:"refusal,omitempty"`
	Term    model.Term `json:"term"`
	Seq     model.Seq  `json:"seq"`
	// Update is the delta from the acknowledged version to Seq; absent when the
	// two are the same.
	Update *ownership.Delta `json:"update,omitempty"`
}

// UpdateRequest sends an agent an assignment that has been written to the
// table.
type UpdateRequest struct {
	Pool   model.PoolName   `json:"pool"`
	Term   model.Term       `json:"term"`
	Update *ownership.Delta `json:"update"`
}

// UpdateResponse acknowledges the assignment that the agent has applied, unless
// Refusal is set.
type UpdateResponse struct {
	Refusal *Refusal      `json:"refusal,omitempty"`
	Ack     ownership.Ack `json:"ack"`
}

// OfferRequest notifies a daemon that a pool's lease was released.
type OfferRequest struct {
	Pool model.PoolName `json:"pool"`
	Term model.Term     `json:"term"`
}

// OfferResponse is the empty response to an OfferRequest.
type OfferResponse struct{}
