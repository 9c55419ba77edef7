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
func measure(ctx context.Context, result *testbed.Result, forwarder forwarder, options Options, dir string, pinned bool) (rate float64, delay *hdrhistogram.Histogram, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	roster := fake.NewDiscovery()
	defer roster.Close()
	server := fake.NewServer(fake.ServerOptions{Name: "s0", Feed: fake.NewFeed(1, 1, 1), Observer: testbed.CountingObserver{Result: result}, Capacity: 1_000_000})
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
	if forwarder.mode == "" {
		self, err := os.Executable()
		if err != nil {
			return 0, nil, err
		}
		cmd := exec.CommandContext(ctx, self, "bare", listen, addrs["n0"])
		if err := startPinned(pinned, 1, cmd.Start); err != nil {
			return 0, nil, err
		}
		defer func() { cancel(); _ = cmd.Wait() }()
	} else {
		discovery, err := roster.Listen("n0")
		if err != nil {
			return 0, nil, err
		}
		config := operatorconfig.Default()
		config.UDP.Listen, config.UDP.Mode, config.UDP.Proxy = listen, forwarder.mode, forwarder.proxy
		node, err := testbed.NewNode(testbed.NodeOptions{Binary: options.Binary, Name: "n0", Dir: dir, Discovery: discovery, Nodes: 1, OperatorConfig: &config, Cores: options.Cores})
		if err != nil {
			return 0, nil, err
		}
		if err := startPinned(pinned, options.Cores, func() error { return node.Start(ctx) }); err != nil {
			return 0, nil, err
		}
		defer node.Kill()
	}
	senders, err := newSenders(ctx, listen, 2*options.Cores)
	if err != nil {
		return 0, nil, err
	}
	if err := awaitAllFlows(ctx, senders, in); err != nil {
		return 0, nil, err
	}
	sendAll := func(rate float64) {
		speaking, stop := context.WithTimeout(ctx, measurementTime)
		defer stop()
		var wg sync.WaitGroup
		for _, s := range senders {
			wg.Go(func() { s.send(speaking, rate/float64(len(senders))) })
		}
		wg.Wait()
	}
	in.recordDelays(true)
	sendAll(pacedRate)
	delay = in.recordDelays(false)
	before, begun := in.received.Load(), time.Now()
	sendAll(0)
	fake.Sleep(ctx, 20*time.Millisecond)
	return float64(in.received.Load()-before) / time.Since(begun).Seconds(), delay, ctx.Err()
}

// settled waits until every flow has its place.
func awaitAllFlows(ctx context.Context, senders []sender, in *receiver) error {
	for begun := time.Now(); ; {
		before, sent := in.received.Load(), 0
		for _, s := range senders {
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
