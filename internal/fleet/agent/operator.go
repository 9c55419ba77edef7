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
func (a *Agent) HandleOperator(ctx context.Context, ask agentapi.OperatorRequest) (any, error) {
	switch ask.Method {
	case "state":
		return a.State(), nil
	case "record", "check", "propose":
		if a.Log == nil {
			return nil, fmt.Errorf("fleet.record: %s", a.NoLogReason)
		}
	default:
		return nil, fmt.Errorf("ask: %.40q is none of state, record, check, propose", ask.Method)
	}
	state := a.Log.View().State
	if ask.Method == "record" {
		return state, nil
	}
	if len(ask.Entry) > logentry.MaxSize {
		return nil, fmt.Errorf("entry: %d bytes, at most %d are taken", len(ask.Entry), logentry.MaxSize)
	}
	var e logentry.Entry
	if err := logentry.UnmarshalStrict(ask.Entry, &e); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if err := operators(&e); err != nil {
		return nil, err
	}
	e.ProposedBy = a.Name
	if ask.Method == "propose" {
		o, err := a.Log.Propose(ctx, e)
		if errors.Is(err, replog.ErrOutcomeUnknown) {
			err = &agentapi.CallError{Message: err.Error(), OutcomeUnknown: true}
		}
		return ProposalOutcome{o}, err
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	o := logentry.Outcome{Index: state.Index, Accepted: true}
	if err := state.Check(raw); err != nil {
		o.Accepted, o.Reason = false, err.Error()
	}
	return ProposalOutcome{o}, nil
}

// operators tells whether an entry can be an operator's. Postures of zones and allocations are
// the leader's own decisions, which never come by a port: whoever reaches it could have the
// fleet leave a zone.
func operators(e *logentry.Entry) error {
	switch {
	case e.Kind == logentry.KindZones:
		return errors.New("entry: zones: the fleet alone decides on postures")
	case e.KeyName == "":
		return fmt.Errorf("entry: %.40s: not signed", e.Kind)
	case e.Kind != logentry.KindContracts:
		return nil
	}
	var c slo.Change
	if err := logentry.UnmarshalStrict(e.Body, &c); err != nil {
		return fmt.Errorf("entry: contracts: %w", err)
	}
	if len(c.Allocations) > 0 {
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
	s.RejectedShare = a.given.ShedFraction
	for _, b := range a.given.ZoneLimits {
		s.ZoneLimits = append(s.ZoneLimits, agentapi.ZoneLimit(b))
	}
	a.mu.Unlock()
	for _, m := range a.Gossip.Members() {
		s.Members = append(s.Members, agentapi.Member{Name: m.Name, Zone: m.Zone, Status: m.Status.String(), LogAddr: m.ReplogAddress, Index: m.LogIndex, ReportedAtMillis: m.ReportedAtMs})
	}
	return s
}
