package main

import (
	"context"
	"errors"
	"io"

	"coralrelay/internal/scenario/testbed"
	"coralrelay/internal/scenario/zones"
)

// zonesCommand runs the scenario of zones that fail and are evacuated.
type zonesCommand struct {
	runFlags
	memberFlags
	Zones   int      `default:"3" help:"Zones: 3 to 6."`
	Servers int      `default:"9" help:"Feed servers."`
	Rate    float64  `default:"120" help:"Transactions per second at the usual load."`
	Steps   []string `help:"Run only these steps, after the members have met: cold, silent, link, half, one, self, disk, leader, lone, two, flap."`
}

// Run runs the scenario; kong calls it.
func (c *zonesCommand) Run(ctx context.Context, root *commands) error {
	return c.runScenario(ctx, zones.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		if !c.memberFlags.valid() || !between(c.Zones, 3, 6) || !between(c.Servers, 2*c.Zones, 40) ||
			!between(c.Rate, 60, 1000) {
			return nil, errors.New("want 5 to 15 nodes, 3 or 5 voters, 3 to 6 zones, " +
				"at least two servers per zone, at most 40 servers and a rate of 60 to 1000")
		}
		return zones.Play(ctx, zones.Options{
			Seed:     c.Seed,
			Nodes:    c.Nodes,
			Voters:   c.Voters,
			Zones:    c.Zones,
			Servers:  c.Servers,
			Rate:     c.Rate,
			Steps:    c.Steps,
			Binary:   root.Node,
			Mutation: c.Mutation,
			Progress: progress,
		})
	})
}
