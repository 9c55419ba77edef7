package agentapi

import (
	"encoding/json"

	"coralrelay/balance"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/fleet/slo"
)

// The JSON keys of the messages must not change, although they differ from the names of the Go
// fields: during a rollout, nodes, agents and operators' commands of two versions exchange messages.
// A sender omits fields that it does not support, and a receiver ignores unknown ones.

// Report is the message that a node sends to its agent every ReportInterval, and immediately after a
// Response with More set.
type Report struct {
	balance.QuotaUsage
	TableIndex         uint64 `json:"table,omitempty"`  // index of the node's current route table
	PartialTableIndex  uint64 `json:"toward,omitempty"` // index of the route table being received
	TablePartsReceived int    `json:"part,omitempty"`   // parts received of PartialTableIndex

	LeaseNumber         uint64 `json:"deal,omitempty"`  // number of the latest lease, partial or complete
	LeasePartsReceived  int    `json:"piece,omitempty"` // parts received of LeaseNumber
	CompleteLeaseNumber uint64 `json:"even,omitempty"`  // number of the latest complete lease

	Usage            *account.Usage `json:"uses,omitempty"`      // the node's usage, without member and time
	Samples          []slo.Sample   `json:"samples,omitempty"`   // response times of completed slots
	ContractsVersion uint64         `json:"contracts,omitempty"` // version of the ContractList in use
}

// Response is the agent's response to a Report.
//
// The route table is sent as changes to the node's current table, a lease is sent in full. If either
// is too long for one response, it is split into parts and each response carries one part. The even
// shares of a lease are omitted if they equal those of the lease that the node holds.
type Response struct {
	balance.QuotaLease
	Table      *routeupdate.Update `json:"table,omitempty"` // one part of the update; nil for none
	TableParts int                 `json:"parts,omitempty"` // total number of parts of the update

	Lease       *account.QuotaLease `json:"rights,omitempty"` // one part of the lease; nil for none
	LeaseNumber uint64              `json:"deal,omitempty"`
	LeaseParts  int                 `json:"pieces,omitempty"` // total number of parts of the lease

	More      bool          `json:"more,omitempty"`     // more parts follow: the node must report immediately
	Contracts *ContractList `json:"promised,omitempty"` // nil if unchanged

	Size int `json:"-"` // bytes of the line in which the response arrived
}

// OperatorRequest is the message that operators' commands send. The method is "state", "record" (the
// full content of the replicated log), "check" or "propose"; the last two take an entry. A line from
// a node has no method.
type OperatorRequest struct {
	Method string          `json:"ask"`
	Entry  json.RawMessage `json:"entry,omitempty"`
}

// CallError is the agent's response to a request that it rejects. Call returns it as an error.
type CallError struct {
	Message        string `json:"error"`
	OutcomeUnknown bool   `json:"unknown,omitempty"` // the request may have taken effect, or may still do so
}

func (e *CallError) Error() string { return e.Message }
