package udp

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

// Options size the scene of flows of datagrams.
type Options struct {
	Seed                  uint64
	Flows, Table, Servers int
	Steady                int  // flows beside floods
	Flood                 bool // steady flows beside floods, in place of short ones
	Cores                 int  // that the node has
	Shared                bool // the node's flows share a socket to each next hop
	Binary, Mutation      string
	Progress              io.Writer
}

// Mutations are the guards that the scenario can switch off.
var Mutations = map[string]string{
	"drain":   "the node does not hear that a server drains",
	"expiry":  "the node forgets no flow",
	"silence": "the node's flows stay with a next hop that has fallen silent",
	"source":  "the node does not bound new flows of one source",
	"stale":   "the node passes replies on to flows that are over, or stand elsewhere",
}

// beacons is how many flows are under way at once.
const concurrentFlows = 300

// arrivals is how long the flows take to come at first.
const arrivals = 3 * time.Second

// clients is how many addresses they have, which come again when the flow before is over.
const clientAddresses = 20_000

type run struct {
	Options
	*testbed.Result
	discovery *fake.Discovery
	servers   []*fake.Server
	node      *testbed.Node

	mu          sync.Mutex
	lastServer  map[string]string    // flow: the server that had its latest datagram
	disturbedAt map[string]time.Time // server: when it last began to drain, fell or came back
	hungSince   map[string]time.Time // server: since when it answers nothing
}

// hangs is how long a server answers nothing, of which the node may take noticing.
const hangDuration, silenceDetection = 4 * time.Second, 1200 * time.Millisecond

// Play plays the scene: short flows through a table of fixed size, while servers
// drain, fall, and come back; then one source's flood of new flows.
func Play(ctx context.Context, options Options) (*testbed.Result, error) {
	r := &run{Options: options, Result: testbed.NewResult("udp", options.Seed), discovery: fake.NewDiscovery(),
		lastServer: map[string]string{}, disturbedAt: map[string]time.Time{}, hungSince: map[string]time.Time{}}
	r.ScaledDown = fmt.Sprintf("all parties on one machine, %d flows at once; warm-up 2 s in place of up to 23 s", concurrentFlows)
	defer r.discovery.Close()
	if _, ok := Mutations[options.Mutation]; options.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", options.Mutation)
	}
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary := options.Binary
	if options.Mutation != "" {
		if binary, err = testbed.BuildMutated(ctx, dir, "coralrelay"); err != nil {
			return nil, err
		}
	}
	discovery, err := r.discovery.Listen("n0")
	if err != nil {
		return nil, err
	}
	config := operatorconfig.Default()
	if config.UDP.Listen, err = testbed.Reserve(); err != nil {
		return nil, err
	}
	config.UDP.Flows, config.UDP.Sockets, config.UDP.Idle.Duration = options.Table, options.Table, time.Second
	if options.Shared || options.Mutation == "stale" {
		config.UDP.Mode, config.UDP.Proxy = "shared", true
	}
	config.UDP.Silence.After.Duration = 500 * time.Millisecond
	config.UDP.Reserve, config.UDP.Settled, config.UDP.After.Duration = 0.5, 2, 10*time.Millisecond
	r.node, err = testbed.NewNode(testbed.NodeOptions{Binary: binary, Name: "n0", Dir: filepath.Join(dir, "n0"), Discovery: discovery,
		Nodes: 1, Mutation: options.Mutation, OperatorConfig: &config, Cores: options.Cores, Sockets: options.Table + 2000})
	if err != nil {
		return nil, err
	}
	for i := range options.Servers {
		server := fake.NewServer(fake.ServerOptions{Name: fmt.Sprintf("s%d", i), Feed: fake.NewFeed(1, 1, 1),
			Observer: testbed.CountingObserver{Result: r.Result}, Capacity: 100 * concurrentFlows, Datagrams: r.observeDatagram, Late: 0.05})
		addrs, err := server.Start([]string{"n0"})
		if err != nil {
			return nil, err
		}
		defer server.Kill()
		r.servers = append(r.servers, server)
		r.discovery.Set(server.Name, fake.Active, time.Time{}, addrs)
	}
	if err := r.node.Start(ctx); err != nil {
		return nil, err
	}
	defer r.node.Kill()
	if options.Flood {
		r.playFlood(ctx, config.UDP)
	} else {
		r.playShortFlows(ctx, config.UDP.Listen)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	fake.Sleep(ctx, 2*time.Second+config.UDP.Idle.Duration/2) // all are silent, and forgotten
	return r.Result, r.checkNodeCounters(filepath.Join(dir, "n0", "log"))
}

func (r *run) playShortFlows(ctx context.Context, to string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(ctx) })
	var next atomic.Int64
	var flows sync.WaitGroup
	for i := range concurrentFlows {
		flows.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*arrivals/concurrentFlows)
			for ctx.Err() == nil {
				n := next.Add(1)
				if n > int64(r.Flows) {
					return
				}
				name := fmt.Sprintf("f%d", n)
				answered, strange := fake.ProbeFlow(ctx, to, name, uint32(n%clientAddresses), 3, 15*time.Millisecond)
				r.AddMetric("answered", float64(answered))
				r.AddMetric("sent", 3)
				for _, text := range strange {
					r.AddViolation("stray", fmt.Sprintf("%s got %q", name, text))
				}
				r.mu.Lock()
				delete(r.lastServer, name)
				r.mu.Unlock()
			}
		})
	}
	var early, late, peak float64 // resident memory: over the third quarter, over the last
	var earlies, lates int
	done := make(chan struct{})
	go func() { flows.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(200 * time.Millisecond):
		}
		part, size := float64(next.Load())/float64(r.Flows), r.node.ResidentMemory()
		switch {
		case part > 0.75:
			late, lates = late+size, lates+1
		case part > 0.5:
			early, earlies = early+size, earlies+1
		}
		peak = max(peak, size)
		if r.Progress != nil {
			fmt.Fprintf(r.Progress, "\r%6d flows  %4.0f drains  %3.0f killed  node at %.1f MB ", next.Load(), r.Metric("drains"), r.Metric("servers killed"), size/1e6)
		}
	}
	r.SetMetric("node MB at most", peak/1e6)
	if earlies > 0 && lates > 0 {
		growth := late/float64(lates)/(early/float64(earlies)) - 1
		r.SetMetric("memory growth in the second half", growth)
		if growth > 0.1 && r.Flows >= 10*r.Table { // else the table may still be filling
			r.AddViolation("memory", fmt.Sprintf("grew by %.0f%% from the third quarter to the last", 100*growth))
		}
	}
	cancel()
	faults.Wait()
}
