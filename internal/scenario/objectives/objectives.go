// Package objectives runs the scenario of service level objectives. Contracts set objectives for
// response times, some of which cannot be met; the fleet steers tenants to regions that meet them,
// while regions become slow, are small, fail and recover. The scenario checks the allocations in the
// replicated log against their bounds, and their effects at the fake servers and clients. On the
// command line its name is promises.
//
// Play owns all processes, fake servers and goroutines. All have ended when it returns.
package objectives

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/scenario/testbed"
)

// Options configures the scenario.
type Options struct {
	Seed                          uint64
	Nodes, Voters, Zones, Servers int
	Rate                          float64   // transactions per second of all contracts
	Steps                         []string  // phases to run, empty for all; the first always runs
	SteeredOnly                   bool      // omits the unsteered and greedy variants
	Binary, Mutation              string    // path of the node's binary; a key of Mutations, or empty
	Progress                      io.Writer // nil for none
}

// Mutations maps each guard that the scenario can disable to the resulting behaviour. All guards are
// in the agent.
var Mutations = map[string]string{
	mutationGreedy:   "all traffic moves to the best region at once",
	"confidence":     "a few samples are enough for a verdict",
	"hysteresis":     "moves require no breach interval, no margin and no error budget",
	"explore":        "the share that explores is not bounded",
	"limits":         "objectives take precedence over the capacity of regions",
	"stale-evidence": "measurements never expire",
}

// mutationGreedy is also run as a variant, for comparison with the run that is checked.
const mutationGreedy = "greedy"

const (
	// timeScale is the speed-up of all times and windows of the objectives: a move interval lasts
	// 3 s, a minute 6 s.
	timeScale    = 10
	rampTime     = 2 * time.Second
	budgetWindow = 1500 * time.Millisecond
	leaseTimeout = 3 * time.Second
	retryRatio   = 0.3
)

// variant is one of the runs that are made concurrently.
type variant struct {
	name     string // empty for the run that is checked
	agent    string // path of its binary, empty for the one in the directory of the node's
	mutation string
	steered  bool
}

// Play runs the scenario. The result holds the violations; an error means that it could not run.
func Play(ctx context.Context, options Options) (*testbed.Result, error) {
	dir, remove, err := testbed.TempDir()
	if err != nil {
		return nil, err
	}
	defer remove()
	variants, err := newVariants(ctx, dir, options)
	if err != nil {
		return nil, err
	}
	runs, errs := make([]*run, len(variants)), make([]error, len(variants))
	var wg sync.WaitGroup
	for i, v := range variants {
		wg.Go(func() { runs[i], errs[i] = runVariant(ctx, options, v) })
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", strings.TrimSpace("promises "+variants[i].name), err)
		}
	}
	checked := runs[0]
	for _, other := range runs[1:] {
		other.compareWith(checked)
	}
	checked.ScaledDown = fmt.Sprintf(
		"%d nodes in %d zones, all on one machine; promises' time passes %d times faster",
		options.Nodes, options.Zones, timeScale)
	return checked.Result, nil
}

// newVariants returns the variants to run, starting with the one that is checked. It builds an agent
// that supports mutations if a variant needs it.
func newVariants(ctx context.Context, dir string, options Options) ([]variant, error) {
	if options.Mutation == "" && options.SteeredOnly {
		return []variant{{steered: true}}, nil
	}
	mutatedAgent, err := testbed.BuildMutated(ctx, dir, "coralagent")
	if err != nil {
		return nil, err
	}
	if options.Mutation != "" {
		return []variant{{agent: mutatedAgent, mutation: options.Mutation, steered: true}}, nil
	}
	return []variant{
		{steered: true},
		{name: "unsteered"},
		{name: "greedy", agent: mutatedAgent, mutation: mutationGreedy, steered: true},
	}, nil
}
