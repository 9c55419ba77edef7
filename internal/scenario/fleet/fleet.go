// Package rig plays scenes: real nodes and stand-ins on loopback, a seeded script
// with faults, and checks of the rules from the stand-ins' side.
package fleet

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

// Options size the scene of what nodes share.
type Options struct {
	Seed             uint64
	Nodes, Servers   int
	Rate             float64  // transactions a second in usual times
	Steps            []string // of the script, empty for all; members meet in any case
	WithoutAgents    bool     // nodes have no agents: figures for comparison, bounds not checked
	Binary, Mutation string   // the agent's binary is beside the node's
	Progress         io.Writer
}

// Mutations are the guards that the scenario can switch off; deaf sits in the node, all others in the agent.
var Mutations = map[string]string{
	"ranks":  "each member takes a cold server's whole budget, whatever the others take",
	"expire": "who has failed keeps his tokens for good",
	"quorum": "one member's accusation is a verdict",
	"open":   "messages need no key",
	"budget": "retries have no bound",
	"deaf":   "the agent's grants do not reach the node, which goes by its own reckoning",
}

// The scene's world, and its script's times.
const (
	rampTime          = 12 * time.Second
	budgetWindow      = 1500 * time.Millisecond
	retryRatio        = 0.05
	leaseTimeout      = 3 * time.Second
	partitionDuration = 10 * time.Second
	surgeRate         = 6.0 // times the usual rate
	// leastUse is the part of a cold server's budget that those who are left after a fall
	// use: half of it is dealt, by rates that they still learn.
	minBudgetUse = 0.12
)

// run is one run.
type run struct {
	Options
	*testbed.Testbed
}

// Play plays the scene: nodes with agents that gossip through a relay with faults, while
// a cold server comes in a surgeRate and a third of the nodes is cut off, servers fail, and
// false members speak.
func Play(ctx context.Context, options Options) (*testbed.Result, error) {
	if _, ok := Mutations[options.Mutation]; options.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", options.Mutation)
	}
	bedOptions := testbed.Options{Scenario: "fleet", Seed: options.Seed, Nodes: options.Nodes, Servers: options.Servers, Rate: options.Rate, WithoutAgents: options.WithoutAgents, Binary: options.Binary,
		Mutation: options.Mutation, Progress: options.Progress, Ramp: rampTime, BudgetWindow: budgetWindow, LeaseTimeout: leaseTimeout, RetryRatio: retryRatio}
	if options.Mutation != "" {
		dir, err := os.MkdirTemp("", "coralscenario-")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		program := &bedOptions.Agent
		name := "coralagent"
		if options.Mutation == "deaf" {
			program, name = &bedOptions.Binary, "coralrelay"
			bedOptions.Agent = testbed.SiblingBinary(options.Binary, "coralagent")
		}
		if *program, err = testbed.BuildMutated(ctx, dir, name); err != nil {
			return nil, err
		}
	}
	bed, err := testbed.New(ctx, bedOptions)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	r := &run{options, bed}
	r.ScaledDown = fmt.Sprintf("%d nodes in place of hundreds, all on one machine; a server is warm after %v; a partition of %v",
		options.Nodes, rampTime, partitionDuration)
	steps := []testbed.Phase{{Name: "meet", Run: r.gather}, {Name: "cold", Run: r.coldServerUnderPartition}, {Name: "fall", Run: r.crashMostNodes}, {Name: "lies", Run: r.falseReports},
		{Name: "bad", Run: r.failingServers}, {Name: "full", Run: r.rejectingServers}}
	if err := r.Play(ctx, steps, options.Steps); err != nil {
		return nil, err
	}
	r.CheckRetryBudget()
	return r.Result, ctx.Err()
}

// meet lets members find each other, and nodes learn the usual rate.
func (r *run) gather(ctx context.Context, _ *mrand.Rand) error {
	fake.Sleep(ctx, 5*time.Second)
	bytesBefore, begunAt := r.gossipBytes(), time.Now()
	fake.Sleep(ctx, 3*time.Second)
	r.SetMetric("gossip_bytes_per_node_per_s", float64(r.gossipBytes()-bytesBefore)/float64(len(r.Names))/time.Since(begunAt).Seconds())
	if !r.Options.WithoutAgents {
		r.RequireAtLeast("gossip_bytes_per_node_per_s", 100)
	}
	return nil
}

func (r *run) gossipBytes() (bytes uint64) {
	for _, name := range r.Names {
		n, _ := r.Proxy.Transferred(name)
		bytes += n
	}
	return bytes
}

// full has half of the servers turn every first line away, while their probes look well.
func (r *run) rejectingServers(ctx context.Context, _ *mrand.Rand) error {
	for _, server := range r.AllServers()[:r.Options.Servers/2] {
		server.SetFault(fake.AnswersBusy)
	}
	fake.Sleep(ctx, 8*time.Second)
	for _, server := range r.AllServers()[:r.Options.Servers/2] {
		server.SetFault(fake.Healthy)
	}
	fake.Sleep(ctx, time.Second)
	return nil
}
