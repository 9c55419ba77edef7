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
	ramp    = 6 * time.Second
	window  = 1500 * time.Millisecond
	retries = 0.3
	steady  = 700 * time.Millisecond
	hold    = 5 * time.Second
	lease   = 2 * time.Second
	skew    = 200 * time.Millisecond // by which members' clocks differ
)

// The bounds that docs/notes/zones.md derives, and what the scene allows beside them: that
// a line is on its way as its node hears, and that agents are looked at every 40 ms.
const (
	leaveBound    = 3 * time.Second
	togetherBound = 500 * time.Millisecond
	electionBound = 2500 * time.Millisecond // a new leader, where the last one is lost
	aloneBound    = 6 * time.Second         // the lease, and three times the patience of all
	slack         = 500 * time.Millisecond
	atOnce        = 150 * time.Millisecond
	returnBound   = 20 * time.Second
)

// scene is one run.
type scene struct {
	*testbed.Testbed
	watch *watchers
	rate  float64
	next  int // whose turn it is to fail
}

// Play plays the scene: feed servers, links, nodes and agents of zones fail in many ways,
// and the fleet leaves and returns as one.
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	if _, ok := Mutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", o.Mutation)
	}
	w := options(o)
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
	s := &scene{built, newWatchers(built.Agents), o.Rate, int(o.Seed % uint64(o.Zones))}
	defer s.watch.end()
	s.ScaledDown = fmt.Sprintf("%d nodes in %d zones, all on one machine; a server is warm after %v, a step of a return takes %v, a zone that fails twice is held for %v",
		o.Nodes, o.Zones, ramp, steady, hold)
	return s.Result, s.Play(ctx, s.steps(), o.Steps)
}

// options is the scene's world.
func options(o Options) testbed.Options {
	w := testbed.Options{Scenario: "zones", Seed: o.Seed, Nodes: o.Nodes, Servers: o.Servers, Voters: o.Voters, Rate: o.Rate, ProxyServers: true, ReportLoad: true,
		Binary: o.Binary, Mutation: o.Mutation, Progress: o.Progress, Ramp: ramp, BudgetWindow: window, LeaseTimeout: 3 * time.Second, RetryRatio: retries}
	for i := range o.Zones {
		w.Zones = append(w.Zones, string(rune('a'+i)))
	}
	w.OperatorConfig = func(_ string, f *operatorconfig.File) {
		z := &f.Fleet.Zones
		z.Enabled, z.Zones = true, w.Zones
		z.Steady, z.Hold, z.HoldMost, z.Quiet = of(steady), of(hold), of(2*hold), of(2*hold)
		z.Gap, z.Ramp, z.Skew = of(2*time.Second), of(ramp), of(skew)
		z.Cold, z.Bears = testbed.SlowStartShare, o.Rate/float64(o.Servers)/testbed.UsualLoad
		f.Fleet.ReplicatedLog.Lease = of(lease)
	}
	w.ClockOffset = func(name string) time.Duration {
		if name[len(name)-1]%2 == 0 {
			return skew
		}
		return 0
	}
	return w
}

func of(d time.Duration) operatorconfig.Duration { return operatorconfig.Duration{Duration: d} }

// steps is the script.
func (s *scene) steps() (all []testbed.Phase) {
	for _, step := range []testbed.Phase{{Name: "meet", Run: s.meet}, {Name: "cold", Run: s.cold}, {Name: "silent", Run: s.silent},
		{Name: "link", Run: s.link}, {Name: "half", Run: s.half}, {Name: "one", Run: s.one}, {Name: "self", Run: s.self}, {Name: "disk", Run: s.disk},
		{Name: "leader", Run: s.leader}, {Name: "lone", Run: s.lone}, {Name: "two", Run: s.two}, {Name: "flap", Run: s.flap}} {
		do := step.Run
		step.Run = func(ctx context.Context, rng *mrand.Rand) error {
			from := time.Now()
			err := do(ctx, rng)
			s.served(step.Name, from, time.Now())
			return err
		}
		all = append(all, step)
	}
	return all
}

// leastServed is the share of its transactions that the fleet serves in a step, where that is
// not what it is in all others.
var leastServed = map[string]float64{"meet": 0, "two": 0.25, "leader": 0.6, "": 0.85}

func (s *scene) served(step string, from, until time.Time) {
	share, all := s.ServedShare(from, until)
	least, ok := leastServed[step]
	if !ok {
		least = leastServed[""]
	}
	s.SetMetric(step+"_served", share)
	s.SetMetric(step+"_s", until.Sub(from).Seconds())
	if share < least {
		s.AddViolation("served", fmt.Sprintf("%s: %.3f of %d transactions were served, want %.2f at least", step, share, all, least))
	}
}

// meet lets members find each other and agree on a leader, and nodes learn the usual rate:
// a node that has just begun takes more from second to second.
func (s *scene) meet(ctx context.Context, _ *mrand.Rand) error {
	_, met := testbed.Await(ctx, 20*time.Second, func() bool {
		now := time.Now()
		served, _ := s.ServedShare(now.Add(-time.Second), now)
		return served > 0.97 && s.watch.settled(s.Names)
	})
	if !met && ctx.Err() == nil {
		return fmt.Errorf("members did not meet: %s", s.watch.say())
	}
	return nil
}

// victim is the next zone in turn, but for some: a zone that failed lately would be held.
func (s *scene) victim(but ...string) string {
	for {
		zone := s.Zones[s.next%len(s.Zones)]
		if s.next++; !slices.Contains(but, zone) {
			return zone
		}
	}
}

// gone tells whether a posture sends nothing.
func gone(posture string) bool {
	return slices.Contains([]string{zonestatus.Evacuating.String(), zonestatus.Evacuated.String(), zonestatus.HeldBack.String()}, posture)
}
