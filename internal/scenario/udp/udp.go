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
func Play(ctx context.Context, o Options) (*testbed.Result, error) {
	s := &run{Options: o, Result: testbed.NewResult("udp", o.Seed), discovery: fake.NewDiscovery(),
		lastServer: map[string]string{}, disturbedAt: map[string]time.Time{}, hungSince: map[string]time.Time{}}
	s.ScaledDown = fmt.Sprintf("all parties on one machine, %d flows at once; warm-up 2 s in place of up to 23 s", concurrentFlows)
	defer s.discovery.Close()
	if _, ok := Mutations[o.Mutation]; o.Mutation != "" && !ok {
		return nil, fmt.Errorf("no mutation %q", o.Mutation)
	}
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary := o.Binary
	if o.Mutation != "" {
		if binary, err = testbed.BuildMutated(ctx, dir, "coralrelay"); err != nil {
			return nil, err
		}
	}
	discovery, err := s.discovery.Listen("n0")
	if err != nil {
		return nil, err
	}
	own := operatorconfig.Default()
	if own.UDP.Listen, err = testbed.Reserve(); err != nil {
		return nil, err
	}
	own.UDP.Flows, own.UDP.Sockets, own.UDP.Idle.Duration = o.Table, o.Table, time.Second
	if o.Shared || o.Mutation == "stale" {
		own.UDP.Mode, own.UDP.Proxy = "shared", true
	}
	own.UDP.Silence.After.Duration = 500 * time.Millisecond
	own.UDP.Reserve, own.UDP.Settled, own.UDP.After.Duration = 0.5, 2, 10*time.Millisecond
	s.node, err = testbed.NewNode(testbed.NodeOptions{Binary: binary, Name: "n0", Dir: filepath.Join(dir, "n0"), Discovery: discovery,
		Nodes: 1, Mutation: o.Mutation, OperatorConfig: &own, Cores: o.Cores, Sockets: o.Table + 2000})
	if err != nil {
		return nil, err
	}
	for i := range o.Servers {
		v := fake.NewServer(fake.ServerOptions{Name: fmt.Sprintf("s%d", i), Feed: fake.NewFeed(1, 1, 1),
			Observer: testbed.CountingObserver{Result: s.Result}, Capacity: 100 * concurrentFlows, Datagrams: s.observeDatagram, Late: 0.05})
		addrs, err := v.Start([]string{"n0"})
		if err != nil {
			return nil, err
		}
		defer v.Kill()
		s.servers = append(s.servers, v)
		s.discovery.Set(v.Name, fake.Active, time.Time{}, addrs)
	}
	if err := s.node.Start(ctx); err != nil {
		return nil, err
	}
	defer s.node.Kill()
	if o.Flood {
		s.playFlood(ctx, own.UDP)
	} else {
		s.playShortFlows(ctx, own.UDP.Listen)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	fake.Sleep(ctx, 2*time.Second+own.UDP.Idle.Duration/2) // all are silent, and forgotten
	return s.Result, s.checkNodeCounters(filepath.Join(dir, "n0", "log"))
}

func (s *run) playShortFlows(ctx context.Context, to string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { s.injectFaults(ctx) })
	var next atomic.Int64
	var flows sync.WaitGroup
	for i := range concurrentFlows {
		flows.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*arrivals/concurrentFlows)
			for ctx.Err() == nil {
				n := next.Add(1)
				if n > int64(s.Flows) {
					return
				}
				name := fmt.Sprintf("f%d", n)
				answered, strange := fake.ProbeFlow(ctx, to, name, uint32(n%clientAddresses), 3, 15*time.Millisecond)
				s.AddMetric("answered", float64(answered))
				s.AddMetric("sent", 3)
				for _, text := range strange {
					s.AddViolation("stray", fmt.Sprintf("%s got %q", name, text))
				}
				s.mu.Lock()
				delete(s.lastServer, name)
				s.mu.Unlock()
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
		part, size := float64(next.Load())/float64(s.Flows), s.node.ResidentMemory()
		switch {
		case part > 0.75:
			late, lates = late+size, lates+1
		case part > 0.5:
			early, earlies = early+size, earlies+1
		}
		peak = max(peak, size)
		if s.Progress != nil {
			fmt.Fprintf(s.Progress, "\r%6d flows  %4.0f drains  %3.0f killed  node at %.1f MB ", next.Load(), s.Metric("drains"), s.Metric("servers killed"), size/1e6)
		}
	}
	s.SetMetric("node MB at most", peak/1e6)
	if earlies > 0 && lates > 0 {
		growth := late/float64(lates)/(early/float64(earlies)) - 1
		s.SetMetric("memory growth in the second half", growth)
		if growth > 0.1 && s.Flows >= 10*s.Table { // else the table may still be filling
			s.AddViolation("memory", fmt.Sprintf("grew by %.0f%% from the third quarter to the last", 100*growth))
		}
	}
	cancel()
	faults.Wait()
}
