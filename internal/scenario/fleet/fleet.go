// Package fleet plays the scenario of nodes whose agents share quotas and outlier reports by
// gossip: a cold server comes in a surge while a third of the nodes is cut off, most nodes
// crash, false members speak, and servers fail. It checks at the fake servers that cold ones get
// no more than their budget, that failing ones are ejected and healthy ones are not, and that
// retries stay within their ratio.
//
// Play owns all processes, fake servers and goroutines, by way of its testbed; all have ended
// when it returns.
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

// Options size the scenario.
type Options struct {
	Seed             uint64
	Nodes, Servers   int
	Rate             float64   // transactions a second in usual times
	Steps            []string  // names of phases, empty for all; the first is played in any case
	WithoutAgents    bool      // nodes have no agents: metrics for comparison, bounds not checked
	Binary, Mutation string    // the node's binary, with the agent's beside it; a key of Mutations or empty
	Progress         io.Writer // nil for none
}

// Mutations are the guards that the scenario can switch off. All but mutationDeaf are in the
// agent.
var Mutations = map[string]string{
	"ranks":      "each member takes a cold server's whole budget, whatever the others take",
	"expire":     "who has failed keeps his tokens for good",
	"quorum":     "one member's accusation is a verdict",
	"open":       "messages need no key",
	"budget":     "retries have no bound",
	mutationDeaf: "the agent's grants do not reach the node, which goes by its own reckoning",
}

// mutationDeaf is a fault of the node.
const mutationDeaf = "deaf"

// The settings of nodes and agents.
const (
	rampTime     = 12 * time.Second
	budgetWindow = 1500 * time.Millisecond
	retryRatio   = 0.05
	leaseTimeout = 3 * time.Second
)

// surgeRate is the rate of a surge, in multiples of the usual one.
const surgeRate = 6.0

// run is one run of the scenario.
type run struct {
	Options
	*testbed.Testbed
}

// Play plays the scenario. The result holds what broke; an error says that it could not run.
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
		"%d nodes in place of hundreds, all on one machine; a server is warm after %v; a partition of %v",
		options.Nodes, rampTime, partitionDuration)
	if err := r.Play(ctx, r.phases(), options.Steps); err != nil {
		return nil, err
	}
	r.CheckRetryBudget()
	return r.Result, ctx.Err()
}

// useMutatedBinary builds the program that has the mutation, and sets it in the options.
func useMutatedBinary(ctx context.Context, dir string, options *testbed.Options) (err error) {
	if options.Mutation != mutationDeaf {
		options.Agent, err = testbed.BuildMutated(ctx, dir, "coralagent")
		return err
	}
	options.Agent = testbed.SiblingBinary(options.Binary, "coralagent")
	options.Binary, err = testbed.BuildMutated(ctx, dir, "coralrelay")
	return err
}

// phases is the script; its names are those that --steps takes.
func (r *run) phases() []testbed.Phase {
	return []testbed.Phase{
		{Name: "meet", Run: r.gather},
		{Name: "cold", Run: r.coldServerUnderPartition},
		{Name: "fall", Run: r.crashMostNodes},
		{Name: "lies", Run: r.falseReports},
		{Name: "bad", Run: r.failingServers},
		{Name: "full", Run: r.rejectingServers},
	}
}

// gather lets members find each other and nodes learn the usual rate, and measures the gossip.
func (r *run) gather(ctx context.Context, _ *mrand.Rand) error {
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

// gossipBytes returns how many bytes all members have sent one another.
func (r *run) gossipBytes() (bytes uint64) {
	for _, name := range r.Names {
		n, _ := r.Proxy.Transferred(name)
		bytes += n
	}
	return bytes
}

// checkAgents notes that a bound was missed which only nodes with agents can keep.
func (r *run) checkAgents(kept bool, rule, format string, args ...any) {
	if !kept && !r.Options.WithoutAgents {
		r.AddViolation(rule, fmt.Sprintf(format, args...))
	}
}
