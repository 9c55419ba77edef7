// Package world is what the scenes of the fleet share and none of them owns: nodes with
// their agents and feed servers, each in a zone, the relay with faults between them, clients
// at a rate, what the servers saw, and the checks that hold in every scene.
package testbed

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/faultproxy"
)

// Options size a world. Binary is the node's; Agent is its agent's, beside it if empty.
type Options struct {
	Scenario       string
	Seed           uint64
	Nodes, Servers int
	Zones          []string // nodes and servers are dealt to them in turn; empty for a alone
	Voters         int      // the first so many agents decide what the record takes; 0 for no record
	Rate           float64  // transactions a second in usual times
	WithoutAgents  bool     // nodes have no agents
	ProxyServers   bool     // nodes reach servers through the relay, too
	ReportLoad     bool     // servers report what they are asked; else a usual load
	Binary, Agent  string
	Mutation       string // told to all processes
	Progress       io.Writer

	Ramp, BudgetWindow time.Duration // of the settings' guarantees: rampTime and tipAfter, in seconds
	LeaseTimeout       time.Duration // fleet.hold
	RetryRatio         float64       // fleet.retries
	// Own completes what a member's file says, nil for nothing more.
	OperatorConfig func(name string, f *operatorconfig.File)
	// Clock is how far the clock of a member's agent is ahead, nil for not at all.
	ClockOffset func(name string) time.Duration
}

// What the settings of all nodes say, and how full servers are in usual times.
const (
	// ColdFrom is the part of what it can do warm that a server can do as it starts.
	SlowStartShare = 0.12
	coldTimes      = 3.0
	// UsualLoad is of a warm server: its usual share of the usual rate makes it.
	UsualLoad = 0.3
	warmLoad  = 0.29 // reported: a little under the least usual load, so that a draw decides
)

// World is one run of a scene.
type Testbed struct {
	Options
	*Result
	Dir         string
	Discovery   *fake.Discovery
	Proxy       *faultproxy.Proxy
	Names       []string // of the nodes, and of their agents
	Nodes       Nodes
	Agents      map[string]*Agent
	KeyFile     string                            // the fleet's key file
	Fleet       operatorconfig.Fleet              // what all members have alike
	AnswerDelay func(server string) time.Duration // until a first line is answered; nil for at once

	peers []string // where the relay takes members' messages
	zones map[string]string

	mu      sync.Mutex
	servers []*Server
	lines   []FirstLine
	answers []ClientAnswer
	rate    float64 // transactions a second now
	again   bool    // those beyond the usual rate come again
}

// New builds a world and starts all of it but its clients. End ends it; where New fails,
// nothing is left.
func New(ctx context.Context, o Options) (*Testbed, error) {
	if len(o.Zones) == 0 {
		o.Zones = []string{"a"}
	}
	if o.Agent == "" {
		o.Agent = SiblingBinary(o.Binary, "coralagent")
	}
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return nil, err
	}
	w := &Testbed{Options: o, Result: NewResult(o.Scenario, o.Seed), Dir: dir, Discovery: fake.NewDiscovery(), Proxy: faultproxy.New(o.Seed),
		Agents: map[string]*Agent{}, zones: map[string]string{}, rate: o.Rate}
	if err := w.build(ctx); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// Beside is another program in the folder of one.
func SiblingBinary(binary, name string) string { return filepath.Join(filepath.Dir(binary), name) }

// End ends all processes and stand-ins.
func (w *Testbed) Close() {
	w.Nodes.KillAll()
	for _, a := range w.Agents {
		a.Kill()
	}
	w.Proxy.Close()
	w.Discovery.Close()
	for _, v := range w.AllServers() {
		v.Kill()
	}
	_ = os.RemoveAll(w.Dir)
}

// Zone is where a node, an agent or a server stands.
func (w *Testbed) Zone(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.zones[name]
}

// In names the nodes of a zone; there says whether those in it or all others.
func (w *Testbed) NodesIn(zone string, there bool) (names []string) {
	for _, name := range w.Names {
		if (w.Zone(name) == zone) == there {
			names = append(names, name)
		}
	}
	return names
}

func (w *Testbed) place(name string, number int) string {
	zone := w.Zones[number%len(w.Zones)]
	w.mu.Lock()
	w.zones[name] = zone
	w.mu.Unlock()
	w.Proxy.SetZone(name, zone)
	return zone
}

// build makes the parties and starts them.
func (w *Testbed) build(ctx context.Context) error {
	if err := w.key(); err != nil {
		return err
	}
	w.Fleet = operatorconfig.Default().Fleet
	w.Fleet.Key, w.Fleet.Retries = w.KeyFile, w.RetryRatio
	w.Fleet.Hold, w.Fleet.Epoch = operatorconfig.Duration{Duration: w.LeaseTimeout}, operatorconfig.Duration{Duration: w.BudgetWindow}
	var own []operatorconfig.File
	for i := range w.Options.Nodes {
		name := fmt.Sprintf("n%d", i)
		w.Names = append(w.Names, name)
		w.place(name, i)
		f, err := w.member(name, i)
		if err != nil {
			return err
		}
		own = append(own, f)
	}
	for i := range w.Options.Servers {
		if _, err := w.Join(fmt.Sprintf("s%d", i), w.Zones[i%len(w.Zones)], false); err != nil {
			return err
		}
	}
	for i, name := range w.Names {
		f := &own[i]
		if !w.WithoutAgents {
			f.Fleet.Peers, f.Fleet.ReplicatedLog.Voters = w.peers, w.Fleet.ReplicatedLog.Voters
			if w.OperatorConfig != nil {
				w.OperatorConfig(name, f)
			}
		}
		if err := w.start(ctx, name, i, f); err != nil {
			return err
		}
	}
	return nil
}

func (w *Testbed) key() error {
	raw := make([]byte, 32)
	if _, err := rand.Read(raw); err != nil {
		return err
	}
	w.KeyFile = filepath.Join(w.Dir, "fleet.key")
	return os.WriteFile(w.KeyFile, []byte(hex.EncodeToString(raw)+"\n"), 0o600)
}

// start starts a node with its agent.
func (w *Testbed) start(ctx context.Context, name string, number int, own *operatorconfig.File) error {
	discovery, err := w.Discovery.Listen(name)
	if err != nil {
		return err
	}
	n, err := NewNode(NodeOptions{Binary: w.Binary, Name: name, Dir: filepath.Join(w.Dir, name), Discovery: discovery, Number: number,
		Nodes: w.Options.Nodes, OperatorConfig: own, Mutation: w.Mutation, Ramp: int(w.Ramp.Seconds()), Zone: w.Zone(name)})
	if err != nil {
		return err
	}
	if !w.WithoutAgents {
		a := w.agent(n, own)
		if err := a.Start(); err != nil {
			return err
		}
		w.Agents[name] = a
	}
	w.Nodes = append(w.Nodes, n)
	return n.Start(ctx)
}

// Step is a part of a scene's script.
type Phase struct {
	Name string
	Run  func(ctx context.Context, rng *mrand.Rand) error
}
