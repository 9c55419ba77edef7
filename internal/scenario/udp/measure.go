package udp

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/loopback"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

const (
	// settleInterval is the time from one try of all flows to the next, before a measurement.
	settleInterval = 200 * time.Millisecond
	// settleTimeout is how long the forwarder may take to forward all flows.
	settleTimeout = 10 * time.Second
)

// measurement is that of one forwarder in one round.
type measurement struct {
	Options
	result    *testbed.Result
	forwarder forwarder
	dir       string // of the node's files
	pinned    bool   // the forwarder has processors of its own
}

// run starts the forwarder and measures the delay at a low rate, then the highest rate. All that
// it starts has ended when it returns.
func (m measurement) run(ctx context.Context) (found measured, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	discovery := fake.NewDiscovery()
	defer discovery.Close()
	server, addrs, err := testbed.StartWarmServer(discovery, fake.ServerOptions{
		Name:     "s0",
		Feed:     fake.NewFeed(1, 1, 1),
		Observer: testbed.CountingObserver{Result: m.result},
		Capacity: 1_000_000,
	}, []string{nodeName})
	if err != nil {
		return found, err
	}
	defer server.Kill()
	to := addrs[nodeName]
	receiver, err := newReceiver(ctx, to)
	if err != nil {
		return found, err
	}
	listen, err := loopback.Reserve()
	if err != nil {
		return found, err
	}
	stop, err := m.startForwarder(ctx, discovery, listen, to)
	if err != nil {
		return found, err
	}
	defer stop()
	senders, err := newSenders(ctx, listen, 2*m.Cores)
	if err != nil {
		return found, err
	}
	if err := awaitAllFlows(ctx, senders, receiver); err != nil {
		return found, err
	}

	receiver.recordDelays(true)
	sendFromAll(ctx, senders, pacedRate)
	found.delays = receiver.recordDelays(false)

	before, begunAt := receiver.received.Load(), time.Now()
	sendFromAll(ctx, senders, 0)
	fake.Sleep(ctx, 20*time.Millisecond)
	found.rate = float64(receiver.received.Load()-before) / time.Since(begunAt).Seconds()
	return found, ctx.Err()
}

// startForwarder starts what is measured; stop ends it.
func (m measurement) startForwarder(ctx context.Context, discovery *fake.Discovery, listen, to string) (
	stop func(), err error) {
	if m.forwarder == bareLoop {
		return m.startBareLoop(ctx, listen, to)
	}
	addr, err := discovery.Listen(nodeName)
	if err != nil {
		return nil, err
	}
	config := operatorconfig.Default()
	config.UDP.Listen = listen
	config.UDP.Mode = m.forwarder.mode
	config.UDP.SendProxyHeader = m.forwarder.proxy
	node, err := testbed.NewNode(testbed.NodeOptions{
		Binary:         m.Binary,
		Name:           nodeName,
		Dir:            m.dir,
		Discovery:      addr,
		Nodes:          1,
		OperatorConfig: &config,
		Cores:          m.Cores,
	})
	if err != nil {
		return nil, err
	}
	if err := startPinned(m.pinned, m.Cores, func() error { return node.Start(ctx) }); err != nil {
		return nil, err
	}
	return node.Kill, nil
}

// startBareLoop starts the bare loop in a process of its own: this program's hidden command.
func (m measurement) startBareLoop(ctx context.Context, listen, to string) (stop func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	loop := exec.CommandContext(ctx, self, "bare", listen, to)
	if err := startPinned(m.pinned, 1, loop.Start); err != nil {
		cancel()
		return nil, err
	}
	return func() {
		cancel()
		_ = loop.Wait() // it was killed
	}, nil
}

// sendFromAll has all senders send for measurementTime: so many datagrams a second in all, or as
// many as they can if rate is 0.
func sendFromAll(ctx context.Context, senders []sender, rate float64) {
	ctx, stop := context.WithTimeout(ctx, measurementTime)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range senders {
		wg.Go(func() { s.send(ctx, rate/float64(len(senders))) })
	}
	wg.Wait()
}

// awaitAllFlows waits until a datagram of every flow goes through.
func awaitAllFlows(ctx context.Context, senders []sender, receiver *receiver) error {
	for begunAt := time.Now(); ; {
		before, sent := receiver.received.Load(), 0
		for _, s := range senders {
			sent += s.sendOneEach()
		}
		if !fake.Sleep(ctx, settleInterval) {
			return ctx.Err()
		}
		forwarded := receiver.received.Load() - before
		if sent == senderFlows && forwarded >= senderFlows {
			return nil
		}
		if time.Since(begunAt) > settleTimeout {
			return fmt.Errorf("of %d flows %d go through", senderFlows, forwarded)
		}
	}
}
