// Package zones is the scene of zones that fail: real nodes and agents, stand-ins for feed
// servers, and faults between them.
package zones

import (
	"context"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"os"
	"slices"
	"time"

	"coralrelay/internal/fleet/zonestatus"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

// Options size the scene of zones that fail.
type Options struct {
	Seed                          uint64
	Nodes, Voters, Zones, Servers int
	Rate                          float64  // transactions a second in usual times
	Steps                         []string // of the script, empty for all; members meet in any case
	Binary, Mutation              string   // the agent's binary is beside the node's
	Progress                      io.Writer
}

// Mutations are the guards that the scenario can switch off, all in the agent.
var Mutations = map[string]string{
	"together":  "each node leaves alone, though it hears the record",
	"panic":     "zones are left however little is left to carry them",
	"return":    "a zone is returned to at once, without evidence or budget",
	"accuse":    "who is cut off himself is believed",
	"hold":      "a zone that fails again is not held",
	"viewpoint": "what one zone sees is so for all",
	"quorum":    "one member's word is enough",
}

// The scene's world, and the figures of fleet.zones that it shortens.
const (
	slowStart    = 6 * time.Second
	budgetWindow = 1500 * time.Millisecond
	retryRatio   = 0.3
	recoveryStep = 700 * time.Millisecond
	holdTime     = 5 * time.Second
	leaseTimeout = 2 * time.Second
	clockSkew    = 200 * time.Millisecond // by which members' clocks differ
)

// The bounds that docs/notes/zones.md derives, and what the scene allows beside them: that
// a line is on its way as its node hears, and that agents are looked at every 40 ms.
const (
	evacuationBound = 3 * time.Second
	spreadBound     = 500 * time.Millisecond
	electionBound   = 2500 * time.Millisecond // a new leader, where the last one is lost
	isolatedBound   = 6 * time.Second         // the lease, and three times the patience of all
	evacuationSlack = 500 * time.Millisecond
	inFlightSlack   = 150 * time.Millisecond
	recoveryBound   = 20 * time.Second
)

// scene is one run.
type scenario struct {
	*testbed.Testbed
	watcher    *watcher
	rate       float64
	nextVictim int // whose turn it is to fail
}

// Play plays the scene: feed servers, links, nodes and agents of zones fail in many ways,
// and the fleet leaves and returns as one.
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	if _, ok := Mutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", o.Mutation)
	}
	w := testbedOptions(o)
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
	s := &scenario{built, newWatcher(built.Agents), o.Rate, int(o.Seed % uint64(o.Zones))}
	defer s.watcher.close()
	s.ScaledDown = fmt.Sprintf("%d nodes in %d zones, all on one machine; a server is warm after %v, a step of a return takes %v, a zone that fails twice is held for %v",
		o.Nodes, o.Zones, slowStart, recoveryStep, holdTime)
	return s.Result, s.Play(ctx, s.phases(), o.Steps)
}

// options is the scene's world.
func testbedOptions(o Options) testbed.Options {
	w := testbed.Options{Scenario: "zones", Seed: o.Seed, Nodes: o.Nodes, Servers: o.Servers, Voters: o.Voters, Rate: o.Rate, ProxyServers: true, ReportLoad: true,
		Binary: o.Binary, Mutation: o.Mutation, Progress: o.Progress, Ramp: slowStart, BudgetWindow: budgetWindow, LeaseTimeout: 3 * time.Second, RetryRatio: retryRatio}
	for i := range o.Zones {
		w.Zones = append(w.Zones, string(rune('a'+i)))
	}
	w.OperatorConfig = func(_ string, f *operatorconfig.File) {
		z := &f.Fleet.Zones
		z.Enabled, z.Zones = true, w.Zones
		z.Steady, z.Hold, z.HoldMost, z.Quiet = configDuration(recoveryStep), configDuration(holdTime), configDuration(2*holdTime), configDuration(2*holdTime)
		z.Gap, z.Ramp, z.Skew = configDuration(2*time.Second), configDuration(slowStart), configDuration(clockSkew)
		z.Cold, z.Bears = testbed.SlowStartShare, o.Rate/float64(o.Servers)/testbed.UsualLoad
		f.Fleet.ReplicatedLog.Lease = configDuration(leaseTimeout)
	}
	w.ClockOffset = func(name string) time.Duration {
		if name[len(name)-1]%2 == 0 {
			return clockSkew
		}
		return 0
	}
	return w
}

func configDuration(d time.Duration) operatorconfig.Duration {
	return operatorconfig.Duration{Duration: d}
}

// steps is the script.
func (s *scenario) phases() (all []testbed.Phase) {
	for _, step := range []testbed.Phase{{Name: "meet", Run: s.waitUntilReady}, {Name: "cold", Run: s.coldRestart}, {Name: "silent", Run: s.unresponsiveZone},
		{Name: "link", Run: s.oneWayPartition}, {Name: "half", Run: s.halfOfZone}, {Name: "one", Run: s.partitionedNode}, {Name: "self", Run: s.isolatedZone}, {Name: "disk", Run: s.fullDisk},
		{Name: "leader", Run: s.lostLeaderZone}, {Name: "lone", Run: s.isolatedMember}, {Name: "two", Run: s.twoZones}, {Name: "flap", Run: s.flappingZone}} {
		do := step.Run
		step.Run = func(ctx context.Context, rng *mrand.Rand) error {
			from := time.Now()
			err := do(ctx, rng)
			s.checkServedShare(step.Name, from, time.Now())
			return err
		}
		all = append(all, step)
	}
	return all
}

// leastServed is the share of its transactions that the fleet serves in a step, where that is
// not what it is in all others.
var minServedShare = map[string]float64{"meet": 0, "two": 0.25, "leader": 0.6, "": 0.85}

func (s *scenario) checkServedShare(step string, from, until time.Time) {
	share, all := s.ServedShare(from, until)
	least, ok := minServedShare[step]
	if !ok {
		least = minServedShare[""]
	}
	s.SetMetric(step+"_served", share)
	s.SetMetric(step+"_s", until.Sub(from).Seconds())
	if share < least {
		s.AddViolation("served", fmt.Sprintf("%s: %.3f of %d transactions were served, want %.2f at least", step, share, all, least))
	}
}

// meet lets members find each other and agree on a leader, and nodes learn the usual rate:
// a node that has just begun takes more from second to second.
func (s *scenario) waitUntilReady(ctx context.Context, _ *mrand.Rand) error {
	_, met := testbed.Await(ctx, 20*time.Second, func() bool {
		now := time.Now()
		served, _ := s.ServedShare(now.Add(-time.Second), now)
		return served > 0.97 && s.watcher.hasRecovered(s.Names)
	})
	if !met && ctx.Err() == nil {
		return fmt.Errorf("members did not meet: %s", s.watcher.describe())
	}
	return nil
}

// victim is the next zone in turn, but for some: a zone that failed lately would be held.
func (s *scenario) nextZone(but ...string) string {
	for {
		zone := s.Zones[s.nextVictim%len(s.Zones)]
		if s.nextVictim++; !slices.Contains(but, zone) {
			return zone
		}
	}
}

// gone tells whether a posture sends nothing.
func isEvacuated(posture string) bool {
	return slices.Contains([]string{zonestatus.Evacuating.String(), zonestatus.Evacuated.String(), zonestatus.HeldBack.String()}, posture)
}
