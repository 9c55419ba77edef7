package main

import (
	"context"
	"errors"
	"io"

	"coralrelay/internal/scenario/accounts"
	"coralrelay/internal/scenario/testbed"
)

// accountsCommand runs the scenario of concurrent changes to the accounts in the replicated log.
type accountsCommand struct {
	runFlags
	memberFlags
	Zones int      `default:"3" help:"Zones: 3 to 6."`
	Teams int      `default:"12" help:"Teams that write concurrently: 6 to 36."`
	Steps []string `help:"Run only these steps, after the accounts have been created: calm, leader, oneway, apart, disk, stall, many."`
}

// Run runs the scenario; kong calls it.
func (c *accountsCommand) Run(ctx context.Context, root *commands) error {
	return c.runScenario(ctx, accounts.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		if !c.memberFlags.valid() || c.Nodes < c.Voters+2 || !between(c.Zones, 3, 6) || !between(c.Teams, 6, 36) {
			return nil, errors.New("want 5 to 15 nodes, 3 or 5 voters, at least two nodes more than voters, " +
				"3 to 6 zones and 6 to 36 teams")
		}
		return accounts.Play(ctx, accounts.Options{
			Seed:     c.Seed,
			Nodes:    c.Nodes,
			Voters:   c.Voters,
			Zones:    c.Zones,
			Teams:    c.Teams,
			Steps:    c.Steps,
			Binary:   root.Node,
			Mutation: c.Mutation,
			Progress: progress,
		})
	})
}
