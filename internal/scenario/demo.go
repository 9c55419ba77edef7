package scenario

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// DemoOptions size the demo.
type DemoOptions struct {
	Binary  string
	Seconds int
	Out     io.Writer
}

// quiet hears what stand-ins tell, and counts it.
type quiet struct{ *testbed.Result }

func (q quiet) Opened(fake.Opened)   {}
func (q quiet) Started(fake.Started) {}
func (q quiet) Answered(_, answer string, _ bool, _ time.Duration) {
	q.AddMetric(answer, 1)
}
func (q quiet) Moved(string, string, string)                               { q.AddMetric("moved", 1) }
func (q quiet) Streaming(string, bool, bool, time.Duration, time.Duration) {}

// Demo shows a node at work: four feed servers, one of which drains half way.
func Demo(ctx context.Context, o DemoOptions) error {
	const servers, clients = 4, 60
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	seen := quiet{testbed.NewResult("demo", 1)}
	feed, roster := fake.NewFeed(10, 10, 1), fake.NewDiscovery()
	defer roster.Close()
	discovery, err := roster.Listen("n0")
	if err != nil {
		return err
	}
	var list []*fake.Server
	for i := range servers {
		v := fake.NewServer(fake.ServerOptions{Name: fmt.Sprintf("s%d", i), Feed: feed, Observer: seen,
			History: 100, Capacity: 2 * clients / servers})
		addrs, err := v.Start([]string{"n0"})
		if err != nil {
			return err
		}
		defer v.Kill()
		list = append(list, v)
		roster.Set(v.Name, fake.Active, time.Time{}, addrs)
	}
	n, err := testbed.NewNode(testbed.NodeOptions{Binary: o.Binary, Name: "n0", Dir: filepath.Join(dir, "n0"), Discovery: discovery, Nodes: 1})
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	nodes := testbed.Nodes{n}
	defer nodes.KillAll()
	running, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range clients {
		c := &fake.Client{Key: fmt.Sprintf("k%d", i), Group: fmt.Sprintf("g%d", i%10), Class: "feed", AnswerTimeout: testbed.Patience,
			Nodes: nodes, Observer: seen, WithoutResumption: true}
		c.Seed(1, uint64(i))
		wg.Go(func() {
			fake.Sleep(running, time.Duration(i)*50*time.Millisecond) // they come one after another
			c.Run(running)
		})
	}
	fmt.Fprintf(o.Out, "One node, %d feed servers, %d clients. Each mark is a connection at that server.\n", servers, clients)
	for second := 1; second <= o.Seconds && fake.Sleep(ctx, time.Second); second++ {
		if second == o.Seconds/2 {
			fmt.Fprintln(o.Out, "      s3 drains: the roster says so, and the node moves its clients")
			list[3].Drain(0)
			roster.Set("s3", fake.Leaving, time.Time{}, nil)
		}
		fmt.Fprintf(o.Out, "%3d s", second)
		for _, v := range list {
			fmt.Fprintf(o.Out, "  %s %-24s", v.Name, strings.Repeat("#", v.OpenConnections()))
		}
		fmt.Fprintln(o.Out)
	}
	fmt.Fprintf(o.Out, "%g connections placed, %g busy answers, %g moved, node at %.1f MB\n", seen.Metric("UP"), seen.Metric("BUSY"),
		seen.Metric("moved"), n.ResidentMemory()/1e6)
	if len(seen.Violations) > 0 {
		return seen.Finish(o.Out, "")
	}
	return ctx.Err()
}
