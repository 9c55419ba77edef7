package agent

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/slo"
)

// keep takes what was measured; the leader proposes what is to change. It looks once for
// each part of time, and at once when zones are left or returned to, never before the last
// proposal is decided and this member has its entry. How often a contract may move is the
// decider's own matter.
func (a *Agent) evaluateObjectives(ctx context.Context, now time.Duration, view replog.View, isLeader bool, proposals *sync.WaitGroup) {
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
	scaledNow, zonesVersion := keeper.ScaledTime(now), view.State.Zones.Version
	if len(contracts.Contracts) == 0 || scaledNow-keeper.evaluatedAt < keeper.Config.SampleInterval && scaledNow >= keeper.evaluatedAt && zonesVersion == keeper.zonesVersion {
		return
	}
	select {
	case keeper.proposalSlot <- struct{}{}:
	default:
		return
	}
	if view.State.Index < keeper.proposedIndex {
		<-keeper.proposalSlot
		return
	}
	demand, _ := keeper.setupRates()
	change, reason, due := keeper.controller.Evaluate(scaledNow, contracts, keeper.observations, regions, demand)
	keeper.observations, keeper.evaluatedAt, keeper.zonesVersion = nil, scaledNow, zonesVersion
	if !due {
		<-keeper.proposalSlot
		return
	}
	proposals.Go(func() {
		defer func() { <-keeper.proposalSlot }()
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		keeper.proposedIndex = max(keeper.proposedIndex, a.submitTrafficChange(ctx, scaledNow, change, reason))
	})
}

// steered proposes an allocation, which is the fleet's own decision, and returns its index.
func (a *Agent) submitTrafficChange(ctx context.Context, at time.Duration, change slo.Change, reason string) uint64 {
	body, err := json.Marshal(change)
	if err != nil {
		slog.Error("fleet: promises", "err", err)
		return 0
	}
	outcome, err := a.Log.Propose(ctx, logentry.Entry{Kind: logentry.KindContracts, ProposedBy: a.Name, ProposedAt: at.Milliseconds(), Reason: reason, Body: body})
	switch {
	case err != nil:
		slog.Warn("fleet: promises: a step was not decided", "why", reason, "err", err)
	case !outcome.Accepted:
		slog.Warn("fleet: promises: a step was not taken", "why", reason, "index", outcome.Index, "reason", outcome.Reason)
	default:
		slog.Info("fleet: promises", "why", reason, "index", outcome.Index)
	}
	return outcome.Index
}
