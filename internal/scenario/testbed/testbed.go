// Package testbed is what scenarios share: real nodes and agents as processes, fake servers in
// zones, a proxy with faults between them, clients at a rate, what the servers and clients saw,
// and the checks that hold in every scenario. Scenarios of single nodes use its Node, Process and
// Result alone.
//
// A Testbed owns its processes, fakes and folder until Close; Play owns the goroutines of its
// clients. Errors say that a scenario could not run; what breaks a rule is a violation in the
// Result.
package testbed

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/faultproxy"
)

// Options size a testbed.
type Options struct {
	Scenario       string
	Seed           uint64
	Nodes, Servers int
	Zones          []string  // nodes and servers are spread over them in turn; empty for a alone
	Voters         int       // of the replicated log: the first so many agents; 0 for no log
	Rate           float64   // transactions a second in usual times
	WithoutAgents  bool      // nodes have no agents
	ProxyServers   bool      // nodes reach servers through the proxy, too
	ReportLoad     bool      // servers report what they are asked; else a usual load
	Binary         string    // the node's
	Agent          string    // the agent's binary; empty for the one beside the node's
	Mutation       string    // for all processes; empty for none
	Progress       io.Writer // nil for none

	Ramp         time.Duration // until a server is warm: the settings' rampTime, in whole seconds
	BudgetWindow time.Duration // of a cold server: the settings' tipAfter
	LeaseTimeout time.Duration // fleet.hold
	RetryRatio   float64       // fleet.retries

	// OperatorConfig completes what a member's file says, nil for nothing more.
	OperatorConfig func(name string, config *operatorconfig.File)
	// ClockOffset is how far the clock of a member's agent is ahead, nil for not at all.
	ClockOffset func(name string) time.Duration
}

// What the settings of all nodes say, and how full servers are in usual times.
const (
	// SlowStartShare is the part of what it can do warm that a server can do as it starts.
	SlowStartShare = 0.12
	// budgetMultiple is how much more than what fills it a cold server may be sent in a window.
	budgetMultiple = 3.0
	// UsualLoad is of a warm server: its usual share of the usual rate makes it.
	UsualLoad = 0.3
	// reportedWarmLoad is a little under the least usual load, so that a draw decides.
	reportedWarmLoad = 0.29
	reportedColdLoad = 0.05
)

// Testbed is one run of a scenario with a fleet.
type Testbed struct {
	Options
	*Result
	Dir       string // of all files
	Discovery *fake.Discovery
	Proxy     *faultproxy.Proxy
	Names     []string // of the nodes, and of their agents
	Nodes     Nodes
	Agents    map[string]*Agent    // by name
	KeyFile   string               // the fleet's key
	Fleet     operatorconfig.Fleet // what all members have alike
	// AnswerDelay is how long a server waits before it answers a first line; nil for not at all.
	AnswerDelay func(server string) time.Duration

	gossipAddresses []string // where the proxy takes members' gossip

	mu          sync.Mutex
	zones       map[string]string // by node and server
	servers     []*Server
	firstLines  []FirstLine
	answers     []ClientAnswer
	rate        float64 // transactions a second now
	extraReturn bool    // clients beyond the usual rate come again
}

// New builds a testbed and starts all of it but its clients. Close ends it; if New fails, nothing
// is left.
func New(ctx context.Context, options Options) (*Testbed, error) {
	if len(options.Zones) == 0 {
		options.Zones = []string{defaultZone}
	}
	if options.Agent == "" {
		options.Agent = SiblingBinary(options.Binary, "coralagent")
	}
	dir, _, err := TempDir()
	if err != nil {
		return nil, err
	}
	bed := &Testbed{
		Options:   options,
		Result:    NewResult(options.Scenario, options.Seed),
		Dir:       dir,
		Discovery: fake.NewDiscovery(),
		Proxy:     faultproxy.New(options.Seed),
		Agents:    map[string]*Agent{},
		zones:     map[string]string{},
		rate:      options.Rate,
	}
	if err := bed.start(ctx); err != nil {
		bed.Close()
		return nil, err
	}
	return bed, nil
}

// SiblingBinary returns the path of another program in the folder of a binary.
func SiblingBinary(binary, name string) string { return filepath.Join(filepath.Dir(binary), name) }

// Close ends all processes and fakes, and deletes the folder.
func (bed *Testbed) Close() {
	bed.Nodes.KillAll()
	for _, agent := range bed.Agents {
		agent.Kill()
	}
	bed.Proxy.Close()
	bed.Discovery.Close()
	for _, server := range bed.AllServers() {
		server.Kill()
	}
	_ = os.RemoveAll(bed.Dir)
}

// Zone returns the zone of a node, an agent or a server.
func (bed *Testbed) Zone(name string) string {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.zones[name]
}

// NodesIn names the nodes in a zone, or, if there is false, all others.
func (bed *Testbed) NodesIn(zone string, there bool) (names []string) {
	for _, name := range bed.Names {
		if (bed.Zone(name) == zone) == there {
			names = append(names, name)
		}
	}
	return names
}

// placeInZone gives each node its zone in turn.
func (bed *Testbed) placeInZone(name string, number int) {
	zone := bed.Zones[number%len(bed.Zones)]
	bed.mu.Lock()
	bed.zones[name] = zone
	bed.mu.Unlock()
	bed.Proxy.SetZone(name, zone)
}
