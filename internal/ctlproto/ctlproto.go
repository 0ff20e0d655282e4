// Package ctlproto defines the control messages between coordinators and the
// agents of dispatchers. Each carries the term under which it was sent; one
// with an older term is refused, and the refusal carries the newer term.
package ctlproto

import (
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// Methods.
const (
	// MethodRenew is called by an agent at the coordinator of a pool.
	MethodRenew rpc.Method = "permit.renew"
	// MethodUpdate is called by a coordinator at an agent.
	MethodUpdate rpc.Method = "permit.update"
	// MethodOffer is called by a coordinator that releases a lease, at its successor.
	MethodOffer rpc.Method = "lease.offer"
)

// Refusal says why a message counted for nothing.
type Refusal struct {
	Code RefusalCode `json:"code"`
	// Term is the newest term that the refusing daemon knows.
	Term model.Term `json:"term"`
}

// RefusalCode names the reason of a refusal.
type RefusalCode string

// Codes of refusals.
const (
	StaleTerm      RefusalCode = "stale_term"
	NotCoordinator RefusalCode = "not_coordinator"
)

// Evidence is what a dispatcher saw of a server, with its age instead of a time
// on a foreign clock.
type Evidence struct {
	Server model.ServerID         `json:"server"`
	Kind   ownership.EvidenceKind `json:"kind"`
	AgeMS  int64                  `json:"age_ms"`
	Detail string                 `json:"detail,omitempty"`
}

// RenewRequest asks for permits and reports.
type RenewRequest struct {
	Pool     model.PoolName         `json:"pool"`
	Term     model.Term             `json:"term"`
	Ack      ownership.Ack          `json:"ack"`
	Evidence []Evidence             `json:"evidence,omitempty"`
	Loads    []ownership.LoadReport `json:"loads,omitempty"`
}

// RenewResponse confirms the version Seq as the newest.
type RenewResponse struct {
	Refusal *Refusal   `json:"refusal,omitempty"`
	Term    model.Term `json:"term"`
	Seq     model.Seq  `json:"seq"`
	// Update leads from the acknowledged version to Seq; absent when they are the same.
	Update *ownership.Delta `json:"update,omitempty"`
}

// UpdateRequest tells an agent an assignment that the table has.
type UpdateRequest struct {
	Pool   model.PoolName   `json:"pool"`
	Term   model.Term       `json:"term"`
	Update *ownership.Delta `json:"update"`
}

// UpdateResponse acknowledges what the agent applied.
type UpdateResponse struct {
	Refusal *Refusal      `json:"refusal,omitempty"`
	Ack     ownership.Ack `json:"ack"`
}

// OfferRequest tells a daemon that a pool's lease was released.
type OfferRequest struct {
	Pool model.PoolName `json:"pool"`
	Term model.Term     `json:"term"`
}

// OfferResponse is empty.
type OfferResponse struct{}
