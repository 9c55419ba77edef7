package objectives

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

// Options size the scene of contracts on response times.
type Options struct {
	Seed                          uint64
	Nodes, Voters, Zones, Servers int
	Rate                          float64  // transactions a second of all contracts
	Steps                         []string // of the script, empty for all; members meet in any case
	SteeredOnly                   bool     // without the same play unsteered and greedy beside it
	Binary, Mutation              string   // the agent's binary is beside the node's
	Progress                      io.Writer
}

// Mutations are the guards that the scenario can switch off, all in the agent.
var Mutations = map[string]string{
	"greedy":         "all there is goes to the best region at once",
	"confidence":     "a few samples are a verdict",
	"hysteresis":     "no patience, no margin, and no budget asked",
	"explore":        "exploring has no bound",
	"limits":         "promises go before what a region bears",
	"stale-evidence": "what was measured counts for ever",
}

// The scene's times. Promises' own time passes ten times faster: a period is 3 s, a minute 6 s.
const (
	timeScale    = 10
	rampTime     = 2 * time.Second
	budgetWindow = 1500 * time.Millisecond
)

// run is one run.
type run struct {
	Options
	*testbed.Testbed
	variant        string // of the run, empty for the one that is checked
	rootKey        ed25519.PrivateKey
	firstSlowZone  string // the zone that is slow first,
	secondSlowZone string // then,
	smallZone      string // and the one with one server
	baseDelays     map[string]time.Duration
	zoneLoads      map[string]float64 // zones' loads

	mu           sync.Mutex
	replies      []clientReply
	changes      []steeringChange
	phaseTimes   map[string][2]time.Time // steps' times
	unmetReasons map[string]string
}

// Play plays the scene: regions become slow, are small, are left and return, while
// contracts that can and cannot be kept are steered by the record.
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	mutatedAgent := ""
	if o.Mutation != "" || !o.SteeredOnly {
		if mutatedAgent, err = testbed.BuildMutated(ctx, dir, "coralagent"); err != nil {
			return nil, err
		}
	}
	type variant struct {
		name, agent, mutation string
		steered               bool
	}
	runs := []variant{{"", "", "", true}}
	if o.Mutation != "" {
		runs = []variant{{"", mutatedAgent, o.Mutation, true}}
	} else if !o.SteeredOnly {
		runs = append(runs, variant{"unsteered", "", "", false}, variant{"greedy", mutatedAgent, "greedy", true})
	}
	played, errs := make([]*run, len(runs)), make([]error, len(runs))
	var all sync.WaitGroup
	for i, r := range runs {
		all.Go(func() { played[i], errs[i] = playRun(ctx, o, r.name, r.agent, r.mutation, r.steered) })
	}
	all.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", strings.TrimSpace("promises "+runs[i].name), err)
		}
	}
	first := played[0]
	for _, s := range played[1:] {
		s.compareWith(first)
	}
	first.ScaledDown = fmt.Sprintf("%d nodes in %d zones, all on one machine; promises' time passes %d times faster", o.Nodes, o.Zones, timeScale)
	return first.Result, nil
}

// playRun is one run.
func playRun(ctx context.Context, o Options, name, agent, mutation string, steered bool) (*run, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	w := testbed.Options{Scenario: "promises", Seed: o.Seed, Nodes: o.Nodes, Servers: o.Servers, Voters: o.Voters, Rate: o.Rate,
		ProxyServers: true, ReportLoad: true, Binary: o.Binary, Agent: agent, Mutation: mutation,
		Ramp: rampTime, BudgetWindow: budgetWindow, LeaseTimeout: 3 * time.Second, RetryRatio: 0.3}
	if name == "" {
		w.Progress = o.Progress
	}
	for i := range o.Zones {
		w.Zones = append(w.Zones, string(rune('a'+i)))
	}
	w.OperatorConfig = func(_ string, f *operatorconfig.File) {
		z := &f.Fleet.Zones
		z.Enabled, z.Zones = true, w.Zones
		z.Steady, z.Gap, z.Ramp = duration(700*time.Millisecond), duration(2*time.Second), duration(rampTime)
		z.Cold, z.Bears = testbed.SlowStartShare, o.Rate/float64(o.Servers)/testbed.UsualLoad
		f.Fleet.ReplicatedLog.Root = base64.StdEncoding.EncodeToString(public)
		p := &f.Fleet.SLO
		p.Enabled, p.Pace, p.Step, p.Inflow, p.Patience = steered, timeScale, maxStep, 0.15, duration(45*time.Second)
	}
	built, err := testbed.New(ctx, w)
	if err != nil {
		return nil, err
	}
	defer built.Close()
	s := &run{Options: o, Testbed: built, variant: name, rootKey: private, baseDelays: map[string]time.Duration{}, zoneLoads: map[string]float64{},
		phaseTimes: map[string][2]time.Time{}, unmetReasons: map[string]string{}}
	s.firstSlowZone, s.secondSlowZone, s.smallZone = w.Zones[1], w.Zones[0], w.Zones[2]
	built.SetRate(0.02) // the world's own clients are under no contract
	for _, v := range built.ServersIn(s.smallZone)[1:] {
		built.Leave(v.Name)
	}
	s.setSlowZones(nil)
	built.AnswerDelay = s.answerDelay
	var servers []string
	for _, v := range built.AllServers() {
		servers = append(servers, v.Name)
	}
	built.Proxy.SetOneWay(built.Names, servers, faultproxy.Fault{Delay: time.Millisecond, Drop: dropRatio})
	ctx, cancel := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()
	parts.Go(func() { s.updateZoneLoads(ctx) })
	parts.Go(func() { s.watchAllocations(ctx) })
	err = built.Play(ctx, s.phases(ctx, &parts), o.Steps)
	cancel()
	parts.Wait()
	s.recordMetrics()
	return s, err
}

func duration(d time.Duration) operatorconfig.Duration { return operatorconfig.Duration{Duration: d} }

// Regions' response times, and how much longer they are where a region is over full.
const (
	nearestDelay, zoneDelayStep = 10 * time.Millisecond, 5 * time.Millisecond
	slowZoneDelay               = 60 * time.Millisecond
	maxOverloadDelay            = 60 * time.Millisecond // at most
	dropRatio                   = 0.004                 // of what the relay passes on: held up by a resend
)

// slow makes some zones slow, all others usual; nil for none.
func (r *run) setSlowZones(zones map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, zone := range r.Testbed.Zones {
		r.baseDelays[zone] = nearestDelay + time.Duration(i)*zoneDelayStep
		if zones[zone] {
			r.baseDelays[zone] = slowZoneDelay
		}
	}
}

// answersIn is how long a server takes.
func (r *run) answerDelay(server string) time.Duration {
	zone := r.Zone(server)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.baseDelays[zone] + min(time.Duration(max(0, r.zoneLoads[zone]-0.9)*400*float64(time.Millisecond)), maxOverloadDelay)
}

// weather slows regions down as they fill, as servers do.
func (r *run) updateZoneLoads(ctx context.Context) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, zone := range r.Testbed.Zones {
				load := r.zoneLoad(zone, now.Add(-time.Second), now)
				r.mu.Lock()
				r.zoneLoads[zone] = load
				r.mu.Unlock()
			}
		}
	}
}

// loadOf is what a zone's servers were asked, over what they bear warm.
func (r *run) zoneLoad(zone string, from, until time.Time) float64 {
	bears := float64(len(r.ServersIn(zone))) * r.Testbed.Rate / float64(r.Options.Servers) / testbed.UsualLoad
	return float64(len(r.FirstLinesInto(zone, from, until))) / until.Sub(from).Seconds() / bears
}
