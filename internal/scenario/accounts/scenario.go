// Package accounts is the scene of accounts and teams that many write at once: real agents
// that keep the record, and faults among them. What was answered is held against the same
// pure code that the record applies, from outside and with all of its guards in.
package accounts

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"os"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

// Options size the scene.
type Options struct {
	Seed                        uint64
	Nodes, Voters, Zones, Teams int
	Steps                       []string // of the script, empty for all; members meet and accounts are founded in any case
	Binary, Mutation            string   // the agent's binary is beside the node's
	Progress                    io.Writer
}

// Mutations are the guards that the scenario can switch off, all in the agent.
var Mutations = map[string]string{
	"commit":  "a proposal is applied before it is committed",
	"parent":  "a child may hold more than its parent",
	"subtree": "a grant reaches every path",
	"revoke":  "what was handed on stays good when the grant it came from is revoked",
	"half":    "what comes before the failing part of a change stays",
	"stale":   "a member that hears nobody says that its word is fresh",
}

const (
	leaseTimeout       = 2 * time.Second
	clockSkew          = 200 * time.Millisecond // by which members' clocks differ
	meanMovePause      = 200 * time.Millisecond // of a writer between two moves, in the mean
	requestRate        = 60                     // transactions a second beside it all
	serverCount        = 6
	pollInterval       = 20 * time.Millisecond // how often each agent is asked what it knows
	learningTime       = 14 * time.Second      // until nodes know the usual rate: before, they refuse some
	historyTimeout     = 10 * time.Second      // the greatest time that histories are searched for
	maxLeaderGap       = 3 * time.Second       // from the loss of a leader to the next change taken: three beats, and proposals' own waits
	convergenceTimeout = 5 * time.Second       // until all members are as one again, once healed
	rejoinTimeout      = 15 * time.Second      // until a voter has its vote again
)

// scene is one run.
type scenario struct {
	*testbed.Testbed
	tree          *tree
	watcher       *watcher
	history       *history
	proposalSlots map[string]chan struct{} // asks under way at each agent

	writers     sync.WaitGroup
	stopWriters context.CancelFunc // of the writers

	mu           sync.Mutex
	faultPeriods map[string][]period // of each agent
	leaderLostAt []time.Time         // when leaders were lost
}

// span is how long a fault lasted; until is zero while it does.
type period struct{ from, until time.Time }

// Play plays the scene: teams change routes, limits and grants at once through different
// agents, while leaders die, links break, a disk fills up and agents stall.
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	if _, ok := Mutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", o.Mutation)
	}
	t, err := newTree(o.Teams)
	if err != nil {
		return nil, err
	}
	w := testbed.Options{Scenario: "accounts", Seed: o.Seed, Nodes: o.Nodes, Servers: serverCount, Voters: o.Voters, Rate: requestRate, Binary: o.Binary,
		Mutation: o.Mutation, Progress: o.Progress, Ramp: 2 * time.Second, BudgetWindow: 1500 * time.Millisecond, LeaseTimeout: 3 * time.Second, RetryRatio: 0.3}
	for i := range o.Zones {
		w.Zones = append(w.Zones, string(rune('a'+i)))
	}
	w.OperatorConfig = func(_ string, f *operatorconfig.File) {
		f.Fleet.ReplicatedLog.Root = base64.StdEncoding.EncodeToString(t.root.public())
		f.Fleet.ReplicatedLog.Lease = operatorconfig.Duration{Duration: leaseTimeout}
	}
	w.ClockOffset = func(name string) time.Duration {
		if name[len(name)-1]%2 == 0 {
			return clockSkew
		}
		return 0
	}
	if o.Mutation != "" {
		dir, err := os.MkdirTemp("", "coralscenario-")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if w.Agent, err = testbed.BuildMutated(ctx, dir, "coralagent"); err != nil {
			return nil, err
		}
	}
	built, err := testbed.New(ctx, w)
	if err != nil {
		return nil, err
	}
	defer built.Close()
	s := &scenario{Testbed: built, tree: t, history: &history{}, proposalSlots: map[string]chan struct{}{}, stopWriters: func() {}, faultPeriods: map[string][]period{}}
	for _, name := range s.Names {
		s.proposalSlots[name] = make(chan struct{}, 3)
	}
	s.watcher = newWatcher(s.Agents)
	defer s.watcher.close()
	s.ScaledDown = fmt.Sprintf("%d agents in %d zones, all on one machine; %d teams on two levels below %d accounts; a lease of %v; each agent is looked at every %v",
		o.Nodes, o.Zones, o.Teams, len(t.admins), leaseTimeout, pollInterval)
	return s.Result, s.run(ctx, o.Steps)
}

// run plays the script, lets all members agree, and judges.
func (s *scenario) run(ctx context.Context, chosen []string) error {
	defer s.writers.Wait()
	defer func() { s.stopWriters() }()
	err := s.Play(ctx, []testbed.Phase{{Name: "meet", Run: s.waitUntilReady}, {Name: "calm", Run: s.noFault}, {Name: "leader", Run: s.killedLeader},
		{Name: "oneway", Run: s.oneWayPartition}, {Name: "apart", Run: s.isolatedMembers}, {Name: "disk", Run: s.fullDisk}, {Name: "stall", Run: s.pausedAgents},
		{Name: "many", Run: s.manyFaults}}, chosen)
	if err != nil {
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

// meet lets members find each other and agree on a leader, founds the accounts, and has
// writers begin.
func (s *scenario) waitUntilReady(ctx context.Context, _ *mrand.Rand) error {
	if _, met := testbed.Await(ctx, 15*time.Second, func() bool { return s.watcher.hasConverged(s.Names) }); !met && ctx.Err() == nil {
		return fmt.Errorf("members did not meet: %s", s.watcher.describe())
	}
	if err := s.createTree(ctx); err != nil {
		return err
	}
	writing, stop := context.WithCancel(ctx)
	s.stopWriters = stop
	for i, w := range s.tree.writers() {
		w.scenario, w.rng = s, mrand.New(mrand.NewPCG(s.Options.Seed, uint64(100+i)))
		s.writers.Go(func() { w.run(writing) })
	}
	return nil
}

func (s *scenario) noFault(ctx context.Context, _ *mrand.Rand) error {
	fake.Sleep(ctx, 2*time.Second)
	return nil
}

// agree heals all and waits until all members hold the same.
func (s *scenario) waitForConvergence(ctx context.Context) {
	s.Proxy.Heal()
	took, came := testbed.Await(ctx, convergenceTimeout, func() bool { return s.watcher.hasConverged(s.Names) })
	s.SetMetric("as_one_again_ms", float64(took.Milliseconds()))
	if !came && ctx.Err() == nil {
		s.AddViolation("converge", fmt.Sprintf("members are not as one %v after all was healed: %s", convergenceTimeout, s.watcher.describe()))
	}
	// Trees are asked for after states: the last ones have to come, too.
	testbed.Await(ctx, time.Second, func() bool { return s.watcher.hasCurrentTrees(s.Names) })
}
