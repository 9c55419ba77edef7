// Package udp plays the scenario of flows of datagrams through one node: many short flows
// through a small table while servers drain, hang and crash, or steady flows beside floods of
// new ones. It checks at the fake servers that nothing reaches a server that drains, that a
// silent one is left, that replies reach the flow they belong to and that the node's own counters
// add up. MeasureSpeed measures what forwarding costs against a bare loop of system calls.
//
// Play and MeasureSpeed own all goroutines, processes and fake servers. All have ended when they
// return.
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

// Options size the scenario.
type Options struct {
	Seed             uint64
	Flows            int       // short flows, in all
	Table            int       // flows that the node's table holds
	Servers          int       // fake servers
	Steady           int       // flows beside floods
	Flood            bool      // steady flows beside floods, in place of short ones
	Cores            int       // that the node has
	Shared           bool      // the node's flows share a socket to each upstream
	Binary, Mutation string    // the node's binary; a key of Mutations or empty
	Progress         io.Writer // nil for none
}

// Mutations are the guards that the scenario can switch off, all in the node.
var Mutations = map[string]string{
	"drain":       "the node does not hear that a server drains",
	"expiry":      "the node forgets no flow",
	"silence":     "the node's flows stay with an upstream that has fallen silent",
	"source":      "the node does not bound new flows of one source",
	mutationStale: "the node passes replies on to flows that are over, or stand elsewhere",
}

// mutationStale can be seen with shared sockets alone.
const mutationStale = "stale"

const (
	nodeName = "n0"
	// arrivals is how long the flows take to come at first.
	arrivals = 3 * time.Second
	// flowTimeout is how long a silent flow stays in the node's table.
	flowTimeout = time.Second
	// otherSockets is how many sockets the node may have beside one a flow.
	otherSockets = 2000
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
	lastServer  map[string]string    // by flow: the server that had its latest datagram
	disturbedAt map[string]time.Time // by server: when it last began to drain, crashed or came back
	hungSince   map[string]time.Time // by server: since when it answers nothing
}

// Play plays the scenario. The result holds what broke; an error says that it could not run.
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
		disturbedAt: map[string]time.Time{},
		hungSince:   map[string]time.Time{},
	}
	r.ScaledDown = fmt.Sprintf("all parties on one machine, %d flows at once; warm-up 2 s in place of up to 23 s",
		concurrentFlows)
	defer r.close()
	if err := r.start(ctx, dir); err != nil {
		return nil, err
	}
	if options.Flood {
		r.playFlood(ctx)
	} else {
		r.playShortFlows(ctx)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	fake.Sleep(ctx, 2*time.Second+flowTimeout/2) // all flows are silent, and forgotten
	if err := r.node.Terminate(); err != nil {
		return nil, err
	}
	return r.Result, r.checkCounters(filepath.Join(dir, nodeName, "log"))
}

// start starts the servers and the node.
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
		Sockets:        r.Table + otherSockets,
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

// configure sets what the operator's file says of datagrams.
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

// close ends the node, then the servers and discovery.
func (r *run) close() {
	if r.node != nil {
		r.node.Kill()
	}
	for _, server := range r.servers {
		server.Kill()
	}
	r.discovery.Close()
}
