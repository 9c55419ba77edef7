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
const proposing = time.Second

// lead looks at what all members saw, and proposes what is to change: one thing at a time,
// so that each is decided on the state that the last one left.
func (a *Agent) lead(ctx context.Context, now time.Duration, state zonestatus.State, proposals *sync.WaitGroup) {
	var members []zonestatus.Member
	for _, m := range a.Gossip.Members() {
		if m.Status != quota.Left {
			members = append(members, zonestatus.Member{Name: m.Name, Zone: m.Zone, Alive: m.Status == quota.Alive})
		}
	}
	change, why, ok := a.watch.Evaluate(now, state, a.Gossip.ZoneReports(), members)
	if !ok {
		return
	}
	select {
	case a.out <- struct{}{}:
	default:
		return
	}
	proposals.Go(func() {
		defer func() { <-a.out }()
		ctx, cancel := context.WithTimeout(ctx, proposing)
		defer cancel()
		a.propose(ctx, now, change, why)
	})
}

func (a *Agent) propose(ctx context.Context, now time.Duration, change zonestatus.Change, why string) {
	body, err := json.Marshal(change)
	if err != nil {
		slog.Error("fleet: zones", "err", err)
		return
	}
	outcome, err := a.Log.Propose(ctx, logentry.Entry{Kind: logentry.KindZones, ProposedBy: a.Name, ProposedAt: now.Milliseconds(), Reason: why, Body: body})
	switch {
	case err != nil:
		slog.Warn("fleet: zones: a change was not decided", "why", why, "err", err)
	case !outcome.Accepted:
		slog.Warn("fleet: zones: a change was not taken", "why", why, "index", outcome.Index, "reason", outcome.Reason)
	default:
		slog.Info("fleet: zones", "why", why, "index", outcome.Index)
	}
}
