package rig

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/rig/world"
	"coralrelay/internal/standin"
)

// DemoOptions size the demo.
type DemoOptions struct {
	Binary  string
	Seconds int
	Out     io.Writer
}

// quiet hears what stand-ins tell, and counts it.
type quiet struct{ *world.Result }

func (q quiet) Opened(standin.Opened)   {}
func (q quiet) Started(standin.Started) {}
func (q quiet) Answered(_, answer string, _ bool, _ time.Duration) {
	q.Add(answer, 1)
}
func (q quiet) Moved(string, string, string)                               { q.Add("moved", 1) }
func (q quiet) Streaming(string, bool, bool, time.Duration, time.Duration) {}

// Demo shows a node at work: four feed servers, one of which drains half way.
func Demo(ctx context.Context, o DemoOptions) error {
	const servers, clients = 4, 60
	dir, err := os.MkdirTemp("", "coralrig-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	seen := quiet{world.NewResult("demo", 1)}
	feed, roster := standin.NewFeed(10, 10, 1), standin.NewRoster()
	defer roster.Close()
	discovery, err := roster.Listen("n0")
	if err != nil {
		return err
	}
	var list []*standin.Server
	for i := range servers {
		v := standin.NewServer(standin.ServerOptions{Name: fmt.Sprintf("s%d", i), Feed: feed, Witness: seen,
			History: 100, Capacity: 2 * clients / servers})
		addrs, err := v.Start([]string{"n0"})
		if err != nil {
			return err
		}
		defer v.Kill()
		list = append(list, v)
		roster.Set(v.Name, standin.Active, time.Time{}, addrs)
	}
	n, err := world.NewNode(world.NodeOptions{Binary: o.Binary, Name: "n0", Dir: filepath.Join(dir, "n0"), Discovery: discovery, Nodes: 1})
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	nodes := world.Nodes{n}
	defer nodes.End()
	running, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range clients {
		c := &standin.Client{Key: fmt.Sprintf("k%d", i), Group: fmt.Sprintf("g%d", i%10), Class: "feed", Patience: world.Patience,
			Front: nodes, Diary: seen, Plain: true}
		c.Seed(1, uint64(i))
		wg.Go(func() {
			standin.Sleep(running, time.Duration(i)*50*time.Millisecond) // they come one after another
			c.Run(running)
		})
	}
	fmt.Fprintf(o.Out, "One node, %d feed servers, %d clients. Each mark is a connection at that server.\n", servers, clients)
	for second := 1; second <= o.Seconds && standin.Sleep(ctx, time.Second); second++ {
		if second == o.Seconds/2 {
			fmt.Fprintln(o.Out, "      s3 drains: the roster says so, and the node moves its clients")
			list[3].Drain(0)
			roster.Set("s3", standin.Leaving, time.Time{}, nil)
		}
		fmt.Fprintf(o.Out, "%3d s", second)
		for _, v := range list {
			fmt.Fprintf(o.Out, "  %s %-24s", v.Name, strings.Repeat("#", v.Held()))
		}
		fmt.Fprintln(o.Out)
	}
	fmt.Fprintf(o.Out, "%g connections placed, %g busy answers, %g moved, node at %.1f MB\n", seen.Get("UP"), seen.Get("BUSY"),
		seen.Get("moved"), n.Resident()/1e6)
	if len(seen.Violations) > 0 {
		return seen.Finish(o.Out, "")
	}
	return ctx.Err()
}
