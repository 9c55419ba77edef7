package main

import (
	"context"
	"io"

	"coralrelay/internal/scenario/testbed"
	"coralrelay/internal/scenario/udp"
)

// udpCommand runs the scenario of UDP flows, or measures the cost of UDP forwarding.
type udpCommand struct {
	runFlags
	Flows   int  `default:"100000" help:"Total number of flows."`
	Table   int  `default:"10000" help:"Capacity of the node's flow table."`
	Servers int  `default:"8" help:"Feed servers."`
	Shared  bool `help:"The node's flows share a socket to each upstream."`
	Cores   int  `default:"1" help:"Number of cores, and of datagram listeners, of the node."`
	Speed   bool `help:"Measure forwarding against a bare loop, instead of running many short flows."`
	Steady  int  `default:"2000" help:"Number of steady flows during floods."`
	Flood   bool `help:"Run steady flows during floods of new ones, instead of many short flows."`
}

// Run runs the scenario; kong calls it.
func (c *udpCommand) Run(ctx context.Context, root *commands) error {
	return c.runScenario(ctx, udp.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		play := udp.Play
		if c.Speed {
			play = udp.MeasureSpeed
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
			Binary:   root.Node,
			Mutation: c.Mutation,
			Progress: progress,
		})
	})
}

// bareCommand runs the bare forwarding loop that udp --speed uses as its baseline, in a separate
// process.
type bareCommand struct {
	Listen string `arg:""`
	To     string `arg:""`
}

// Run forwards datagrams until ctx ends; kong calls it.
func (c *bareCommand) Run(ctx context.Context) error { return udp.RunBareLoop(ctx, c.Listen, c.To) }
