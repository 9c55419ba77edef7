package main

import (
	"context"
	"io"

	"coralrelay/internal/scenario/testbed"
	"coralrelay/internal/scenario/udp"
)

// udpCommand runs the scenario of flows of datagrams, or the measurement of their forwarding.
type udpCommand struct {
	runFlags
	Flows   int  `default:"100000" help:"Flows in all."`
	Table   int  `default:"10000" help:"Flows that the node's table holds."`
	Servers int  `default:"8" help:"Feed servers."`
	Shared  bool `help:"The node's flows share a socket to each upstream."`
	Cores   int  `default:"1" help:"Cores that the node has, and listeners for datagrams."`
	Speed   bool `help:"Measure forwarding against a bare loop, in place of many short flows."`
	Steady  int  `default:"2000" help:"Steady flows beside floods."`
	Flood   bool `help:"Steady flows beside floods of new ones, in place of many short flows."`
}

// Run is called by kong.
func (c *udpCommand) Run(ctx context.Context, top *commands) error {
	return c.runScenario(ctx, udp.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		play := udp.Play
		if c.Speed {
			play = udp.PlaySpeed
		}
		return play(ctx, udp.Options{
			Seed:     c.Seed,
			Flows:    c.Flows,
			Table:    c.Table,
			Servers:  c.Servers,
			Flood:    c.Flood,
			Steady:   max(c.Steady, 1),
			Shared:   c.Shared,
			Cores:    c.Cores,
			Binary:   top.Node,
			Mutation: c.Mutation,
			Progress: progress,
		})
	})
}

// bareCommand runs the loop that UDP forwarding is compared with, in a process of its own.
type bareCommand struct {
	Listen string `arg:""`
	To     string `arg:""`
}

// Run is called by kong.
func (c *bareCommand) Run(ctx context.Context) error { return udp.ForwardBare(ctx, c.Listen, c.To) }
