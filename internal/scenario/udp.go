package scenario

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

// UDPOptions size the scene of flows of datagrams.
type UDPOptions struct {
	Seed                  uint64
	Flows, Table, Servers int
	Steady                int  // flows beside floods
	Flood                 bool // steady flows beside floods, in place of short ones
	Cores                 int  // that the node has
	Shared                bool // the node's flows share a socket to each next hop
	Binary, Mutation      string
	Progress              io.Writer
}

// UDPMutations are the guards that the scenario can switch off.
var UDPMutations = map[string]string{
	"drain":   "the node does not hear that a server drains",
	"expiry":  "the node forgets no flow",
	"silence": "the node's flows stay with a next hop that has fallen silent",
	"source":  "the node does not bound new flows of one source",
	"stale":   "the node passes replies on to flows that are over, or stand elsewhere",
}

// beacons is how many flows are under way at once.
const beacons = 300

// clients is how many addresses they have, which come again when the flow before is over.
const clients = 20_000

type udpScene struct {
	UDPOptions
	*testbed.Result
	roster  *fake.Discovery
	servers []*fake.Server
	node    *testbed.Node

	mu   sync.Mutex
	at   map[string]string    // flow: the server that had its latest datagram
	ill  map[string]time.Time // server: when it last began to drain, fell or came back
	hung map[string]time.Time // server: since when it answers nothing
}

// hangs is how long a server answers nothing, of which the node may take noticing.
const hangs, noticing = 4 * time.Second, 1200 * time.Millisecond

// UDP plays the scene: short flows through a table of fixed size, while servers
// drain, fall, and come back; then one source's flood of new flows.
func UDP(ctx context.Context, o UDPOptions) (*testbed.Result, error) {
	s := &udpScene{UDPOptions: o, Result: testbed.NewResult("udp", o.Seed), roster: fake.NewDiscovery(),
		at: map[string]string{}, ill: map[string]time.Time{}, hung: map[string]time.Time{}}
	s.ScaledDown = fmt.Sprintf("all parties on one machine, %d flows at once; warm-up 2 s in place of up to 23 s", beacons)
	defer s.roster.Close()
	if _, ok := UDPMutations[o.Mutation]; o.Mutation != "" && !ok {
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
	discovery, err := s.roster.Listen("n0")
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
			Observer: quiet{s.Result}, Capacity: 100 * beacons, Datagrams: s.datagram, DelayedReplyShare: 0.05})
		addrs, err := v.Start([]string{"n0"})
		if err != nil {
			return nil, err
		}
		defer v.Kill()
		s.servers = append(s.servers, v)
		s.roster.Set(v.Name, fake.Active, time.Time{}, addrs)
	}
	if err := s.node.Start(ctx); err != nil {
		return nil, err
	}
	defer s.node.Kill()
	if o.Flood {
		s.flood(ctx, own.UDP)
	} else {
		s.play(ctx, own.UDP.Listen)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	fake.Sleep(ctx, 2*time.Second+own.UDP.Idle.Duration/2) // all are silent, and forgotten
	return s.Result, s.settle(filepath.Join(dir, "n0", "log"))
}

func (s *udpScene) play(ctx context.Context, to string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { s.faults(ctx) })
	var next atomic.Int64
	var flows sync.WaitGroup
	for i := range beacons {
		flows.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*arrivals/beacons)
			for ctx.Err() == nil {
				n := next.Add(1)
				if n > int64(s.Flows) {
					return
				}
				name := fmt.Sprintf("f%d", n)
				answered, strange := fake.ProbeFlow(ctx, to, name, uint32(n%clients), 3, 15*time.Millisecond)
				s.AddMetric("answered", float64(answered))
				s.AddMetric("sent", 3)
				for _, text := range strange {
					s.AddViolation("stray", fmt.Sprintf("%s got %q", name, text))
				}
				s.mu.Lock()
				delete(s.at, name)
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
