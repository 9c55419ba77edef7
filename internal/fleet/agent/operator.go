package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/slo"
)

// Outcome answers the asks "check" and "propose".
type ProposalOutcome struct {
	Outcome logentry.Outcome `json:"outcome"`
}

// Operator answers an operator's ask: "state" for people, "record" for all that the record
// holds, "check" for whether an entry would be taken now, "propose" to have it taken.
func (a *Agent) HandleOperator(ctx context.Context, request agentapi.OperatorRequest) (any, error) {
	switch request.Method {
	case "state":
		return a.State(), nil
	case "record", "check", "propose":
		if a.Log == nil {
			return nil, fmt.Errorf("fleet.record: %s", a.NoLogReason)
		}
	default:
		return nil, fmt.Errorf("ask: %.40q is none of state, record, check, propose", request.Method)
	}
	state := a.Log.View().State
	if request.Method == "record" {
		return state, nil
	}
	if len(request.Entry) > logentry.MaxSize {
		return nil, fmt.Errorf("entry: %d bytes, at most %d are taken", len(request.Entry), logentry.MaxSize)
	}
	var entry logentry.Entry
	if err := logentry.UnmarshalStrict(request.Entry, &entry); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if err := checkOperatorEntry(&entry); err != nil {
		return nil, err
	}
	entry.ProposedBy = a.Name
	if request.Method == "propose" {
		outcome, err := a.Log.Propose(ctx, entry)
		if errors.Is(err, replog.ErrOutcomeUnknown) {
			err = &agentapi.CallError{Message: err.Error(), OutcomeUnknown: true}
		}
		return ProposalOutcome{outcome}, err
	}
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

// operators tells whether an entry can be an operator's. Postures of zones and allocations are
// the leader's own decisions, which never come by a port: whoever reaches it could have the
// fleet leave a zone.
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

// State is what this member knows and tells its node.
func (a *Agent) State() agentapi.State {
	s := agentapi.State{Name: a.Name, Zone: a.Zone, Log: "on", LastContactMillis: -1, ZoneStatuses: []agentapi.ZoneStatus{}, ZoneLimits: []agentapi.ZoneLimit{}}
	if a.Log == nil {
		s.Log = a.NoLogReason
	} else {
		v := a.Log.View()
		s.Role, s.Leader, s.WithinLease, s.DiskError = v.Role, v.Leader, v.WithinLease, v.DiskError
		if !v.ConfirmedAt.IsZero() {
			s.LastContactMillis = time.Since(v.ConfirmedAt).Milliseconds()
		}
		if v.State != nil {
			s.Index, s.Hash, s.ZonesVersion = v.State.Index, fmt.Sprintf("%x", v.State.Hash[:]), v.State.Zones.Version
			for _, z := range v.State.Zones.Pairs {
				s.ZoneStatuses = append(s.ZoneStatuses, agentapi.ZoneStatus{ObservingZone: z.From, Zone: z.To, Status: z.Status.String(), Share: z.Share,
					Step: z.Step, Rate: z.Rate, ChangedAtMillis: z.ChangedAt, RetryAtMillis: z.HeldUntil, Failures: z.Failures})
			}
		}
	}
	a.mu.Lock()
	s.RejectedShare = a.decision.ShedFraction
	for _, b := range a.decision.ZoneLimits {
		s.ZoneLimits = append(s.ZoneLimits, agentapi.ZoneLimit(b))
	}
	a.mu.Unlock()
	for _, m := range a.Gossip.Members() {
		s.Members = append(s.Members, agentapi.Member{Name: m.Name, Zone: m.Zone, Status: m.Status.String(), LogAddr: m.ReplogAddress, Index: m.LogIndex, ReportedAtMillis: m.ReportedAtMs})
	}
	return s
}
