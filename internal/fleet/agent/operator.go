package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/slo"
)

// The methods of an operator's request. The values are part of the protocol and must not change.
const (
	methodState   = "state"   // state of this member, for display
	methodRecord  = "record"  // complete state of the replicated log
	methodCheck   = "check"   // whether an entry would be accepted in the current state
	methodPropose = "propose" // propose an entry to the replicated log
)

// ProposalOutcome is the response to the methods "check" and "propose".
type ProposalOutcome struct {
	Outcome logentry.Outcome `json:"outcome"`
}

// HandleOperator returns the response to an operator's request: an agentapi.State for the method
// "state", the *logentry.State for "record", and a ProposalOutcome for "check" and "propose".
func (a *Agent) HandleOperator(ctx context.Context, request agentapi.OperatorRequest) (any, error) {
	switch request.Method {
	case methodState:
		return a.State(), nil
	case methodRecord, methodCheck, methodPropose:
		if a.Log == nil {
			return nil, fmt.Errorf("fleet.record: %s", a.NoLogReason)
		}
	default:
		return nil, fmt.Errorf("ask: %.40q is none of state, record, check, propose", request.Method)
	}
	state := a.Log.View().State
	if request.Method == methodRecord {
		return state, nil
	}
	entry, err := decodeOperatorEntry(request.Entry)
	if err != nil {
		return nil, err
	}
	entry.ProposedBy = a.Name
	if request.Method == methodPropose {
		return a.proposeForOperator(ctx, entry)
	}
	return checkEntry(state, entry)
}

// proposeForOperator proposes an operator's entry. It returns the outcome even if there is an error.
func (a *Agent) proposeForOperator(ctx context.Context, entry logentry.Entry) (any, error) {
	outcome, err := a.Log.Propose(ctx, entry)
	if errors.Is(err, replog.ErrOutcomeUnknown) {
		err = &agentapi.CallError{Message: err.Error(), OutcomeUnknown: true}
	}
	return ProposalOutcome{outcome}, err
}

// checkEntry returns the outcome that an entry would have in the given state.
func checkEntry(state *logentry.State, entry logentry.Entry) (any, error) {
	raw, err := json.Marshal(entry)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	outcome := logentry.Outcome{Index: state.Index, Accepted: true}
	if err := state.Check(raw); err != nil {
		outcome.Accepted, outcome.Reason = false, err.Error()
	}
	return ProposalOutcome{outcome}, nil
}

// decodeOperatorEntry decodes an entry and checks that an operator may propose it.
func decodeOperatorEntry(raw json.RawMessage) (entry logentry.Entry, err error) {
	if len(raw) > logentry.MaxSize {
		return entry, fmt.Errorf("entry: %d bytes, at most %d are taken", len(raw), logentry.MaxSize)
	}
	if err := logentry.UnmarshalStrict(raw, &entry); err != nil {
		return entry, fmt.Errorf("entry: %w", err)
	}
	return entry, checkOperatorEntry(&entry)
}

// checkOperatorEntry returns an error if an operator may not propose the entry. Zone statuses and the
// allocations of contracts are decided by the leader alone and are never accepted on the API's port:
// otherwise, any client that can connect to it could make the fleet evacuate a zone.
func checkOperatorEntry(entry *logentry.Entry) error {
	switch {
	case entry.Kind == logentry.KindZones:
		return errors.New("entry: zones: the fleet alone decides on postures")
	case entry.KeyName == "":
		return fmt.Errorf("entry: %.40s: not signed", entry.Kind)
	case entry.Kind != logentry.KindContracts:
		return nil
	}
	var change slo.Change
	if err := logentry.UnmarshalStrict(entry.Body, &change); err != nil {
		return fmt.Errorf("entry: contracts: %w", err)
	}
	if len(change.Allocations) > 0 {
		return errors.New("entry: contracts: the fleet alone decides on allocations")
	}
	return nil
}
