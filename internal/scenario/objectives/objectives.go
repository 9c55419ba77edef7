// Package objectives plays the scenario of service level objectives: contracts on response
// times, some of which can't be met, are kept by steering tenants to regions that meet them,
// while regions become slow, are small, fail and recover. It checks what the allocations in the
// replicated log may do, and at the fake servers and clients what comes of them. On the command
// line its name is promises.
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

// Options size the scenario.
type Options struct {
	Seed                          uint64
	Nodes, Voters, Zones, Servers int
	Rate                          float64   // transactions a second of all contracts
	Steps                         []string  // names of phases, empty for all; the first is played in any case
	SteeredOnly                   bool      // without the same run unsteered and greedy beside it
	Binary, Mutation              string    // the node's binary, with the agent's beside it; a key of Mutations or empty
	Progress                      io.Writer // nil for none
}

// Mutations are the guards that the scenario can switch off, all in the agent.
var Mutations = map[string]string{
	mutationGreedy:   "all there is goes to the best region at once",
	"confidence":     "a few samples are a verdict",
	"hysteresis":     "no patience, no margin, and no budget asked",
	"explore":        "exploring has no bound",
	"limits":         "objectives go before what a region can do",
	"stale-evidence": "what was measured counts for ever",
}

// mutationGreedy is also played beside the run that is checked, for comparison.
const mutationGreedy = "greedy"

const (
	// timeScale is how many times faster the objectives' own time passes: a period is 3 s, a
	// minute 6 s.
	timeScale    = 10
	rampTime     = 2 * time.Second
	budgetWindow = 1500 * time.Millisecond
	leaseTimeout = 3 * time.Second
	retryRatio   = 0.3
)

// variant is one of the runs that are played at once.
type variant struct {
	name     string // empty for the run that is checked
	agent    string // its binary, empty for the one beside the node's
	mutation string
	steered  bool
}

// Play plays the scenario. The result holds what broke; an error says that it could not run.
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
	played, errs := make([]*run, len(variants)), make([]error, len(variants))
	var all sync.WaitGroup
	for i, v := range variants {
		all.Go(func() { played[i], errs[i] = playVariant(ctx, options, v) })
	}
	all.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", strings.TrimSpace("promises "+variants[i].name), err)
		}
	}
	checked := played[0]
	for _, other := range played[1:] {
		other.compareWith(checked)
	}
	checked.ScaledDown = fmt.Sprintf("%d nodes in %d zones, all on one machine; promises' time passes %d times faster",
		options.Nodes, options.Zones, timeScale)
	return checked.Result, nil
}

// newVariants returns what is to be played, the run that is checked first, and builds the agent
// with mutations if one is needed.
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
