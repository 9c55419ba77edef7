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
	l := &agentapi.Client{Addr: f.Agent, MakeReport: func() agentapi.Report { return agentapi.Report{QuotaUsage: core.QuotaUsage()} },
		HandleResponse: func(t agentapi.Response) { core.ApplyQuotaLease(t.QuotaLease) }, OnDisconnect: lost}
	if f.ReplicatedLog.IsEnabled() {
		r, err := newRoutes(core, f.AllocationConfig())
		if err != nil {
			return fmt.Errorf("fleet: routes: %w", err)
		}
		core.Router = r
		say, take := l.MakeReport, l.HandleResponse
		l.MakeReport = func() agentapi.Report { s := say(); r.say(&s); return s }
		l.HandleResponse = func(t agentapi.Response) { take(t); r.take(&t) }
		l.OnDisconnect = func(err error) { r.lost(); lost(err) }
	}
	countPromises(l, f, core)
	parts.Go(func() { l.Run(ctx) })
	return nil
}
