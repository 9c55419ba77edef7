package agent

import (
	"context"
	"sync"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/slo"
)

// evaluateObjectives takes what was measured; the leader proposes how traffic is allocated.
// How often a contract's traffic may move is the controller's own matter.
func (a *Agent) evaluateObjectives(ctx context.Context, now time.Duration, view replog.View, isLeader bool,
	goroutines *sync.WaitGroup) {
	keeper := a.objectives
	if keeper == nil || keeper.aggregator == nil || view.State == nil {
		return
	}
	contracts, members := view.State.Contracts, a.presentMembers()
	regions := keeper.regions(view.State.Zones, a.Gossip.ZoneReports(), members)
	keeper.closeIntervals(now, contracts, regions, members)
	if !isLeader {
		keeper.controller.Observe(contracts, keeper.observations)
		keeper.observations = nil
		return
	}
	scaledNow := keeper.ScaledTime(now)
	if len(contracts.Contracts) == 0 || !keeper.isEvaluationDue(scaledNow, view.State.Zones.Version) {
		return
	}
	if !keeper.acquireProposalSlot(view.State.Index) {
		return
	}
	change, reason, due := keeper.evaluate(scaledNow, view, regions)
	if !due {
		<-keeper.proposalSlot
		return
	}
	goroutines.Go(func() {
		defer func() { <-keeper.proposalSlot }()
		index := a.propose(ctx, logentry.KindContracts, scaledNow, change, reason)
		keeper.proposedIndex = max(keeper.proposedIndex, index)
	})
}

// isEvaluationDue reports whether to evaluate now: once for each interval, when the clock
// was set back, and at once when the zones' status has changed.
func (k *objectiveKeeper) isEvaluationDue(scaledNow time.Duration, zonesVersion uint64) bool {
	intervalOver := scaledNow-k.evaluatedAt >= k.Config.SampleInterval
	clockSetBack := scaledNow < k.evaluatedAt
	return intervalOver || clockSetBack || zonesVersion != k.zonesVersion
}

// acquireProposalSlot reports whether an evaluation may begin: not before the last proposal
// is decided and this member's log, at index, has its entry. The slot is the caller's then.
func (k *objectiveKeeper) acquireProposalSlot(index uint64) bool {
	select {
	case k.proposalSlot <- struct{}{}:
	default:
		return false
	}
	if index < k.proposedIndex {
		<-k.proposalSlot
		return false
	}
	return true
}

// evaluate returns the change that the controller decides on, if one is due.
func (k *objectiveKeeper) evaluate(scaledNow time.Duration, view replog.View,
	regions []slo.Region) (change slo.Change, reason string, due bool) {
	change, reason, due = k.controller.Evaluate(scaledNow, view.State.Contracts, k.observations, regions,
		k.setupRates().byContract)
	k.observations = nil
	k.evaluatedAt = scaledNow
	k.zonesVersion = view.State.Zones.Version
	return change, reason, due
}
