package agent

import (
	"fmt"
	"time"

	"coralrelay/internal/fleet/agentapi"
)

// State returns this member's view of the fleet, and the decision that it sends to its node.
func (a *Agent) State() agentapi.State {
	state := agentapi.State{
		Name:              a.Name,
		Zone:              a.Zone,
		Log:               "on",
		LastContactMillis: -1,
		ZoneStatuses:      []agentapi.ZoneStatus{},
		ZoneLimits:        []agentapi.ZoneLimit{},
	}
	if a.Log == nil {
		state.Log = a.NoLogReason
	} else {
		a.addLogState(&state)
	}
	a.addDecision(&state)
	for _, m := range a.Gossip.Members() {
		state.Members = append(state.Members, agentapi.Member{
			Name:             m.Name,
			Zone:             m.Zone,
			Status:           m.Status.String(),
			LogAddr:          m.ReplogAddress,
			Index:            m.LogIndex,
			ReportedAtMillis: m.ReportedAtMs,
		})
	}
	return state
}

// addLogState adds the replica's role and contact, and the zone statuses in the replicated log.
func (a *Agent) addLogState(state *agentapi.State) {
	view := a.Log.View()
	state.Role = view.Role
	state.Leader = view.Leader
	state.WithinLease = view.WithinLease
	state.DiskError = view.DiskError
	if !view.ConfirmedAt.IsZero() {
		state.LastContactMillis = time.Since(view.ConfirmedAt).Milliseconds()
	}
	if view.State == nil {
		return
	}
	state.Index = view.State.Index
	state.Hash = fmt.Sprintf("%x", view.State.Hash[:])
	state.ZonesVersion = view.State.Zones.Version
	for _, pair := range view.State.Zones.Pairs {
		state.ZoneStatuses = append(state.ZoneStatuses, agentapi.ZoneStatus{
			ObservingZone:   pair.From,
			Zone:            pair.To,
			Status:          pair.Status.String(),
			Share:           pair.Share,
			Step:            pair.Step,
			Rate:            pair.Rate,
			ChangedAtMillis: pair.ChangedAt,
			RetryAtMillis:   pair.HeldUntil,
			Failures:        pair.Failures,
		})
	}
}

// addDecision adds the traffic limits and the rejected share that are sent to the node.
func (a *Agent) addDecision(state *agentapi.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state.RejectedShare = a.decision.ShedFraction
	for _, limit := range a.decision.ZoneLimits {
		state.ZoneLimits = append(state.ZoneLimits, agentapi.ZoneLimit(limit))
	}
}
