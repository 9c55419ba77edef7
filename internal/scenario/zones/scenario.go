// Package zones is the scenario of zones that fail: real nodes and agents, fake servers, and faults
// between them. The fleet must evacuate a failed zone and return to it as one.
//
// Play runs the phases one after another on its caller's goroutine. A watcher polls each agent on a
// goroutine of its own, which ends when Play returns.
package zones

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

// Options size the scenario.
type Options struct {
	Seed                          uint64
	Nodes, Voters, Zones, Servers int
	Rate                          float64  // transactions a second under usual load
	Steps                         []string // the phases to run, empty for all; the first always runs
	Binary                        string   // the node's; the agent's is beside it
	Mutation                      string   // a key of Mutations, or empty
	Progress                      io.Writer
}

// Mutations are the safeguards that the scenario can switch off, all in the agent, by what the agent
// does without them.
var Mutations = map[string]string{
	"together":  "each node evacuates by itself, though it is in contact with the leader",
	"panic":     "zones are evacuated however little capacity is left",
	"return":    "a zone is returned to at once, without evidence or budget",
	"accuse":    "the report of a zone that is itself cut off is believed",
	"hold":      "a zone that fails again is not held back",
	"viewpoint": "what one zone observes holds for all",
	"quorum":    "the report of one member is enough",
}

// How the testbed differs from a real fleet: these figures are shorter.
const (
	slowStart    = 6 * time.Second
	budgetWindow = 1500 * time.Millisecond
	retryRatio   = 0.3
	recoveryStep = 700 * time.Millisecond
	holdTime     = 5 * time.Second
	leaseTimeout = 2 * time.Second
	clockSkew    = 200 * time.Millisecond // between members' clocks
)

// The bounds that docs/notes/zones.md derives, and the slack of the observation: a first line may be
// in flight while its node is notified, and agents are polled at an interval.
const (
	evacuationBound = 3 * time.Second
	spreadBound     = 500 * time.Millisecond  // between the first node of a zone and the last
	electionBound   = 2500 * time.Millisecond // for a new leader, where the last one is lost
	isolatedBound   = 6 * time.Second         // the lease, and three times the usual timeout
	evacuationSlack = 500 * time.Millisecond
	inFlightSlack   = 150 * time.Millisecond
	recoveryBound   = 20 * time.Second
)

// scenario is one run.
type scenario struct {
	*testbed.Testbed
	watcher    *watcher
	rate       float64
	nextVictim int // the index of the zone whose turn it is to fail
}

// Play runs the scenario: servers, links, nodes and agents of zones fail in many ways, and the fleet
// must evacuate and return as one. An error means that the run could not be made; broken rules are
// in the result.
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	if _, ok := Mutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", o.Mutation)
	}
	options := testbedOptions(o)
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
	s := &scenario{
		Testbed:    bed,
		watcher:    newWatcher(bed.Agents),
		rate:       o.Rate,
		nextVictim: int(o.Seed % uint64(o.Zones)),
	}
	defer s.watcher.close()
	s.ScaledDown = fmt.Sprintf("%d nodes in %d zones, all on one machine; a server is warm after %v, "+
		"a step of a return takes %v, a zone that fails twice is held for %v",
		o.Nodes, o.Zones, slowStart, recoveryStep, holdTime)
	return s.Result, s.Play(ctx, s.phases(), o.Steps)
}

// testbedOptions returns the scenario's testbed.
func testbedOptions(o Options) testbed.Options {
	options := testbed.Options{
		Scenario: "zones", Seed: o.Seed, Nodes: o.Nodes, Servers: o.Servers, Voters: o.Voters,
		Binary: o.Binary, Mutation: o.Mutation, Progress: o.Progress,
		Rate: o.Rate, Ramp: slowStart, BudgetWindow: budgetWindow,
		LeaseTimeout: 3 * time.Second, RetryRatio: retryRatio,
		ProxyServers: true, ReportLoad: true,
	}
	for i := range o.Zones {
		options.Zones = append(options.Zones, string(rune('a'+i)))
	}
	options.OperatorConfig = func(_ string, file *operatorconfig.File) {
		zones := &file.Fleet.Zones
		zones.Enabled, zones.Zones = true, options.Zones
		zones.StableInterval = configDuration(recoveryStep)
		zones.BaseHoldInterval = configDuration(holdTime)
		zones.MaxHoldInterval = configDuration(2 * holdTime)
		zones.FailureResetInterval = configDuration(2 * holdTime)
		zones.MinChangeInterval = configDuration(2 * time.Second)
		zones.SlowStartInterval = configDuration(slowStart)
		zones.MaxClockSkew = configDuration(clockSkew)
		zones.ColdCapacityFraction = testbed.SlowStartShare
		zones.EndpointSetupRate = o.Rate / float64(o.Servers) / testbed.UsualLoad
		file.Fleet.ReplicatedLog.Lease = configDuration(leaseTimeout)
	}
	options.ClockOffset = func(name string) time.Duration {
		if name[len(name)-1]%2 == 0 {
			return clockSkew
		}
		return 0
	}
	return options
}

func configDuration(d time.Duration) operatorconfig.Duration {
	return operatorconfig.Duration{Duration: d}
}
