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

// The methods of an operator's request. The words are on the wire and stay.
const (
	methodState   = "state"   // what this member knows, for people
	methodRecord  = "record"  // all of the replicated log's state
	methodCheck   = "check"   // whether an entry would be accepted now
	methodPropose = "propose" // have an entry appended
)

// ProposalOutcome answers the methods "check" and "propose".
type ProposalOutcome struct {
	Outcome logentry.Outcome `json:"outcome"`
}

// HandleOperator answers an operator's request: an agentapi.State to "state", the
// *logentry.State to "record", and a ProposalOutcome to "check" and "propose".
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

// proposeForOperator proposes an operator's entry. The outcome is returned beside the error.
func (a *Agent) proposeForOperator(ctx context.Context, entry logentry.Entry) (any, error) {
	outcome, err := a.Log.Propose(ctx, entry)
	if errors.Is(err, replog.ErrOutcomeUnknown) {
		err = &agentapi.CallError{Message: err.Error(), OutcomeUnknown: true}
	}
	return ProposalOutcome{outcome}, err
}

// checkEntry returns what would become of an entry now.
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

// decodeOperatorEntry decodes an entry that an operator may propose.
func decodeOperatorEntry(raw json.RawMessage) (entry logentry.Entry, err error) {
	if len(raw) > logentry.MaxSize {
		return entry, fmt.Errorf("entry: %d bytes, at most %d are taken", len(raw), logentry.MaxSize)
	}
	if err := logentry.UnmarshalStrict(raw, &entry); err != nil {
		return entry, fmt.Errorf("entry: %w", err)
	}
	return entry, checkOperatorEntry(&entry)
}

// checkOperatorEntry returns an error for an entry that can't be an operator's. The status of
// zones and the allocations of contracts are the leader's own decisions, which never come by
// a port: whoever reaches it could have the fleet evacuate a zone.
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
