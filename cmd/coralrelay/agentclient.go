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

// startAgentClient starts the client that receives the fleet's quotas and routes from the agent, if
// one is configured. While the agent is unreachable, the node applies its own limits. startAgentClient
// must be called before the event loop runs. Its goroutine ends with ctx.
func startAgentClient(
	ctx context.Context, goroutines *sync.WaitGroup, fleet operatorconfig.Fleet, memoryMB int,
	eventLoop *dispatch.EventLoop,
) error {
	if fleet.AgentAddr == "" || mutation.Enabled("deaf") {
		return nil
	}
	client := &agentapi.Client{
		Addr:       fleet.AgentAddr,
		MakeReport: func() agentapi.Report { return agentapi.Report{QuotaUsage: eventLoop.QuotaUsage()} },
		HandleResponse: func(response agentapi.Response) error {
			eventLoop.ApplyQuotaLease(response.QuotaLease)
			return nil
		},
		OnDisconnect: logAgentUnreachable,
	}
	if fleet.ReplicatedLog.IsEnabled() {
		if err := addFleetRouter(client, fleet, memoryMB, eventLoop); err != nil {
			return err
		}
	}
	addSLOReporter(client, fleet, eventLoop)
	goroutines.Go(func() { client.Run(ctx) })
	return nil
}

// addFleetRouter routes requests by the route tables and quota leases that the client receives.
func addFleetRouter(
	client *agentapi.Client, fleet operatorconfig.Fleet, memoryMB int, eventLoop *dispatch.EventLoop,
) error {
	router, err := newFleetRouter(eventLoop, fleet.AllocationConfig(), memoryMB)
	if err != nil {
		return fmt.Errorf("fleet: routes: %w", err)
	}
	eventLoop.Router = router
	extendClient(client, router.fillReport, router.handleResponse)
	client.OnDisconnect = func(err error) {
		router.handleDisconnect()
		logAgentUnreachable(err)
	}
	return nil
}

// extendClient makes the client also call fillReport on each report and handleResponse on each
// response, after the functions that it already has.
func extendClient(
	client *agentapi.Client, fillReport func(*agentapi.Report), handleResponse func(*agentapi.Response) error,
) {
	baseMakeReport, baseHandleResponse := client.MakeReport, client.HandleResponse
	client.MakeReport = func() agentapi.Report {
		report := baseMakeReport()
		fillReport(&report)
		return report
	}
	client.HandleResponse = func(response agentapi.Response) error {
		if err := baseHandleResponse(response); err != nil {
			return err
		}
		return handleResponse(&response)
	}
}

func logAgentUnreachable(err error) {
	slog.Warn("agent unreachable, the node goes by its own limits", "component", componentAgent, "error", err)
}
