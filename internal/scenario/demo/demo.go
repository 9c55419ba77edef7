// Package demo shows a running node on a terminal: clients connect one after another, and one of four
// fake servers drains halfway through. It has no checks of its own.
package demo

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

const (
	serverCount    = 4
	clientCount    = 60
	clientInterval = 50 * time.Millisecond // between the starts of two clients
	nodeName       = "n0"
	drainingServer = 3 // index of the server that drains
)

// Options configure the demo.
type Options struct {
	Binary  string // path of the node's binary
	Seconds int
	Out     io.Writer
}

// demo is a run of the demo.
type demo struct {
	Options
	observer  testbed.CountingObserver
	discovery *fake.Discovery
	servers   []*fake.Server
	node      *testbed.Node
}

// Run runs the demo for Options.Seconds, or until ctx ends. It starts one goroutine per client; all
// have ended when it returns.
func Run(ctx context.Context, options Options) error {
	dir, remove, err := testbed.TempDir()
	if err != nil {
		return err
	}
	defer remove()
	d := &demo{
		Options:   options,
		observer:  testbed.CountingObserver{Result: testbed.NewResult("demo", 1)},
		discovery: fake.NewDiscovery(),
	}
	defer d.close()
	if err := d.start(ctx, dir); err != nil {
		return err
	}

	clientCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	d.startClients(clientCtx, &wg)
	d.showConnections(ctx)
	stop()
	wg.Wait()

	if len(d.observer.Violations) > 0 {
		return d.observer.Finish(d.Out, "")
	}
	return ctx.Err()
}

// start starts the fake servers and the node.
func (d *demo) start(ctx context.Context, dir string) error {
	addr, err := d.discovery.Listen(nodeName)
	if err != nil {
		return err
	}
	feed := fake.NewFeed(10, 10, 1)
	for i := range serverCount {
		server, _, err := testbed.StartWarmServer(d.discovery, fake.ServerOptions{
			Name:     fmt.Sprintf("s%d", i),
			Feed:     feed,
			Observer: d.observer,
			History:  100,
			Capacity: 2 * clientCount / serverCount,
		}, []string{nodeName})
		if err != nil {
			return err
		}
		d.servers = append(d.servers, server)
	}
	d.node, err = testbed.NewNode(testbed.NodeOptions{
		Binary:    d.Binary,
		Name:      nodeName,
		Dir:       filepath.Join(dir, nodeName),
		Discovery: addr,
		Nodes:     1,
	})
	if err != nil {
		return err
	}
	return d.node.Start(ctx)
}

// close stops the node, then the servers and discovery.
func (d *demo) close() {
	if d.node != nil {
		d.node.Kill()
	}
	for _, server := range d.servers {
		server.Kill()
	}
	d.discovery.Close()
}

// startClients starts clients at intervals of clientInterval; they run until ctx ends.
func (d *demo) startClients(ctx context.Context, wg *sync.WaitGroup) {
	for i := range clientCount {
		client := &fake.Client{
			Key:               fmt.Sprintf("k%d", i),
			Group:             fmt.Sprintf("g%d", i%10),
			Class:             "feed",
			AnswerTimeout:     testbed.FinalAnswerTimeout,
			Nodes:             testbed.Nodes{d.node},
			Observer:          d.observer,
			WithoutResumption: true,
		}
		client.Seed(1, uint64(i))
		wg.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*clientInterval)
			client.Run(ctx)
		})
	}
}

// showConnections prints the number of open connections of each server every second, and drains one
// server halfway through.
func (d *demo) showConnections(ctx context.Context) {
	d.printf("One node, %d feed servers, %d clients. Each mark is a connection at that server.\n",
		serverCount, clientCount)
	for second := 1; second <= d.Seconds && fake.Sleep(ctx, time.Second); second++ {
		if second == d.Seconds/2 {
			server := d.servers[drainingServer]
			d.printf("      %s drains: discovery lists it as leaving, and the node migrates its clients\n",
				server.Name)
			server.Drain(0)
			d.discovery.Set(server.Name, fake.Leaving, time.Time{}, nil)
		}
		d.printf("%3d s", second)
		for _, server := range d.servers {
			d.printf("  %s %-24s", server.Name, strings.Repeat("#", server.OpenConnections()))
		}
		d.printf("\n")
	}
	d.printf("%g connections placed, %g busy answers, %g moved, node at %.1f MB\n",
		d.observer.Metric("UP"), d.observer.Metric("BUSY"), d.observer.Metric("moved"),
		float64(d.node.Process.ResidentMemory())/1e6)
}

// printf writes to Options.Out. It ignores errors, because there is no other output to report them on.
func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format, args...)
}
