package agent

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

// proposing is how long a proposal may take. The decider decides anew after as long.
const proposalTimeout = time.Second

// lead looks at what all members saw, and proposes what is to change: one thing at a time,
// so that each is decided on the state that the last one left.
func (a *Agent) proposeZoneChange(ctx context.Context, now time.Duration, state zonestatus.State, proposals *sync.WaitGroup) {
	var members []zonestatus.Member
	for _, m := range a.Gossip.Members() {
		if m.Status != quota.Left {
			members = append(members, zonestatus.Member{Name: m.Name, Zone: m.Zone, Alive: m.Status == quota.Alive})
		}
	}
	change, reason, due := a.zoneController.Evaluate(now, state, a.Gossip.ZoneReports(), members)
	if !due {
		return
	}
	select {
	case a.proposalSlot <- struct{}{}:
	default:
		return
	}
	proposals.Go(func() {
		defer func() { <-a.proposalSlot }()
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		a.submitZoneChange(ctx, now, change, reason)
	})
}

func (a *Agent) submitZoneChange(ctx context.Context, now time.Duration, change zonestatus.Change, reason string) {
	body, err := json.Marshal(change)
	if err != nil {
		slog.Error("fleet: zones", "err", err)
		return
	}
	outcome, err := a.Log.Propose(ctx, logentry.Entry{Kind: logentry.KindZones, ProposedBy: a.Name, ProposedAt: now.Milliseconds(), Reason: reason, Body: body})
	switch {
	case err != nil:
		slog.Warn("fleet: zones: a change was not decided", "why", reason, "err", err)
	case !outcome.Accepted:
		slog.Warn("fleet: zones: a change was not taken", "why", reason, "index", outcome.Index, "reason", outcome.Reason)
	default:
		slog.Info("fleet: zones", "why", reason, "index", outcome.Index)
	}
}
