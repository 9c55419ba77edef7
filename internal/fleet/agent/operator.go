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
func (a *Agent) Operator(ctx context.Context, ask agentapi.Ask) (any, error) {
	switch ask.Ask {
	case "state":
		return a.State(), nil
	case "record", "check", "propose":
		if a.Log == nil {
			return nil, fmt.Errorf("fleet.record: %s", a.NoLogReason)
		}
	default:
		return nil, fmt.Errorf("ask: %.40q is none of state, record, check, propose", ask.Ask)
	}
	state := a.Log.View().State
	if ask.Ask == "record" {
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
	if ask.Ask == "propose" {
		o, err := a.Log.Propose(ctx, e)
		if errors.Is(err, replog.ErrOutcomeUnknown) {
			err = &agentapi.Refusal{Text: err.Error(), Unknown: true}
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
	s := agentapi.State{Name: a.Name, Zone: a.Zone, Record: "on", Heard: -1, Postures: []agentapi.Seen{}, Bounds: []agentapi.Bound{}}
	if a.Log == nil {
		s.Record = a.NoLogReason
	} else {
		v := a.Log.View()
		s.Role, s.Leader, s.Fresh, s.Disk = v.Role, v.Leader, v.Fresh, v.DiskError
		if !v.ConfirmedAt.IsZero() {
			s.Heard = time.Since(v.ConfirmedAt).Milliseconds()
		}
		if v.State != nil {
			s.Index, s.Hash, s.Version = v.State.Index, fmt.Sprintf("%x", v.State.Hash[:]), v.State.Zones.Version
			for _, z := range v.State.Zones.Pairs {
				s.Postures = append(s.Postures, agentapi.Seen{From: z.From, To: z.To, Posture: z.Status.String(), Share: z.Share,
					Step: z.Step, Rate: z.Rate, Since: z.ChangedAt, Until: z.HeldUntil, Fails: z.Failures})
			}
		}
	}
	a.mu.Lock()
	s.Over = a.given.Over
	for _, b := range a.given.Bounds {
		s.Bounds = append(s.Bounds, agentapi.Bound(b))
	}
	a.mu.Unlock()
	for _, m := range a.Gossip.Members() {
		s.Members = append(s.Members, agentapi.Peer{Name: m.Name, Zone: m.Zone, Status: m.Status.String(), Record: m.Record, Index: m.Index, At: m.At})
	}
	return s
}
