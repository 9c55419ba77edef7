package main

import (
	"context"
	"io"

	"coralrelay/internal/scenario/resume"
	"coralrelay/internal/scenario/testbed"
)

// resumeCommand runs the scenario of clients that migrate with resume tokens.
type resumeCommand struct {
	runFlags
	Moves   int `default:"1000" help:"Total number of client migrations."`
	Nodes   int `default:"3" help:"Nodes."`
	Servers int `default:"6" help:"Feed servers."`
	Clients int `default:"200" help:"Clients."`
}

// Run runs the scenario; kong calls it.
func (c *resumeCommand) Run(ctx context.Context, root *commands) error {
	return c.runScenario(ctx, resume.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		return resume.Play(ctx, resume.Options{
			Seed:     c.Seed,
			Moves:    c.Moves,
			Nodes:    c.Nodes,
			Servers:  c.Servers,
			Clients:  c.Clients,
			Binary:   root.Node,
			Mutation: c.Mutation,
			Progress: progress,
		})
	})
}
