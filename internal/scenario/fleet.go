// Package rig plays scenes: real nodes and stand-ins on loopback, a seeded script
// with faults, and checks of the rules from the stand-ins' side.
package scenario

import (
	"context"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"os"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// FleetOptions size the scene of what nodes share.
type FleetOptions struct {
	Seed             uint64
	Nodes, Servers   int
	Rate             float64  // transactions a second in usual times
	Steps            []string // of the script, empty for all; members meet in any case
	WithoutAgents    bool     // nodes have no agents: figures for comparison, bounds not checked
	Binary, Mutation string   // the agent's binary is beside the node's
	Progress         io.Writer
}

// FleetMutations are the guards that the scenario can switch off; deaf sits in the node, all others in the agent.
var FleetMutations = map[string]string{
	"ranks":  "each member takes a cold server's whole budget, whatever the others take",
	"expire": "who has failed keeps his tokens for good",
	"quorum": "one member's accusation is a verdict",
	"open":   "messages need no key",
	"budget": "retries have no bound",
	"deaf":   "the agent's grants do not reach the node, which goes by its own reckoning",
}

// The scene's world, and its script's times.
const (
	fleetRamp    = 12 * time.Second
	fleetWindow  = 1500 * time.Millisecond
	fleetRetries = 0.05
	fleetHold    = 3 * time.Second
	cutFor       = 10 * time.Second
	wave         = 6.0 // times the usual rate
	// leastUse is the part of a cold server's budget that those who are left after a fall
	// use: half of it is dealt, by rates that they still learn.
	leastUse = 0.12
)

// fleetScene is one run.
type fleetScene struct {
	FleetOptions
	*testbed.Testbed
}

// Fleet plays the scene: nodes with agents that gossip through a relay with faults, while
// a cold server comes in a wave and a third of the nodes is cut off, servers fail, and
// false members speak.
func Fleet(ctx context.Context, o FleetOptions) (*testbed.Result, error) {
	if _, ok := FleetMutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", o.Mutation)
	}
	w := testbed.Options{Scenario: "fleet", Seed: o.Seed, Nodes: o.Nodes, Servers: o.Servers, Rate: o.Rate, WithoutAgents: o.WithoutAgents, Binary: o.Binary,
		Mutation: o.Mutation, Progress: o.Progress, Ramp: fleetRamp, BudgetWindow: fleetWindow, LeaseTimeout: fleetHold, RetryRatio: fleetRetries}
	if o.Mutation != "" {
		dir, err := os.MkdirTemp("", "coralscenario-")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		program := &w.Agent
		name := "coralagent"
		if o.Mutation == "deaf" {
			program, name = &w.Binary, "coralrelay"
			w.Agent = testbed.SiblingBinary(o.Binary, "coralagent")
		}
		if *program, err = testbed.BuildMutated(ctx, dir, name); err != nil {
			return nil, err
		}
	}
	built, err := testbed.New(ctx, w)
	if err != nil {
		return nil, err
	}
	defer built.Close()
	s := &fleetScene{o, built}
	s.ScaledDown = fmt.Sprintf("%d nodes in place of hundreds, all on one machine; a server is warm after %v; a partition of %v",
		o.Nodes, fleetRamp, cutFor)
	steps := []testbed.Phase{{Name: "meet", Run: s.meet}, {Name: "cold", Run: s.cold}, {Name: "fall", Run: s.fall}, {Name: "lies", Run: s.lies},
		{Name: "bad", Run: s.bad}, {Name: "full", Run: s.full}}
	if err := s.Play(ctx, steps, o.Steps); err != nil {
		return nil, err
	}
	s.CheckRetryBudget()
	return s.Result, ctx.Err()
}

// meet lets members find each other, and nodes learn the usual rate.
func (s *fleetScene) meet(ctx context.Context, _ *mrand.Rand) error {
	fake.Sleep(ctx, 5*time.Second)
	from, since := s.said(), time.Now()
	fake.Sleep(ctx, 3*time.Second)
	s.SetMetric("gossip_bytes_per_node_per_s", float64(s.said()-from)/float64(len(s.Names))/time.Since(since).Seconds())
	if !s.FleetOptions.WithoutAgents {
		s.RequireAtLeast("gossip_bytes_per_node_per_s", 100)
	}
	return nil
}

func (s *fleetScene) said() (bytes uint64) {
	for _, name := range s.Names {
		n, _ := s.Proxy.Transferred(name)
		bytes += n
	}
	return bytes
}

// full has half of the servers turn every first line away, while their probes look well.
func (s *fleetScene) full(ctx context.Context, _ *mrand.Rand) error {
	for _, v := range s.AllServers()[:s.FleetOptions.Servers/2] {
		v.SetFault(fake.AnswersBusy)
	}
	fake.Sleep(ctx, 8*time.Second)
	for _, v := range s.AllServers()[:s.FleetOptions.Servers/2] {
		v.SetFault(fake.Healthy)
	}
	fake.Sleep(ctx, time.Second)
	return nil
}
