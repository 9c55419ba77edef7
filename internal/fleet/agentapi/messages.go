// Package link is how a node and the fleet agent beside it talk: the node tells what it
// has spent, the agent answers with what it may spend now, a line of JSON each over a
// loopback connection. The agent is a process of its own, so that the node stays lean and
// goes on alone when it is gone. Operators ask on the same port. Nothing is decided here.
package agentapi

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/fleet/slo"
)

// Longest is how long a line may be, in bytes: some ten thousand next hops.
const MaxLineBytes = 2 << 20

// patience is how long an answer may take before the node connects anew.
const responseTimeout = time.Second

// Said is what a node tells its agent, and Told what it is answered. An end that does not
// know a field leaves it out or passes over it.
//
// The table of routes comes as changes to the one that the node has, rights whole; either in
// parts where it is long, one with each answer. A deal's even parts are left out where they are
// those of the deal that the node had.
type (
	Report struct {
		balance.QuotaUsage
		TableIndex          uint64         `json:"table,omitempty"`     // index of the table that the node has
		PartialTableIndex   uint64         `json:"toward,omitempty"`    // of the one that it is being told,
		TablePartsReceived  int            `json:"part,omitempty"`      // of which it has so many parts
		LeaseNumber         uint64         `json:"deal,omitempty"`      // number of the deal that it has, in part or whole,
		LeasePartsReceived  int            `json:"piece,omitempty"`     // of which it has so many parts
		CompleteLeaseNumber uint64         `json:"even,omitempty"`      // the last that it has whole
		Usage               *account.Usage `json:"uses,omitempty"`      // what it has used, without member and time
		Samples             []slo.Sample   `json:"samples,omitempty"`   // response times by contract, of the parts of time that are over
		ContractsVersion    uint64         `json:"contracts,omitempty"` // version of those that the node counts by
	}
	Response struct {
		balance.QuotaLease
		Table       *routeupdate.Update `json:"table,omitempty"`    // nil for no news
		TableParts  int                 `json:"parts,omitempty"`    // of the table's news, all told
		Lease       *account.QuotaLease `json:"rights,omitempty"`   // nil for no news
		LeaseNumber uint64              `json:"deal,omitempty"`     // their number
		LeaseParts  int                 `json:"pieces,omitempty"`   // of the deal, all told
		More        bool                `json:"more,omitempty"`     // is to be asked for at once
		Contracts   *ContractList       `json:"promised,omitempty"` // nil for as before
	}
)

// Ask is what operators ask an agent: "state", "record", "check" or "propose", the last
// two about an entry. Nodes' lines have no ask.
type OperatorRequest struct {
	Method string          `json:"ask"`
	Entry  json.RawMessage `json:"entry,omitempty"`
}

// Refusal is the answer to an ask that can't be done, and the error that Call makes of it.
type CallError struct {
	Message        string `json:"error"`
	OutcomeUnknown bool   `json:"unknown,omitempty"` // what was asked may have been done, or may yet be
}

func (e *CallError) Error() string { return e.Message }

// answering is how long the agent may take for an operator's answer: a record without a
// leader needs some seconds to say so.
const operatorTimeout = 10 * time.Second

// Call asks the agent at addr and reads its answer into into. What the
// agent refuses is a *Refusal.
func Call(addr string, request, into any) error {
	conn, err := net.DialTimeout("tcp", addr, responseTimeout)
	if err != nil {
		return fmt.Errorf("fleet agent: %w", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(operatorTimeout)); err != nil {
		return err
	}
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return fmt.Errorf("fleet agent %s: %w", addr, err)
	}
	var raw json.RawMessage
	if err := readLine(newLineScanner(conn), &raw); err != nil {
		return fmt.Errorf("fleet agent %s: %w", addr, err)
	}
	var callError CallError
	if err := json.Unmarshal(raw, &callError); err == nil && callError.Message != "" {
		return &callError
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("fleet agent %s: %w", addr, err)
	}
	return nil
}

func newLineScanner(conn net.Conn) *bufio.Scanner {
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	return scanner
}

func readLine(scanner *bufio.Scanner, into any) error {
	if !scanner.Scan() {
		if scanner.Err() != nil {
			return scanner.Err()
		}
		return errors.New("closed")
	}
	return json.Unmarshal(scanner.Bytes(), into)
}
