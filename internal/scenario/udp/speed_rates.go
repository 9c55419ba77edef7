package udp

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/net/ipv4"

	"coralrelay/internal/fake"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

// speedOf measures one way.
func measure(ctx context.Context, r *testbed.Result, w forwarder, o Options, dir string, apart bool) (rate float64, delay *hdrhistogram.Histogram, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	roster := fake.NewDiscovery()
	defer roster.Close()
	server := fake.NewServer(fake.ServerOptions{Name: "s0", Feed: fake.NewFeed(1, 1, 1), Observer: testbed.CountingObserver{Result: r}, Capacity: 1_000_000})
	addrs, err := server.Start([]string{"n0"})
	if err != nil {
		return 0, nil, err
	}
	defer server.Kill()
	roster.Set("s0", fake.Active, time.Time{}, addrs)
	in, err := newReceiver(ctx, addrs["n0"])
	if err != nil {
		return 0, nil, err
	}
	listen, err := testbed.Reserve()
	if err != nil {
		return 0, nil, err
	}
	if w.mode == "" {
		self, err := os.Executable()
		if err != nil {
			return 0, nil, err
		}
		cmd := exec.CommandContext(ctx, self, "bare", listen, addrs["n0"])
		if err := startPinned(apart, 1, cmd.Start); err != nil {
			return 0, nil, err
		}
		defer func() { cancel(); _ = cmd.Wait() }()
	} else {
		discovery, err := roster.Listen("n0")
		if err != nil {
			return 0, nil, err
		}
		own := operatorconfig.Default()
		own.UDP.Listen, own.UDP.Mode, own.UDP.Proxy = listen, w.mode, w.proxy
		node, err := testbed.NewNode(testbed.NodeOptions{Binary: o.Binary, Name: "n0", Dir: dir, Discovery: discovery, Nodes: 1, OperatorConfig: &own, Cores: o.Cores})
		if err != nil {
			return 0, nil, err
		}
		if err := startPinned(apart, o.Cores, func() error { return node.Start(ctx) }); err != nil {
			return 0, nil, err
		}
		defer node.Kill()
	}
	speakers, err := newSenders(ctx, listen, 2*o.Cores)
	if err != nil {
		return 0, nil, err
	}
	if err := awaitAllFlows(ctx, speakers, in); err != nil {
		return 0, nil, err
	}
	say := func(rate float64) {
		speaking, stop := context.WithTimeout(ctx, measurementTime)
		defer stop()
		var wg sync.WaitGroup
		for _, s := range speakers {
			wg.Go(func() { s.send(speaking, rate/float64(len(speakers))) })
		}
		wg.Wait()
	}
	in.recordDelays(true)
	say(pacedRate)
	delay = in.recordDelays(false)
	came, begun := in.received.Load(), time.Now()
	say(0)
	fake.Sleep(ctx, 20*time.Millisecond)
	return float64(in.received.Load()-came) / time.Since(begun).Seconds(), delay, ctx.Err()
}

// settled waits until every flow has its place.
func awaitAllFlows(ctx context.Context, speakers []sender, in *receiver) error {
	for begun := time.Now(); ; {
		before, sent := in.received.Load(), 0
		for _, s := range speakers {
			for _, c := range s.conns {
				n, _ := c.WriteBatch([]ipv4.Message{{Buffers: [][]byte{make([]byte, 64)}}}, 0)
				sent += max(n, 0)
			}
		}
		if !fake.Sleep(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
		if sent == senderFlows && in.received.Load()-before >= senderFlows {
			return nil
		}
		if time.Since(begun) > 10*time.Second {
			return fmt.Errorf("of %d flows %d go through", senderFlows, in.received.Load()-before)
		}
	}
}
