package agent

import (
	"context"
	"sync"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/slo"
)

// evaluateObjectives evaluates the latest observations. On the leader, it proposes a new allocation of
// traffic if the controller decides on one. The controller itself limits how often it moves a contract's
// traffic, so evaluateObjectives does not.
func (a *Agent) evaluateObjectives(ctx context.Context, now time.Duration, view replog.View, isLeader bool,
	goroutines *sync.WaitGroup) {
	manager := a.objectives
	if manager == nil || manager.aggregator == nil || view.State == nil {
		return
	}
	contracts, members := view.State.Contracts, a.presentMembers()
	regions := manager.regions(view.State.Zones, a.Gossip.ZoneReports(), members)
	manager.closeIntervals(now, contracts, regions, members)
	if !isLeader {
		manager.controller.Observe(contracts, manager.observations)
		manager.observations = nil
		return
	}
	scaledNow := manager.ScaledTime(now)
	if len(contracts.Contracts) == 0 || !manager.isEvaluationDue(scaledNow, view.State.Zones.Version) {
		return
	}
	if !manager.acquireProposalSlot(view.State.Index) {
		return
	}
	change, reason, due := manager.evaluate(scaledNow, view, regions)
	if !due {
		<-manager.proposalSlot
		return
	}
	goroutines.Go(func() {
		defer func() { <-manager.proposalSlot }()
		index := a.propose(ctx, logentry.KindContracts, scaledNow, change, reason)
		manager.proposedIndex = max(manager.proposedIndex, index)
	})
}

// isEvaluationDue reports whether the leader has to evaluate now: after each sample interval, and at once
// if the clock was set back or the zone statuses have changed.
func (o *objectiveManager) isEvaluationDue(scaledNow time.Duration, zonesVersion uint64) bool {
	intervalOver := scaledNow-o.evaluatedAt >= o.Config.SampleInterval
	clockSetBack := scaledNow < o.evaluatedAt
	return intervalOver || clockSetBack || zonesVersion != o.zonesVersion
}

// acquireProposalSlot reports whether an evaluation may start, and acquires the proposal slot for the
// caller if so. It may start after the last proposal is decided and its entry is in this member's log,
// whose last index is index.
func (o *objectiveManager) acquireProposalSlot(index uint64) bool {
	select {
	case o.proposalSlot <- struct{}{}:
	default:
		return false
	}
	if index < o.proposedIndex {
		<-o.proposalSlot
		return false
	}
	return true
}

// evaluate returns the change on which the controller decides; due is false if there is none.
func (o *objectiveManager) evaluate(scaledNow time.Duration, view replog.View,
	regions []slo.Region) (change slo.Change, reason string, due bool) {
	change, reason, due = o.controller.Evaluate(scaledNow, view.State.Contracts, o.observations, regions,
		o.setupRates().byContract)
	o.observations = nil
	o.evaluatedAt = scaledNow
	o.zonesVersion = view.State.Zones.Version
	return change, reason, due
}
