// Package accounts runs a scenario in which many writers change accounts and teams concurrently, through
// real agents that replicate the log, while faults are injected between the agents. All answers are
// checked against the pure code that applies log entries, which runs here outside of the agents and
// with all of its safeguards enabled.
//
// Play runs the phases one after another on its caller's goroutine. A watcher polls each agent, and
// writers propose changes, each on a goroutine of its own; all have ended when Play returns.
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

// Options configure a run of the scenario.
type Options struct {
	Seed                        uint64
	Nodes, Voters, Zones, Teams int
	Steps                       []string // the phases to run, empty for all; the first always runs
	Binary                      string   // of the node; the agent's binary is in the same directory
	Mutation                    string   // a key of Mutations, or empty
	Progress                    io.Writer
}

// Mutations are the safeguards that the scenario can disable, by name. All are in the agent. Each value
// describes the agent's behavior without the safeguard.
var Mutations = map[string]string{
	"commit":  "a proposal is applied before it is committed",
	"parent":  "a child may hold more than its parent",
	"subtree": "a grant applies to every path",
	"revoke":  "a delegated grant stays valid when the grant it came from is revoked",
	"half":    "the operations before the failing one of a change stay applied",
	"stale":   "a member without contact to the leader reports that it is within its lease",
}

const (
	leaseTimeout         = 2 * time.Second
	clockSkew            = 200 * time.Millisecond // between the clocks of two members
	meanActionPause      = 200 * time.Millisecond // of a writer between two actions
	backgroundRate       = 60                     // background transactions per second
	serverCount          = 6
	maxProposalsPerAgent = 3                     // concurrent proposals at each agent
	pollInterval         = 20 * time.Millisecond // between two polls of an agent
	rateLearningTime     = 14 * time.Second      // nodes reject some requests until they learn the usual rate

	historyTimeout     = 10 * time.Second // for the search for an order of the history
	maxLeaderGap       = 3 * time.Second  // from losing a leader to the next accepted change: 3 heartbeats
	convergenceTimeout = 5 * time.Second  // from the end of all faults
	rejoinTimeout      = 15 * time.Second // from the end of a fault until a voter has its vote again
)

// scenario is one run of the scenario.
type scenario struct {
	*testbed.Testbed
	tree          *tree
	watcher       *watcher
	history       *history
	proposalSlots map[string]chan struct{} // by agent: limits concurrent proposals

	writers     sync.WaitGroup
	stopWriters context.CancelFunc

	mu           sync.Mutex
	faultPeriods map[string][]period // by agent
	leaderLostAt []time.Time
}

// period is the time during which a fault lasted; until is zero while it lasts.
type period struct{ from, until time.Time }

// Play runs the scenario: teams change routes, limits and grants concurrently through different agents,
// while leaders are killed, links are cut, a disk fills up and agents are paused. It returns an error if
// the scenario could not run; violations of rules are in the result.
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	if _, ok := Mutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("unknown mutation %q", o.Mutation)
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
		"below %d accounts; a lease of %v; each agent is polled every %v",
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
		s.proposalSlots[name] = make(chan struct{}, maxProposalsPerAgent)
	}
	return s
}

// testbedOptions returns the options of the scenario's testbed.
func testbedOptions(o Options, tree *tree) testbed.Options {
	options := testbed.Options{
		Scenario: "accounts", Seed: o.Seed, Nodes: o.Nodes, Servers: serverCount, Voters: o.Voters,
		Binary: o.Binary, Mutation: o.Mutation, Progress: o.Progress,
		Rate: backgroundRate, Ramp: 2 * time.Second, BudgetWindow: 1500 * time.Millisecond,
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

// run runs the phases, waits until all members have converged, and checks the rules.
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
