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
func startAgentClient(ctx context.Context, goroutines *sync.WaitGroup, fleet operatorconfig.Fleet, eventLoop *dispatch.EventLoop) error {
	if fleet.Agent == "" || mutation.Enabled("deaf") {
		return nil
	}
	logUnreachable := func(err error) {
		slog.Warn("the fleet's budgets are not known, this node goes by its own", "err", err)
	}
	client := &agentapi.Client{Addr: fleet.Agent, MakeReport: func() agentapi.Report { return agentapi.Report{QuotaUsage: eventLoop.QuotaUsage()} },
		HandleResponse: func(response agentapi.Response) { eventLoop.ApplyQuotaLease(response.QuotaLease) }, OnDisconnect: logUnreachable}
	if fleet.ReplicatedLog.IsEnabled() {
		router, err := newFleetRouter(eventLoop, fleet.AllocationConfig())
		if err != nil {
			return fmt.Errorf("fleet: routes: %w", err)
		}
		eventLoop.Router = router
		makeReport, handleResponse := client.MakeReport, client.HandleResponse
		client.MakeReport = func() agentapi.Report { report := makeReport(); router.fillReport(&report); return report }
		client.HandleResponse = func(response agentapi.Response) { handleResponse(response); router.handleResponse(&response) }
		client.OnDisconnect = func(err error) { router.agentLost(); logUnreachable(err) }
	}
	addSLOReporter(client, fleet, eventLoop)
	goroutines.Go(func() { client.Run(ctx) })
	return nil
}
