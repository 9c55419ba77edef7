package main

import (
	"context"
	"errors"
	"io"

	"coralrelay/internal/scenario/accounts"
	"coralrelay/internal/scenario/testbed"
)

// accountsCommand runs the scenario of accounts, which the agents' replicated log holds.
type accountsCommand struct {
	runFlags
	memberFlags
	Zones int      `default:"3" help:"Zones: 3 to 6."`
	Teams int      `default:"12" help:"Teams that write at once: 6 to 36."`
	Steps []string `help:"Play these alone, after accounts have been founded: calm, leader, oneway, apart, disk, stall, many."`
}

// Run is called by kong.
func (c *accountsCommand) Run(ctx context.Context, top *commands) error {
	return c.runScenario(ctx, accounts.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		if !c.memberFlags.valid() || c.Nodes < c.Voters+2 || !between(c.Zones, 3, 6) || !between(c.Teams, 6, 36) {
			return nil, errors.New("5 to 15 nodes, 3 or 5 voters and two nodes or more beside them, 3 to 6 zones " +
				"and 6 to 36 teams are wanted")
		}
		return accounts.Play(ctx, accounts.Options{
			Seed:     c.Seed,
			Nodes:    c.Nodes,
			Voters:   c.Voters,
			Zones:    c.Zones,
			Teams:    c.Teams,
			Steps:    c.Steps,
			Binary:   top.Node,
			Mutation: c.Mutation,
			Progress: progress,
		})
	})
}
