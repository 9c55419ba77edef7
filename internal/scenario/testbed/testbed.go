// Package testbed has the parts that scenarios share: nodes and agents that run as processes, fake
// servers in zones, a fault-injecting proxy between them, clients that arrive at a given rate, records
// of what servers and clients received, and the checks that apply to every scenario. Scenarios of
// single nodes use only Node, Process and Result.
//
// A Testbed owns its processes, fakes and directory until Close; Play owns the goroutines of its
// clients. An error means that a scenario could not run; a broken rule is a Violation in the Result.
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

// Options configures a testbed.
type Options struct {
	Scenario       string
	Seed           uint64
	Nodes, Servers int
	Zones          []string  // assigned to nodes and servers in turn; empty means zone a only
	Voters         int       // how many agents vote in the replicated log; 0 means no log
	Rate           float64   // usual rate, in transactions per second
	WithoutAgents  bool      // run the nodes without agents
	ProxyServers   bool      // connect nodes to servers through the proxy
	ReportLoad     bool      // report load from the measured request rate, not a fixed load
	Binary         string    // path of the node's binary
	Agent          string    // path of the agent's binary; empty means the one beside Binary
	Mutation       string    // of all processes; empty means none
	Progress       io.Writer // output of phase names; nil means none

	Ramp         time.Duration // time until a server is warm (rampTime of the settings); whole seconds
	BudgetWindow time.Duration // budget window of a cold server (tipAfter of the settings)
	LeaseTimeout time.Duration // fleet.hold of the operator configuration
	RetryRatio   float64       // fleet.retries of the operator configuration

	// OperatorConfig, if not nil, modifies the operator configuration of a member.
	OperatorConfig func(name string, config *operatorconfig.File)
	// ClockOffset returns how far the clock of a member's agent is ahead; nil means no offset.
	ClockOffset func(name string) time.Duration
}

// Shares and loads of servers. SlowStartShare and budgetMultiple repeat the settings of all nodes.
const (
	// SlowStartShare is a server's capacity at its start, as a share of its capacity when warm.
	SlowStartShare = 0.12
	// budgetMultiple is the budget of a cold server in a window, as a multiple of its capacity.
	budgetMultiple = 3.0
	// UsualLoad is the load of a warm server that receives its usual share of the usual rate.
	UsualLoad = 0.3
	// reportedWarmLoad is slightly below the lowest usual load, so that a draw decides.
	reportedWarmLoad = 0.29
	reportedColdLoad = 0.05
)

// Testbed is one run of a scenario with a fleet.
type Testbed struct {
	Options
	*Result
	Dir       string // directory of all files of the run
	Discovery *fake.Discovery
	Proxy     *faultproxy.Proxy
	Names     []string // names of the nodes; an agent has the name of its node
	Nodes     Nodes
	Agents    map[string]*Agent    // by name
	KeyFile   string               // path of the fleet's key
	Fleet     operatorconfig.Fleet // configuration that all members share
	// AnswerDelay returns how long a server waits before it answers a first line; nil means no delay.
	AnswerDelay func(server string) time.Duration

	gossipAddresses []string // at which the proxy accepts the gossip of members

	mu             sync.Mutex
	zones          map[string]string // by node and server
	servers        []*Server
	firstLines     []FirstLine
	answers        []ClientAnswer
	rate           float64 // current rate, in transactions per second
	extraReturning bool    // clients beyond the usual rate are returning ones
}

// New creates a testbed and starts everything except its clients, which Play starts. The caller must
// call Close. If New fails, it has released everything that it started.
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

// SiblingBinary returns the path of another program in the directory of a binary.
func SiblingBinary(binary, name string) string { return filepath.Join(filepath.Dir(binary), name) }

// Close stops all processes and fakes, and deletes the directory of the run.
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

// NodesIn returns the names of the nodes inside a zone, or outside it if inside is false.
func (bed *Testbed) NodesIn(zone string, inside bool) (names []string) {
	for _, name := range bed.Names {
		if (bed.Zone(name) == zone) == inside {
			names = append(names, name)
		}
	}
	return names
}

// placeInZone assigns a node to its zone; nodes are assigned to the zones in turn.
func (bed *Testbed) placeInZone(name string, number int) {
	zone := bed.Zones[number%len(bed.Zones)]
	bed.mu.Lock()
	bed.zones[name] = zone
	bed.mu.Unlock()
	bed.Proxy.SetZone(name, zone)
}
