// Package udp runs the scenario of UDP flows through one node: either many short flows through a
// small flow table while servers drain, hang and crash, or steady flows during floods of new ones.
// It checks that a draining server receives no datagrams after the grace period, that flows leave a
// silent server, that replies reach the flow that they belong to, and that the node's counters are
// consistent. MeasureSpeed measures the cost of forwarding against a bare loop of system calls.
//
// Play and MeasureSpeed own all goroutines, processes and fake servers that they start. All of them
// have ended when the functions return.
package udp

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/loopback"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

// Options configures the scenario and the measurement.
type Options struct {
	Seed             uint64
	Flows            int       // total number of short flows
	Table            int       // capacity of the node's flow table
	Servers          int       // number of fake servers
	Steady           int       // number of steady flows during floods
	Flood            bool      // run steady flows during floods instead of short flows
	Cores            int       // number of the node's cores
	Shared           bool      // the node's flows share a socket to each upstream
	Binary, Mutation string    // the node's binary; a key of Mutations or empty
	Progress         io.Writer // nil for none
}

// Mutations maps each guard of the node that the scenario can disable to the effect of disabling it.
var Mutations = map[string]string{
	"drain":       "the node treats draining servers as ready",
	"expiry":      "idle flows do not expire in the node",
	"silence":     "the node keeps flows on an upstream that has become silent",
	"source":      "the node does not limit the rate of new flows per source",
	mutationStale: "the node forwards replies for flows that have ended or moved to another upstream",
}

// mutationStale has an effect only with shared sockets, so the scenario uses them for it.
const mutationStale = "stale"

const (
	nodeName = "n0"
	// rampUpTime is the time over which the first flows are started.
	rampUpTime = 3 * time.Second
	// flowTimeout is the time after which the node removes an idle flow from its table.
	flowTimeout = time.Second
	// extraSockets is the number of sockets that the node may use in addition to one per flow.
	extraSockets = 2000
)

// run is one run of the scenario.
type run struct {
	Options
	*testbed.Result
	discovery *fake.Discovery
	servers   []*fake.Server
	node      *testbed.Node
	config    operatorconfig.UDP

	mu          sync.Mutex
	lastServer  map[string]string    // by flow: the server that received its latest datagram
	lastFaultAt map[string]time.Time // by server: start or end of its latest drain, hang or crash
	hungSince   map[string]time.Time // by server: start of the hang, while it lasts
}

// Play runs the scenario. The result holds the violations found; an error means that the scenario
// could not be run.
func Play(ctx context.Context, options Options) (*testbed.Result, error) {
	if err := testbed.CheckMutation(Mutations, options.Mutation); err != nil {
		return nil, err
	}
	dir, remove, err := testbed.TempDir()
	if err != nil {
		return nil, err
	}
	defer remove()
	r := &run{
		Options:     options,
		Result:      testbed.NewResult("udp", options.Seed),
		discovery:   fake.NewDiscovery(),
		lastServer:  map[string]string{},
		lastFaultAt: map[string]time.Time{},
		hungSince:   map[string]time.Time{},
	}
	r.ScaledDown = fmt.Sprintf(
		"everything on one machine, %d concurrent flows; warm-up 2 s instead of up to 23 s",
		concurrentFlows)
	defer r.close()
	if err := r.start(ctx, dir); err != nil {
		return nil, err
	}
	if options.Flood {
		r.runFlood(ctx)
	} else {
		r.runShortFlows(ctx)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	fake.Sleep(ctx, 2*time.Second+flowTimeout/2) // by then all flows are idle and have expired
	if err := r.node.Terminate(); err != nil {
		return nil, err
	}
	return r.Result, r.checkCounters(filepath.Join(dir, nodeName, "log"))
}

// start creates the node, starts the servers and then the node.
func (r *run) start(ctx context.Context, dir string) (err error) {
	binary := r.Binary
	if r.Mutation != "" {
		if binary, err = testbed.BuildMutated(ctx, dir, "coralrelay"); err != nil {
			return err
		}
	}
	discovery, err := r.discovery.Listen(nodeName)
	if err != nil {
		return err
	}
	config := operatorconfig.Default()
	if err := r.configure(&config.UDP); err != nil {
		return err
	}
	r.config = config.UDP
	r.node, err = testbed.NewNode(testbed.NodeOptions{
		Binary:         binary,
		Name:           nodeName,
		Dir:            filepath.Join(dir, nodeName),
		Discovery:      discovery,
		Nodes:          1,
		Mutation:       r.Mutation,
		OperatorConfig: &config,
		Cores:          r.Cores,
		Sockets:        r.Table + extraSockets,
	})
	if err != nil {
		return err
	}
	for i := range r.Servers {
		server, _, err := testbed.StartWarmServer(r.discovery, fake.ServerOptions{
			Name:              fmt.Sprintf("s%d", i),
			Feed:              fake.NewFeed(1, 1, 1),
			Observer:          testbed.CountingObserver{Result: r.Result},
			Capacity:          100 * concurrentFlows,
			Datagrams:         r.observeDatagram,
			DelayedReplyShare: 0.05,
		}, []string{nodeName})
		if err != nil {
			return err
		}
		r.servers = append(r.servers, server)
	}
	return r.node.Start(ctx)
}

// configure sets the UDP section of the node's operator configuration.
func (r *run) configure(config *operatorconfig.UDP) (err error) {
	if config.Listen, err = loopback.Reserve(); err != nil {
		return err
	}
	config.MaxFlows = r.Table
	config.Sockets = r.Table
	config.FlowIdleTimeout.Duration = flowTimeout
	if r.Shared || r.Mutation == mutationStale {
		config.Mode = "shared"
		config.SendProxyHeader = true
	}
	config.Silence.After.Duration = 500 * time.Millisecond
	config.Reserve = 0.5
	config.MinSettledDatagrams = 2
	config.After.Duration = 10 * time.Millisecond
	return nil
}

// close stops the node, then the servers and discovery.
func (r *run) close() {
	if r.node != nil {
		r.node.Kill()
	}
	for _, server := range r.servers {
		server.Kill()
	}
	r.discovery.Close()
}
