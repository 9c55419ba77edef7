package main

import (
	"context"
	"errors"
	"io"

	"coralrelay/internal/scenario/objectives"
	"coralrelay/internal/scenario/testbed"
)

// objectivesCommand runs the scenario of service level objectives. Its name on the command line is
// "promises".
type objectivesCommand struct {
	runFlags
	memberFlags
	Zones       int      `default:"3" help:"Zones: 3 to 5."`
	Servers     int      `default:"9" help:"Feed servers, distributed over the zones in turn; the third zone has only one."`
	Rate        float64  `default:"300" help:"Transactions per second under contract."`
	Steps       []string `help:"Run only these steps, after the members have met: calm, slow, other, left."`
	SteeredOnly bool     `name:"alone" help:"Run only the steered variant, without an unsteered and a greedy one for comparison."`
}

// Run runs the scenario; kong calls it.
func (c *objectivesCommand) Run(ctx context.Context, root *commands) error {
	return c.runScenario(ctx, objectives.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		if !c.memberFlags.valid() || !between(c.Zones, 3, 5) || !between(c.Servers, 2*c.Zones, 30) ||
			!between(c.Rate, 100, 1000) {
			return nil, errors.New("want 5 to 15 nodes, 3 or 5 voters, 3 to 5 zones, " +
				"at least two servers per zone, at most 30 servers and a rate of 100 to 1000")
		}
		return objectives.Play(ctx, objectives.Options{
			Seed:        c.Seed,
			Nodes:       c.Nodes,
			Voters:      c.Voters,
			Zones:       c.Zones,
			Servers:     c.Servers,
			Rate:        c.Rate,
			Steps:       c.Steps,
			SteeredOnly: c.SteeredOnly,
			Binary:      root.Node,
			Mutation:    c.Mutation,
			Progress:    progress,
		})
	})
}
