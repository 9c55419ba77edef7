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
	// readinessInterval is the time between two checks that all flows are forwarded, before a
	// measurement.
	readinessInterval = 200 * time.Millisecond
	// readinessTimeout is the maximum time until the forwarder forwards all flows.
	readinessTimeout = 10 * time.Second
)

// measurement is the measurement of one forwarder in one round.
type measurement struct {
	Options
	result    *testbed.Result
	forwarder forwarder
	dir       string // directory of the node's files
	pinned    bool   // the forwarder runs on reserved processors
}

// run starts the forwarder and measures its delay at pacedRate, then its maximum rate. Everything
// that it starts has ended when it returns.
func (m measurement) run(ctx context.Context) (measured measurementResult, err error) {
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
		return measured, err
	}
	defer server.Kill()
	to := addrs[nodeName]
	receiver, err := newReceiver(ctx, to)
	if err != nil {
		return measured, err
	}
	listen, err := loopback.Reserve()
	if err != nil {
		return measured, err
	}
	stop, err := m.startForwarder(ctx, discovery, listen, to)
	if err != nil {
		return measured, err
	}
	defer stop()
	senders, err := newSenders(ctx, listen, 2*m.Cores)
	if err != nil {
		return measured, err
	}
	if err := waitForAllFlows(ctx, senders, receiver); err != nil {
		return measured, err
	}

	receiver.setDelayRecording(true)
	sendFromAll(ctx, senders, pacedRate)
	measured.delays = receiver.setDelayRecording(false)

	before, startedAt := receiver.received.Load(), time.Now()
	sendFromAll(ctx, senders, 0)
	fake.Sleep(ctx, 20*time.Millisecond)
	measured.rate = float64(receiver.received.Load()-before) / time.Since(startedAt).Seconds()
	return measured, ctx.Err()
}

// startForwarder starts the bare loop or a node; stop ends it.
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

// startBareLoop runs the bare loop in a separate process, by this program's hidden command.
func (m measurement) startBareLoop(ctx context.Context, listen, to string) (stop func(), err error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	command := exec.CommandContext(ctx, executable, "bare", listen, to)
	if err := startPinned(m.pinned, 1, command.Start); err != nil {
		cancel()
		return nil, err
	}
	return func() {
		cancel()
		_ = command.Wait() // the error only says that it was killed
	}, nil
}

// sendFromAll lets all senders send for measurementTime: rate datagrams per second in total, or as
// many as possible if rate is 0.
func sendFromAll(ctx context.Context, senders []sender, rate float64) {
	ctx, stop := context.WithTimeout(ctx, measurementTime)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range senders {
		wg.Go(func() { s.send(ctx, rate/float64(len(senders))) })
	}
	wg.Wait()
}

// waitForAllFlows waits until a datagram of every flow is forwarded. It fails after readinessTimeout.
func waitForAllFlows(ctx context.Context, senders []sender, receiver *receiver) error {
	for startedAt := time.Now(); ; {
		before, sent := receiver.received.Load(), 0
		for _, s := range senders {
			sent += s.sendOneDatagramPerFlow()
		}
		if !fake.Sleep(ctx, readinessInterval) {
			return ctx.Err()
		}
		forwarded := receiver.received.Load() - before
		if sent == senderFlows && forwarded >= senderFlows {
			return nil
		}
		if time.Since(startedAt) > readinessTimeout {
			return fmt.Errorf("waiting for all flows: of %d flows, %d were forwarded", senderFlows, forwarded)
		}
	}
}
