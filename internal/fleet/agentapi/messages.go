package agentapi

import (
	"encoding/json"

	"coralrelay/balance"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/fleet/slo"
)

// The JSON keys of messages are older than the names here and stay as they are: nodes, agents and
// operators' commands of two versions talk during a rollout. An end that does not know a field
// leaves it out or ignores it.

// Report is what a node sends to its agent, every ReportInterval and at once after a Response with
// More.
type Report struct {
	balance.QuotaUsage
	TableIndex         uint64 `json:"table,omitempty"`  // of the table of routes that the node has
	PartialTableIndex  uint64 `json:"toward,omitempty"` // of the one that it is receiving,
	TablePartsReceived int    `json:"part,omitempty"`   // of which it has so many parts

	LeaseNumber         uint64 `json:"deal,omitempty"`  // of the lease that it has, in part or complete,
	LeasePartsReceived  int    `json:"piece,omitempty"` // of which it has so many parts
	CompleteLeaseNumber uint64 `json:"even,omitempty"`  // of the last that it has complete

	Usage            *account.Usage `json:"uses,omitempty"`      // what it has used, without member and time
	Samples          []slo.Sample   `json:"samples,omitempty"`   // response times by contract, of the slots that are over
	ContractsVersion uint64         `json:"contracts,omitempty"` // of those that the node measures
}

// Response is what the agent answers to a Report.
//
// The table of routes comes as changes to the one that the node has, a lease complete; either in
// parts where it is long, one with each response. A lease's even shares are left out where they
// are those of the lease that the node has.
type Response struct {
	balance.QuotaLease
	Table      *routeupdate.Update `json:"table,omitempty"` // a part of the update; nil for none
	TableParts int                 `json:"parts,omitempty"` // how many the update has in all

	Lease       *account.QuotaLease `json:"rights,omitempty"` // a part of the lease; nil for none
	LeaseNumber uint64              `json:"deal,omitempty"`
	LeaseParts  int                 `json:"pieces,omitempty"` // how many the lease has in all

	More      bool          `json:"more,omitempty"`     // there are further parts: the node is to report at once
	Contracts *ContractList `json:"promised,omitempty"` // nil for as before
}

// OperatorRequest is what operators send: the method is "state", "record" (all that the replicated
// log holds), "check" or "propose", the last two with an entry. Nodes' lines have no method.
type OperatorRequest struct {
	Method string          `json:"ask"`
	Entry  json.RawMessage `json:"entry,omitempty"`
}

// CallError is the answer to a request that the agent rejects, and the error that Call makes of it.
type CallError struct {
	Message        string `json:"error"`
	OutcomeUnknown bool   `json:"unknown,omitempty"` // what was requested may have been done, or may yet be
}

func (e *CallError) Error() string { return e.Message }
