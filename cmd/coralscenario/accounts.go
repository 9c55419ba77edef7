package main

import (
	"context"
	"errors"
	"os"

	"coralrelay/internal/scenario/accounts"
)

type accountsCmd struct {
	common
	Nodes  int      `default:"7" help:"Agents, each beside its node: 5 to 15."`
	Voters int      `default:"3" help:"Agents that decide what the record takes: 3 or 5."`
	Zones  int      `default:"3" help:"Zones: 3 to 6."`
	Teams  int      `default:"12" help:"Teams that write at once: 6 to 36."`
	Steps  []string `help:"Play these alone, after accounts have been founded: calm, leader, oneway, apart, disk, stall, many."`
}

func (c *accountsCmd) Run(ctx context.Context, top *cli) error {
	if c.ListMutations {
		return list(accounts.Mutations)
	}
	if c.Nodes < 5 || c.Nodes > 15 || c.Voters != 3 && c.Voters != 5 || c.Nodes < c.Voters+2 || c.Zones < 3 || c.Zones > 6 || c.Teams < 6 || c.Teams > 36 {
		return errors.New("5 to 15 nodes, 3 or 5 voters and two nodes or more beside them, 3 to 6 zones and 6 to 36 teams are wanted")
	}
	r, err := accounts.Play(ctx, accounts.Options{Seed: c.Seed, Nodes: c.Nodes, Voters: c.Voters, Zones: c.Zones, Teams: c.Teams, Steps: c.Steps,
		Binary: top.Node, Mutation: c.Mutation, Progress: terminal()})
	if err != nil {
		return err
	}
	return r.Finish(os.Stdout, c.JSON)
}
