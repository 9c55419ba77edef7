package main

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"coralrelay/internal/scenario/soak"
	"coralrelay/internal/scenario/testbed"
)

// soakCommand runs the soak test. It builds the node from source and ignores the flag --node.
type soakCommand struct {
	runFlags
	Nodes   int           `default:"24" help:"Nodes: 4 to 60."`
	Servers int           `default:"60" help:"Feed servers: 8 to 120."`
	For     time.Duration `default:"60s" help:"Duration: 15s to 10m."`
	Faults  int           `default:"3" help:"Number of overlapping faults: 0 to 8."`
	Crowd   bool          `help:"Other callers keep discovery busy during the whole run."`
	Log     string        `placeholder:"DIR" help:"Directory in which the trace, the nodes' logs and the history are kept."`
	Replay  string        `placeholder:"FILE" help:"Replay the faults of this trace instead of random ones."`
	Shrink  bool          `help:"If the run breaks a rule, repeat it with fewer faults to find a smaller trace that breaks the rule too."`
}

// Run runs the scenario; kong calls it.
func (c *soakCommand) Run(ctx context.Context, _ *commands) error {
	return c.runScenario(ctx, soak.Mutations, func(ctx context.Context, progress io.Writer) (*testbed.Result, error) {
		if !between(c.Nodes, 4, 60) || !between(c.Servers, 8, 120) || !between(c.Faults, 0, 8) ||
			!between(c.For.Seconds(), 15, 600) {
			return nil, errors.New(
				"want 4 to 60 nodes, 8 to 120 servers, 0 to 8 faults at once and a duration of 15s to 10m")
		}
		options := soak.Options{
			Seed:     c.Seed,
			Nodes:    c.Nodes,
			Servers:  c.Servers,
			Duration: c.For,
			Overlap:  c.Faults,
			Crowded:  c.Crowd,
			Mutation: c.Mutation,
			LogDir:   c.Log,
			Progress: progress,
		}
		if c.Replay != "" {
			trace, err := soak.ReadTrace(c.Replay)
			if err != nil {
				return nil, err
			}
			options.Trace = trace
		}
		return c.buildAndPlay(ctx, &options)
	})
}

// buildAndPlay builds the node with the tag mutation, which enables the injection of system call
// faults that a release build does not contain, and runs the soak test with it.
func (c *soakCommand) buildAndPlay(ctx context.Context, options *soak.Options) (*testbed.Result, error) {
	dir, remove, err := testbed.TempDir()
	if err != nil {
		return nil, err
	}
	defer remove()
	if options.Binary, err = testbed.BuildMutated(ctx, dir, "coralrelay"); err != nil {
		return nil, err
	}
	if options.LogDir != "" {
		if err := os.MkdirAll(options.LogDir, 0o755); err != nil {
			return nil, err
		}
	}
	if c.Shrink {
		return soak.PlayAndShrink(ctx, *options)
	}
	return soak.Play(ctx, *options)
}
