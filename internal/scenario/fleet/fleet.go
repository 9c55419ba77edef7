// Package fleet runs a scenario of nodes whose agents share quotas and outlier reports by gossip: a
// cold server joins during a surge while a third of the nodes is partitioned, most nodes crash,
// false members send reports, and servers fail. It checks at the fake servers that cold servers
// receive no more than their slow start budget, that failing servers are ejected and healthy ones
// are not, and that retries stay within their ratio.
//
// Play owns all processes, fake servers and goroutines through its testbed; all have ended when it
// returns.
package fleet

import (
	"context"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// Options configure a run of the scenario.
type Options struct {
	Seed             uint64
	Nodes, Servers   int
	Rate             float64   // transactions per second at the usual load
	Steps            []string  // names of the phases to run, empty for all; the first always runs
	WithoutAgents    bool      // run the nodes alone, for comparison: bounds that need agents are not checked
	Binary, Mutation string    // the node's binary, next to the agent's; a key of Mutations or empty
	Progress         io.Writer // nil for none
}

// Mutations are the guards that the scenario can disable, by name. Each value describes the behavior
// without the guard. All but mutationIgnoreGrants are in the agent.
var Mutations = map[string]string{
	"ranks":              "each member takes a cold server's whole budget, regardless of the other members",
	"expire":             "failed members keep their tokens forever",
	"quorum":             "the report of one member is enough to eject a server",
	"open":               "gossip messages need no key",
	"budget":             "retries are unlimited",
	mutationIgnoreGrants: "the agent's quotas do not reach the node, which uses its own estimate",
}

// mutationIgnoreGrants is the only mutation of the node.
const mutationIgnoreGrants = "deaf"

// The settings of the nodes and agents.
const (
	rampTime     = 12 * time.Second
	budgetWindow = 1500 * time.Millisecond
	retryRatio   = 0.05
	leaseTimeout = 3 * time.Second
)

// surgeRate is the request rate of a surge, as a multiple of the usual rate.
const surgeRate = 6.0

// run is a run of the scenario.
type run struct {
	Options
	*testbed.Testbed
}

// Play runs the scenario. Violations of rules are in the result; an error means that the scenario could
// not run.
func Play(ctx context.Context, options Options) (*testbed.Result, error) {
	if err := testbed.CheckMutation(Mutations, options.Mutation); err != nil {
		return nil, err
	}
	bedOptions := testbed.Options{
		Scenario:      "fleet",
		Seed:          options.Seed,
		Nodes:         options.Nodes,
		Servers:       options.Servers,
		Rate:          options.Rate,
		WithoutAgents: options.WithoutAgents,
		Binary:        options.Binary,
		Mutation:      options.Mutation,
		Progress:      options.Progress,
		Ramp:          rampTime,
		BudgetWindow:  budgetWindow,
		LeaseTimeout:  leaseTimeout,
		RetryRatio:    retryRatio,
	}
	if options.Mutation != "" {
		dir, remove, err := testbed.TempDir()
		if err != nil {
			return nil, err
		}
		defer remove()
		if err := useMutatedBinary(ctx, dir, &bedOptions); err != nil {
			return nil, err
		}
	}
	bed, err := testbed.New(ctx, bedOptions)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	r := &run{options, bed}
	r.ScaledDown = fmt.Sprintf(
		"%d nodes instead of hundreds, all on one machine; slow start takes %v; a partition lasts %v",
		options.Nodes, rampTime, partitionDuration)
	if err := r.Play(ctx, r.phases(), options.Steps); err != nil {
		return nil, err
	}
	r.CheckRetryBudget()
	return r.Result, ctx.Err()
}

// useMutatedBinary builds the program that implements the mutation, and sets its path in the options.
func useMutatedBinary(ctx context.Context, dir string, options *testbed.Options) (err error) {
	if options.Mutation != mutationIgnoreGrants {
		options.Agent, err = testbed.BuildMutated(ctx, dir, "coralagent")
		return err
	}
	options.Agent = testbed.SiblingBinary(options.Binary, "coralagent")
	options.Binary, err = testbed.BuildMutated(ctx, dir, "coralrelay")
	return err
}

// phases returns the phases in order. Their names are the values of the flag --steps.
func (r *run) phases() []testbed.Phase {
	return []testbed.Phase{
		{Name: "meet", Run: r.measureGossip},
		{Name: "cold", Run: r.coldServerUnderPartition},
		{Name: "fall", Run: r.crashMostNodes},
		{Name: "lies", Run: r.falseReports},
		{Name: "bad", Run: r.failingServers},
		{Name: "full", Run: r.rejectingServers},
	}
}

// measureGossip waits until members have discovered each other and nodes have learned the usual rate, and
// then measures the gossip traffic.
func (r *run) measureGossip(ctx context.Context, _ *mrand.Rand) error {
	fake.Sleep(ctx, 5*time.Second)
	bytesBefore, begunAt := r.gossipBytes(), time.Now()
	fake.Sleep(ctx, 3*time.Second)
	bytesPerNode := float64(r.gossipBytes()-bytesBefore) / float64(len(r.Names))
	r.SetMetric("gossip_bytes_per_node_per_s", bytesPerNode/time.Since(begunAt).Seconds())
	if !r.Options.WithoutAgents {
		r.RequireAtLeast("gossip_bytes_per_node_per_s", 100)
	}
	return nil
}

// gossipBytes returns the total number of bytes that members have sent to each other.
func (r *run) gossipBytes() (bytes uint64) {
	for _, name := range r.Names {
		n, _ := r.Proxy.Transferred(name)
		bytes += n
	}
	return bytes
}

// requireWithAgents records a violation of a rule unless the rule was kept. It does nothing in a run
// without agents, because only nodes with agents can keep these rules.
func (r *run) requireWithAgents(kept bool, rule, format string, args ...any) {
	if !kept && !r.Options.WithoutAgents {
		r.AddViolation(rule, fmt.Sprintf(format, args...))
	}
}
