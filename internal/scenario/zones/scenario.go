// Package zones implements the scenario of zone failures, with real nodes and agents, fake servers,
// and faults between them. All members of the fleet must evacuate a failed zone together, and return
// to it together.
//
// Play runs the phases one after another on the goroutine of its caller. A watcher polls each agent
// on a separate goroutine, which ends when Play returns.
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

// Options configures the scenario.
type Options struct {
	Seed                          uint64
	Nodes, Voters, Zones, Servers int
	Rate                          float64  // transactions per second under usual load
	Steps                         []string // the phases to run, empty for all; the first always runs
	Binary                        string   // path of the node's binary; the agent's is in the same directory
	Mutation                      string   // a key of Mutations, or empty
	Progress                      io.Writer
}

// Mutations maps each guard that the scenario can disable to the resulting behaviour. All guards are
// in the agent.
var Mutations = map[string]string{
	"together":  "each node evacuates by itself even while it is in contact with the leader",
	"panic":     "zones are evacuated regardless of the remaining capacity",
	"return":    "traffic returns to a zone at once, without evidence or budget",
	"accuse":    "the report of a zone that is itself isolated is accepted",
	"hold":      "a zone that fails again is not held back",
	"viewpoint": "the observation of one zone applies to all zones",
	"quorum":    "the report of a single member is sufficient",
}

// Settings of the testbed, whose times are shorter than those of a real fleet.
const (
	slowStart    = 6 * time.Second
	budgetWindow = 1500 * time.Millisecond
	retryRatio   = 0.3
	recoveryStep = 700 * time.Millisecond
	holdTime     = 5 * time.Second
	leaseTimeout = 2 * time.Second
	clockSkew    = 200 * time.Millisecond // between the clocks of the members
)

// The bounds derived in docs/notes/zones.md, and the slack of the observation: a first line may be
// in flight while its node is notified, and agents are polled at an interval.
const (
	evacuationBound = 3 * time.Second
	spreadBound     = 500 * time.Millisecond  // between the first and the last node of a zone
	electionBound   = 2500 * time.Millisecond // for the election of a new leader
	isolatedBound   = 6 * time.Second         // the lease, and three times the usual timeout of an evacuation
	evacuationSlack = 500 * time.Millisecond
	inFlightSlack   = 150 * time.Millisecond
	recoveryBound   = 20 * time.Second
)

// scenario is the state of one run.
type scenario struct {
	*testbed.Testbed
	watcher       *watcher
	rate          float64
	nextZoneIndex int // index of the zone that fails next, before reduction modulo the number of zones
}

// Play runs the scenario: servers, links, nodes and agents of zones fail in many ways, and all members
// must evacuate and return together. The result holds the violations; an error means that the
// scenario could not run.
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	if _, ok := Mutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("unknown mutation %q", o.Mutation)
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
		Testbed:       bed,
		watcher:       newWatcher(bed.Agents),
		rate:          o.Rate,
		nextZoneIndex: int(o.Seed % uint64(o.Zones)),
	}
	defer s.watcher.close()
	s.ScaledDown = fmt.Sprintf("%d nodes in %d zones, all on one machine; a server is warm after %v, "+
		"a step of a return takes %v, a zone that fails twice is held for %v",
		o.Nodes, o.Zones, slowStart, recoveryStep, holdTime)
	return s.Result, s.Play(ctx, s.phases(), o.Steps)
}

// testbedOptions returns the options of the scenario's testbed.
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
