package scenario

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

// PromisesOptions size the scene of contracts on response times.
type SLOOptions struct {
	Seed                          uint64
	Nodes, Voters, Zones, Servers int
	Rate                          float64  // transactions a second of all contracts
	Steps                         []string // of the script, empty for all; members meet in any case
	SteeredOnly                   bool     // without the same play unsteered and greedy beside it
	Binary, Mutation              string   // the agent's binary is beside the node's
	Progress                      io.Writer
}

// PromisesMutations are the guards that the scenario can switch off, all in the agent.
var SLOMutations = map[string]string{
	"greedy":         "all there is goes to the best region at once",
	"confidence":     "a few samples are a verdict",
	"hysteresis":     "no patience, no margin, and no budget asked",
	"explore":        "exploring has no bound",
	"limits":         "promises go before what a region bears",
	"stale-evidence": "what was measured counts for ever",
}

// The scene's times. Promises' own time passes ten times faster: a period is 3 s, a minute 6 s.
const (
	pace           = 10
	promisesRamp   = 2 * time.Second
	promisesWindow = 1500 * time.Millisecond
)

// promisesScene is one run.
type promisesScene struct {
	SLOOptions
	*testbed.Testbed
	name   string // of the run, empty for the one that is checked
	root   ed25519.PrivateKey
	quick  string // the zone that is slow first,
	second string // then,
	small  string // and the one with one server
	slowed map[string]time.Duration
	full   map[string]float64 // zones' loads

	mu     sync.Mutex
	said   []reply
	shares []steered
	parts  map[string][2]time.Time // steps' times
	unkept map[string]string
}

// Promises plays the scene: regions become slow, are small, are left and return, while
// contracts that can and cannot be kept are steered by the record.
func SLO(ctx context.Context, o SLOOptions) (*testbed.Result, error) {
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
	type run struct {
		name, agent, mutation string
		steered               bool
	}
	runs := []run{{"", "", "", true}}
	if o.Mutation != "" {
		runs = []run{{"", mutatedAgent, o.Mutation, true}}
	} else if !o.SteeredOnly {
		runs = append(runs, run{"unsteered", "", "", false}, run{"greedy", mutatedAgent, "greedy", true})
	}
	scenes, errs := make([]*promisesScene, len(runs)), make([]error, len(runs))
	var all sync.WaitGroup
	for i, r := range runs {
		all.Go(func() { scenes[i], errs[i] = playPromises(ctx, o, r.name, r.agent, r.mutation, r.steered) })
	}
	all.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", strings.TrimSpace("promises "+runs[i].name), err)
		}
	}
	first := scenes[0]
	for _, s := range scenes[1:] {
		s.beside(first)
	}
	first.ScaledDown = fmt.Sprintf("%d nodes in %d zones, all on one machine; promises' time passes %d times faster", o.Nodes, o.Zones, pace)
	return first.Result, nil
}

// playPromises is one run.
func playPromises(ctx context.Context, o SLOOptions, name, agent, mutation string, steered bool) (*promisesScene, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	w := testbed.Options{Scenario: "promises", Seed: o.Seed, Nodes: o.Nodes, Servers: o.Servers, Voters: o.Voters, Rate: o.Rate,
		ProxyServers: true, ReportLoad: true, Binary: o.Binary, Agent: agent, Mutation: mutation,
		Ramp: promisesRamp, BudgetWindow: promisesWindow, LeaseTimeout: 3 * time.Second, RetryRatio: 0.3}
	if name == "" {
		w.Progress = o.Progress
	}
	for i := range o.Zones {
		w.Zones = append(w.Zones, string(rune('a'+i)))
	}
	w.OperatorConfig = func(_ string, f *operatorconfig.File) {
		z := &f.Fleet.Zones
		z.Enabled, z.Zones = true, w.Zones
		z.Steady, z.Gap, z.Ramp = in(700*time.Millisecond), in(2*time.Second), in(promisesRamp)
		z.Cold, z.Bears = testbed.SlowStartShare, o.Rate/float64(o.Servers)/testbed.UsualLoad
		f.Fleet.ReplicatedLog.Root = base64.StdEncoding.EncodeToString(public)
		p := &f.Fleet.SLO
		p.Enabled, p.Pace, p.Step, p.Inflow, p.Patience = steered, pace, stepAtMost, 0.15, in(45*time.Second)
	}
	built, err := testbed.New(ctx, w)
	if err != nil {
		return nil, err
	}
	defer built.Close()
	s := &promisesScene{SLOOptions: o, Testbed: built, name: name, root: private, slowed: map[string]time.Duration{}, full: map[string]float64{},
		parts: map[string][2]time.Time{}, unkept: map[string]string{}}
	s.quick, s.second, s.small = w.Zones[1], w.Zones[0], w.Zones[2]
	built.SetRate(0.02) // the world's own clients are under no contract
	for _, v := range built.ServersIn(s.small)[1:] {
		built.Leave(v.Name)
	}
	s.slow(nil)
	built.AnswerDelay = s.answersIn
	var servers []string
	for _, v := range built.AllServers() {
		servers = append(servers, v.Name)
	}
	built.Proxy.SetOneWay(built.Names, servers, faultproxy.Fault{Delay: time.Millisecond, Drop: lost})
	ctx, cancel := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()
	parts.Go(func() { s.weather(ctx) })
	parts.Go(func() { s.watchRecord(ctx) })
	err = built.Play(ctx, s.script(ctx, &parts), o.Steps)
	cancel()
	parts.Wait()
	s.figures()
	return s, err
}

func in(d time.Duration) operatorconfig.Duration { return operatorconfig.Duration{Duration: d} }

// Regions' response times, and how much longer they are where a region is over full.
const (
	nearest, apart = 10 * time.Millisecond, 5 * time.Millisecond
	slowAnswer     = 60 * time.Millisecond
	overAnswer     = 60 * time.Millisecond // at most
	lost           = 0.004                 // of what the relay passes on: held up by a resend
)

// slow makes some zones slow, all others usual; nil for none.
func (s *promisesScene) slow(zones map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, zone := range s.Testbed.Zones {
		s.slowed[zone] = nearest + time.Duration(i)*apart
		if zones[zone] {
			s.slowed[zone] = slowAnswer
		}
	}
}

// answersIn is how long a server takes.
func (s *promisesScene) answersIn(server string) time.Duration {
	zone := s.Zone(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowed[zone] + min(time.Duration(max(0, s.full[zone]-0.9)*400*float64(time.Millisecond)), overAnswer)
}

// weather slows regions down as they fill, as servers do.
func (s *promisesScene) weather(ctx context.Context) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, zone := range s.Testbed.Zones {
				load := s.loadOf(zone, now.Add(-time.Second), now)
				s.mu.Lock()
				s.full[zone] = load
				s.mu.Unlock()
			}
		}
	}
}

// loadOf is what a zone's servers were asked, over what they bear warm.
func (s *promisesScene) loadOf(zone string, from, until time.Time) float64 {
	bears := float64(len(s.ServersIn(zone))) * s.Testbed.Rate / float64(s.SLOOptions.Servers) / testbed.UsualLoad
	return float64(len(s.FirstLinesInto(zone, from, until))) / until.Sub(from).Seconds() / bears
}
