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
	budgetMultiple = 3.0
	// UsualLoad is of a warm server: its usual share of the usual rate makes it.
	UsualLoad        = 0.3
	reportedWarmLoad = 0.29 // reported: a little under the least usual load, so that a draw decides
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

	gossipAddresses []string // where the relay takes members' messages
	zones           map[string]string

	mu          sync.Mutex
	servers     []*Server
	firstLines  []FirstLine
	answers     []ClientAnswer
	rate        float64 // transactions a second now
	extraReturn bool    // those beyond the usual rate come again
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
func (bed *Testbed) Close() {
	bed.Nodes.KillAll()
	for _, a := range bed.Agents {
		a.Kill()
	}
	bed.Proxy.Close()
	bed.Discovery.Close()
	for _, v := range bed.AllServers() {
		v.Kill()
	}
	_ = os.RemoveAll(bed.Dir)
}

// Zone is where a node, an agent or a server stands.
func (bed *Testbed) Zone(name string) string {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.zones[name]
}

// In names the nodes of a zone; there says whether those in it or all others.
func (bed *Testbed) NodesIn(zone string, there bool) (names []string) {
	for _, name := range bed.Names {
		if (bed.Zone(name) == zone) == there {
			names = append(names, name)
		}
	}
	return names
}

func (bed *Testbed) placeInZone(name string, number int) string {
	zone := bed.Zones[number%len(bed.Zones)]
	bed.mu.Lock()
	bed.zones[name] = zone
	bed.mu.Unlock()
	bed.Proxy.SetZone(name, zone)
	return zone
}

// build makes the parties and starts them.
func (bed *Testbed) build(ctx context.Context) error {
	if err := bed.writeKeyFile(); err != nil {
		return err
	}
	bed.Fleet = operatorconfig.Default().Fleet
	bed.Fleet.Key, bed.Fleet.Retries = bed.KeyFile, bed.RetryRatio
	bed.Fleet.Hold, bed.Fleet.Epoch = operatorconfig.Duration{Duration: bed.LeaseTimeout}, operatorconfig.Duration{Duration: bed.BudgetWindow}
	var own []operatorconfig.File
	for i := range bed.Options.Nodes {
		name := fmt.Sprintf("n%d", i)
		bed.Names = append(bed.Names, name)
		bed.placeInZone(name, i)
		f, err := bed.newMemberConfig(name, i)
		if err != nil {
			return err
		}
		own = append(own, f)
	}
	for i := range bed.Options.Servers {
		if _, err := bed.Join(fmt.Sprintf("s%d", i), bed.Zones[i%len(bed.Zones)], false); err != nil {
			return err
		}
	}
	for i, name := range bed.Names {
		f := &own[i]
		if !bed.WithoutAgents {
			f.Fleet.Peers, f.Fleet.ReplicatedLog.Voters = bed.gossipAddresses, bed.Fleet.ReplicatedLog.Voters
			if bed.OperatorConfig != nil {
				bed.OperatorConfig(name, f)
			}
		}
		if err := bed.startNode(ctx, name, i, f); err != nil {
			return err
		}
	}
	return nil
}

func (bed *Testbed) writeKeyFile() error {
	raw := make([]byte, 32)
	if _, err := rand.Read(raw); err != nil {
		return err
	}
	bed.KeyFile = filepath.Join(bed.Dir, "fleet.key")
	return os.WriteFile(bed.KeyFile, []byte(hex.EncodeToString(raw)+"\n"), 0o600)
}

// start starts a node with its agent.
func (bed *Testbed) startNode(ctx context.Context, name string, number int, own *operatorconfig.File) error {
	discovery, err := bed.Discovery.Listen(name)
	if err != nil {
		return err
	}
	n, err := NewNode(NodeOptions{Binary: bed.Binary, Name: name, Dir: filepath.Join(bed.Dir, name), Discovery: discovery, Number: number,
		Nodes: bed.Options.Nodes, OperatorConfig: own, Mutation: bed.Mutation, Ramp: int(bed.Ramp.Seconds()), Zone: bed.Zone(name)})
	if err != nil {
		return err
	}
	if !bed.WithoutAgents {
		a := bed.newAgent(n, own)
		if err := a.Start(); err != nil {
			return err
		}
		bed.Agents[name] = a
	}
	bed.Nodes = append(bed.Nodes, n)
	return n.Start(ctx)
}

// Step is a part of a scene's script.
type Phase struct {
	Name string
	Run  func(ctx context.Context, rng *mrand.Rand) error
}
