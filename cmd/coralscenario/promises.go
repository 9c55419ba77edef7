package main

import (
	"context"
	"errors"
	"os"

	"coralrelay/internal/scenario"
)

type promisesCmd struct {
	common
	Nodes   int      `default:"7" help:"Nodes, each with its agent: 5 to 15."`
	Voters  int      `default:"3" help:"Agents that decide what the record takes: 3 or 5."`
	Zones   int      `default:"3" help:"Zones: 3 to 5."`
	Servers int      `default:"9" help:"Feed servers, dealt to the zones in turn; the third zone keeps one."`
	Rate    float64  `default:"300" help:"Transactions a second under contract."`
	Steps   []string `help:"Play these alone, after members have met: calm, slow, other, left."`
	Alone   bool     `help:"Play the steered run alone, without an unsteered and a greedy one beside it."`
}

func (c *promisesCmd) Run(ctx context.Context, top *cli) error {
	if c.ListMutations {
		return list(scenario.SLOMutations)
	}
	if c.Nodes < 5 || c.Nodes > 15 || c.Voters != 3 && c.Voters != 5 || c.Zones < 3 || c.Zones > 5 || c.Servers < 2*c.Zones || c.Servers > 30 || !(c.Rate >= 100 && c.Rate <= 1000) {
		return errors.New("5 to 15 nodes, 3 or 5 voters, 3 to 5 zones, two servers or more in each, 30 at most, and a rate of 100 to 1000 are wanted")
	}
	r, err := scenario.SLO(ctx, scenario.SLOOptions{Seed: c.Seed, Nodes: c.Nodes, Voters: c.Voters, Zones: c.Zones, Servers: c.Servers, Rate: c.Rate,
		Steps: c.Steps, SteeredOnly: c.Alone, Binary: top.Node, Mutation: c.Mutation, Progress: terminal()})
	if err != nil {
		return err
	}
	return r.Finish(os.Stdout, c.JSON)
}
