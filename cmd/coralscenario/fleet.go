package main

import (
	"context"
	"errors"
	"io"

	"coralrelay/internal/scenario/fleet"
	"coralrelay/internal/scenario/testbed"
)

// fleetCommand runs the scenario of nodes that share quotas and outlier reports.
type fleetCommand struct {
	runFlags
	Nodes         int      `default:"7" help:"Nodes, each with its agent: 5 to 9."`
	Servers       int      `default:"8" help:"Feed servers."`
	Rate          float64  `default:"60" help:"Transactions per second at the usual load."`
	Steps         []string `help:"Run only these steps, after the members have met: cold, fall, lies, bad, full."`
	WithoutAgents bool     `name:"alone" help:"Run the nodes without agents, for metrics to compare with."`
}

// Run runs the scenario; kong calls it.
func (c *fleetCommand) Run(ctx context.Context, root *commands) error {
	return c.runScenario(ctx, fleet.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		if !between(c.Nodes, 5, 9) || !between(c.Servers, 6, 40) || !between(c.Rate, 20, 1000) {
			return nil, errors.New("want 5 to 9 nodes, 6 to 40 servers and a rate of 20 to 1000")
		}
		return fleet.Play(ctx, fleet.Options{
			Seed:          c.Seed,
			Nodes:         c.Nodes,
			Servers:       c.Servers,
			Rate:          c.Rate,
			WithoutAgents: c.WithoutAgents,
			Steps:         c.Steps,
			Binary:        root.Node,
			Mutation:      c.Mutation,
			Progress:      progress,
		})
	})
}
