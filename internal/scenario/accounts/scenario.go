// Package accounts is the scenario of accounts and teams that many write at the same time: real
// agents that replicate the log, and faults between them. All answers are checked against the same
// pure code that the log applies, outside of the agents and with all of its safeguards.
//
// Play runs the phases one after another on its caller's goroutine. A watcher polls each agent, and
// writers propose changes, each on a goroutine that has ended when Play returns.
package accounts

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

// Options size the scenario.
type Options struct {
	Seed                        uint64
	Nodes, Voters, Zones, Teams int
	Steps                       []string // the phases to run, empty for all; the first always runs
	Binary                      string   // the node's; the agent's is beside it
	Mutation                    string   // a key of Mutations, or empty
	Progress                    io.Writer
}

// Mutations are the safeguards that the scenario can switch off, all in the agent, by what the agent
// does without them.
var Mutations = map[string]string{
	"commit":  "a proposal is applied before it is committed",
	"parent":  "a child may hold more than its parent",
	"subtree": "a grant reaches every path",
	"revoke":  "a delegated grant stays valid when the grant it came from is revoked",
	"half":    "what comes before the failing part of a change stays",
	"stale":   "a member without contact reports that it is within its lease",
}

const (
	leaseTimeout  = 2 * time.Second
	clockSkew     = 200 * time.Millisecond // between members' clocks
	meanMovePause = 200 * time.Millisecond // of a writer between two moves
	requestRate   = 60                     // transactions a second beside it all
	serverCount   = 6
	agentCalls    = 3                     // proposals under way at each agent
	pollInterval  = 20 * time.Millisecond // of each agent
	learningTime  = 14 * time.Second      // until nodes know the usual rate: before, they reject some

	historyTimeout     = 10 * time.Second // of the search for an order of the history
	maxLeaderGap       = 3 * time.Second  // from the loss to the next accepted change: three heartbeats
	convergenceTimeout = 5 * time.Second  // once all faults have ended
	rejoinTimeout      = 15 * time.Second // until a voter has its vote again
)

// scenario is one run.
type scenario struct {
	*testbed.Testbed
	tree          *tree
	watcher       *watcher
	history       *history
	proposalSlots map[string]chan struct{} // by agent: the proposals under way

	writers     sync.WaitGroup
	stopWriters context.CancelFunc

	mu           sync.Mutex
	faultPeriods map[string][]period // by agent
	leaderLostAt []time.Time
}

// period is how long a fault lasted; until is zero while it does.
type period struct{ from, until time.Time }

// Play runs the scenario: teams change routes, limits and grants at the same time through different
// agents, while leaders die, links break, a disk fills up and agents stall. An error means that the
// run could not be made; broken rules are in the result.
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	if _, ok := Mutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", o.Mutation)
	}
	tree, err := newTree(o.Teams)
	if err != nil {
		return nil, err
	}
	options := testbedOptions(o, tree)
	if o.Mutation != "" {
		dir, err := os.MkdirTemp("", "coralscenario-")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if options.Agent, err = testbed.BuildMutated(ctx, dir, "coralagent"); err != nil {
			return nil, err
		}
	}
	bed, err := testbed.New(ctx, options)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	s := newScenario(bed, tree)
	defer s.watcher.close()
	s.ScaledDown = fmt.Sprintf("%d agents in %d zones, all on one machine; %d teams on two levels "+
		"below %d accounts; a lease of %v; each agent is looked at every %v",
		o.Nodes, o.Zones, o.Teams, len(tree.admins), leaseTimeout, pollInterval)
	return s.Result, s.run(ctx, o.Steps)
}

func newScenario(bed *testbed.Testbed, tree *tree) *scenario {
	s := &scenario{
		Testbed:       bed,
		tree:          tree,
		history:       &history{},
		watcher:       newWatcher(bed.Agents),
		proposalSlots: map[string]chan struct{}{},
		stopWriters:   func() {},
		faultPeriods:  map[string][]period{},
	}
	for _, name := range s.Names {
		s.proposalSlots[name] = make(chan struct{}, agentCalls)
	}
	return s
}

// testbedOptions returns the scenario's testbed.
func testbedOptions(o Options, tree *tree) testbed.Options {
	options := testbed.Options{
		Scenario: "accounts", Seed: o.Seed, Nodes: o.Nodes, Servers: serverCount, Voters: o.Voters,
		Binary: o.Binary, Mutation: o.Mutation, Progress: o.Progress,
		Rate: requestRate, Ramp: 2 * time.Second, BudgetWindow: 1500 * time.Millisecond,
		LeaseTimeout: 3 * time.Second, RetryRatio: 0.3,
	}
	for i := range o.Zones {
		options.Zones = append(options.Zones, string(rune('a'+i)))
	}
	options.OperatorConfig = func(_ string, file *operatorconfig.File) {
		log := &file.Fleet.ReplicatedLog
		log.RootPublicKey = base64.StdEncoding.EncodeToString(tree.root.public())
		log.Lease = operatorconfig.Duration{Duration: leaseTimeout}
	}
	options.ClockOffset = func(name string) time.Duration {
		if name[len(name)-1]%2 == 0 {
			return clockSkew
		}
		return 0
	}
	return options
}

// run runs the phases, lets all members converge, and checks.
func (s *scenario) run(ctx context.Context, chosen []string) error {
	defer s.writers.Wait()
	defer func() { s.stopWriters() }()
	if err := s.Play(ctx, s.phases(), chosen); err != nil {
		return err
	}
	s.stopWriters()
	s.writers.Wait()
	s.waitForConvergence(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.check(len(chosen) == 0)
	return nil
}
