package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"coralrelay/internal/dispatch"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/mutation"
	"coralrelay/internal/operatorconfig"
)

// startFleet keeps the node to the fleet's budgets and routes, as its agent tells them, if one
// is named. While the agent can't be reached the node goes on by itself. It is called before
// the Core runs.
func startFleet(ctx context.Context, parts *sync.WaitGroup, f operatorconfig.Fleet, core *dispatch.EventLoop) error {
	if f.Agent == "" || mutation.Enabled("deaf") {
		return nil
	}
	lost := func(err error) {
		slog.Warn("the fleet's budgets are not known, this node goes by its own", "err", err)
	}
	l := &agentapi.Link{Addr: f.Agent, Say: func() agentapi.Said { return agentapi.Said{QuotaUsage: core.Spending()} },
		Take: func(t agentapi.Told) { core.Grant(t.QuotaLease) }, Lost: lost}
	if f.ReplicatedLog.IsEnabled() {
		r, err := newRoutes(core, f.AllocationConfig())
		if err != nil {
			return fmt.Errorf("fleet: routes: %w", err)
		}
		core.Router = r
		say, take := l.Say, l.Take
		l.Say = func() agentapi.Said { s := say(); r.say(&s); return s }
		l.Take = func(t agentapi.Told) { take(t); r.take(&t) }
		l.Lost = func(err error) { r.lost(); lost(err) }
	}
	countPromises(l, f, core)
	parts.Go(func() { l.Run(ctx) })
	return nil
}
