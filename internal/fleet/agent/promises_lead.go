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
func (a *Agent) keep(ctx context.Context, now time.Duration, v replog.View, leads bool, proposals *sync.WaitGroup) {
	k := a.keeping
	if k == nil || k.fleet == nil || v.State == nil {
		return
	}
	s, members := v.State.Contracts, a.present()
	regions := k.regions(v.State.Zones, a.Gossip.ZoneReports(), members)
	k.turn(now, s, regions, members)
	if !leads {
		k.steer.Observe(s, k.seen)
		k.seen = nil
		return
	}
	at, version := k.ScaledTime(now), v.State.Zones.Version
	if len(s.Contracts) == 0 || at-k.looked < k.Config.SampleInterval && at >= k.looked && version == k.zones {
		return
	}
	select {
	case k.busy <- struct{}{}:
	default:
		return
	}
	if v.State.Index < k.applied {
		<-k.busy
		return
	}
	demand, _ := k.demand()
	change, why, ok := k.steer.Evaluate(at, s, k.seen, regions, demand)
	k.seen, k.looked, k.zones = nil, at, version
	if !ok {
		<-k.busy
		return
	}
	proposals.Go(func() {
		defer func() { <-k.busy }()
		ctx, cancel := context.WithTimeout(ctx, proposing)
		defer cancel()
		k.applied = max(k.applied, a.steered(ctx, at, change, why))
	})
}

// steered proposes an allocation, which is the fleet's own decision, and returns its index.
func (a *Agent) steered(ctx context.Context, at time.Duration, change slo.Change, why string) uint64 {
	body, err := json.Marshal(change)
	if err != nil {
		slog.Error("fleet: promises", "err", err)
		return 0
	}
	outcome, err := a.Log.Propose(ctx, logentry.Entry{Kind: logentry.KindContracts, ProposedBy: a.Name, ProposedAt: at.Milliseconds(), Reason: why, Body: body})
	switch {
	case err != nil:
		slog.Warn("fleet: promises: a step was not decided", "why", why, "err", err)
	case !outcome.Accepted:
		slog.Warn("fleet: promises: a step was not taken", "why", why, "index", outcome.Index, "reason", outcome.Reason)
	default:
		slog.Info("fleet: promises", "why", why, "index", outcome.Index)
	}
	return outcome.Index
}
