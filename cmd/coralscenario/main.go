// Command coralscenario plays scenes on loopback: real nodes, stand-ins for everyone
// else, faults by script, and checks of the rules from the stand-ins' side.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/alecthomas/kong"

	"coralrelay/internal/scenario"
	"coralrelay/internal/scenario/testbed"
	"coralrelay/internal/scenario/zones"
)

// The exit codes: a rule broke or a bound was missed; it could not run.
const (
	broken   = 1
	couldNot = 2
)

type cli struct {
	Node string `placeholder:"FILE" help:"The node's binary; by default the coralrelay beside this program."`

	Demo     demoCmd     `cmd:"" help:"Start a roster, feed servers, a node and clients, show for 10 s what is placed where, and end."`
	Resume   resumeCmd   `cmd:"" help:"Move clients with resume tokens over drains, restarts and kills."`
	Bare     bareCmd     `cmd:"" hidden:"" help:"Forward datagrams by a bare loop, for comparison."`
	Accounts accountsCmd `cmd:"" help:"Teams that change routes, limits and grants at once through different agents, while leaders die, links break and a disk fills."`
	Fleet    fleetCmd    `cmd:"" help:"Nodes that share limits and verdicts, while they are cut off, fall and are lied to."`
	Zones    zonesCmd    `cmd:"" help:"Nodes, agents and feed servers in zones that fail, are left as one and returned to."`
	Promises promisesCmd `cmd:"" help:"Contracts on response times, kept by steering tenants to regions that meet them."`
	UDP      udpCmd      `cmd:"" name:"udp" help:"Send short flows of datagrams through a small table while servers drain and fall."`
}

// common is what all scenes have.
type common struct {
	Seed          uint64 `default:"1" help:"The script's seed."`
	JSON          string `name:"json" placeholder:"FILE" help:"Write the result there."`
	Mutation      string `placeholder:"NAME" help:"Switch a guard off; the scene must then find broken rules and exit 1."`
	ListMutations bool   `help:"Name the guards that can be switched off, and end."`
}

// list prints the mutations.
func list(names map[string]string) error {
	for _, name := range slices.Sorted(maps.Keys(names)) {
		fmt.Printf("%-18s %s\n", name, names[name])
	}
	return nil
}

// terminal is where progress is shown, nil if nobody looks.
func terminal() io.Writer {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return os.Stderr
}

type resumeCmd struct {
	common
	Moves   int `default:"1000" help:"Clients moved in all."`
	Nodes   int `default:"3" help:"Nodes."`
	Servers int `default:"6" help:"Feed servers."`
	Clients int `default:"200" help:"Clients."`
}

func (c *resumeCmd) Run(ctx context.Context, top *cli) error {
	if c.ListMutations {
		return list(scenario.ResumeMutations)
	}
	r, err := scenario.Resume(ctx, scenario.ResumeOptions{Seed: c.Seed, Moves: c.Moves, Nodes: c.Nodes, Servers: c.Servers,
		Clients: c.Clients, Binary: top.Node, Mutation: c.Mutation, Progress: terminal()})
	if err != nil {
		return err
	}
	return r.Finish(os.Stdout, c.JSON)
}

type udpCmd struct {
	common
	Flows   int  `default:"100000" help:"Flows in all."`
	Table   int  `default:"10000" help:"Flows that the node's table holds."`
	Servers int  `default:"8" help:"Feed servers."`
	Shared  bool `help:"The node's flows share a socket to each next hop."`
	Cores   int  `default:"1" help:"Cores that the node has, and fronts for datagrams."`
	Speed   bool `help:"Measure forwarding against a bare loop, in place of many short flows."`
	Steady  int  `default:"2000" help:"Steady flows beside floods."`
	Flood   bool `help:"Steady flows beside floods of new ones, in place of many short flows."`
}

func (c *udpCmd) Run(ctx context.Context, top *cli) error {
	if c.ListMutations {
		return list(scenario.UDPMutations)
	}
	play := scenario.UDP
	if c.Speed {
		play = scenario.UDPSpeed
	}
	r, err := play(ctx, scenario.UDPOptions{Seed: c.Seed, Flows: c.Flows, Table: c.Table, Servers: c.Servers, Flood: c.Flood, Steady: max(c.Steady, 1), Shared: c.Shared, Cores: c.Cores, Binary: top.Node,
		Mutation: c.Mutation, Progress: terminal()})
	if err != nil {
		return err
	}
	return r.Finish(os.Stdout, c.JSON)
}

type fleetCmd struct {
	common
	Nodes   int      `default:"7" help:"Nodes, each with its agent: 5 to 9."`
	Servers int      `default:"8" help:"Feed servers."`
	Rate    float64  `default:"60" help:"Transactions a second in usual times."`
	Steps   []string `help:"Play these alone, after members have met: cold, fall, lies, bad, full."`
	Alone   bool     `help:"Nodes have no agents: figures for comparison."`
}

func (c *fleetCmd) Run(ctx context.Context, top *cli) error {
	if c.ListMutations {
		return list(scenario.FleetMutations)
	}
	if c.Nodes < 5 || c.Nodes > 9 || c.Servers < 6 || c.Servers > 40 || !(c.Rate >= 20 && c.Rate <= 1000) {
		return errors.New("5 to 9 nodes, 6 to 40 servers and a rate of 20 to 1000 are wanted")
	}
	r, err := scenario.Fleet(ctx, scenario.FleetOptions{Seed: c.Seed, Nodes: c.Nodes, Servers: c.Servers, Rate: c.Rate, WithoutAgents: c.Alone, Steps: c.Steps,
		Binary: top.Node, Mutation: c.Mutation, Progress: terminal()})
	if err != nil {
		return err
	}
	return r.Finish(os.Stdout, c.JSON)
}

type zonesCmd struct {
	common
	Nodes   int      `default:"7" help:"Nodes, each with its agent: 5 to 15."`
	Voters  int      `default:"3" help:"Agents that decide what the record takes: 3 or 5."`
	Zones   int      `default:"3" help:"Zones: 3 to 6."`
	Servers int      `default:"9" help:"Feed servers."`
	Rate    float64  `default:"120" help:"Transactions a second in usual times."`
	Steps   []string `help:"Play these alone, after members have met: cold, silent, link, half, one, self, disk, leader, lone, two, flap."`
}

func (c *zonesCmd) Run(ctx context.Context, top *cli) error {
	if c.ListMutations {
		return list(zones.Mutations)
	}
	if c.Nodes < 5 || c.Nodes > 15 || c.Voters != 3 && c.Voters != 5 || c.Zones < 3 || c.Zones > 6 || c.Servers < 2*c.Zones || c.Servers > 40 || !(c.Rate >= 60 && c.Rate <= 1000) {
		return errors.New("5 to 15 nodes, 3 or 5 voters, 3 to 6 zones, two servers or more in each, 40 at most, and a rate of 60 to 1000 are wanted")
	}
	r, err := zones.Play(ctx, zones.Options{Seed: c.Seed, Nodes: c.Nodes, Voters: c.Voters, Zones: c.Zones, Servers: c.Servers, Rate: c.Rate,
		Steps: c.Steps, Binary: top.Node, Mutation: c.Mutation, Progress: terminal()})
	if err != nil {
		return err
	}
	return r.Finish(os.Stdout, c.JSON)
}

type bareCmd struct {
	Listen string `arg:""`
	To     string `arg:""`
}

func (c *bareCmd) Run(ctx context.Context) error { return scenario.Bare(ctx, c.Listen, c.To) }

type demoCmd struct {
	Seconds int `default:"10" help:"How long."`
}

func (c *demoCmd) Run(ctx context.Context, top *cli) error {
	return scenario.Demo(ctx, scenario.DemoOptions{Binary: top.Node, Seconds: c.Seconds, Out: os.Stdout})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slog.SetLogLoggerLevel(slog.LevelError) // what parties in this process say of the scene's faults
	var c cli
	k := kong.Parse(&c, kong.Name("coralscenario"), kong.UsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Description("Play scenes against real nodes, with stand-ins on loopback for everyone else."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = couldNot
			}
			os.Exit(code)
		}))
	if c.Node == "" {
		if self, err := os.Executable(); err == nil {
			c.Node = filepath.Join(filepath.Dir(self), "coralrelay")
		}
	}
	switch err := k.Run(&c); {
	case errors.Is(err, testbed.ErrRulesBroken):
		stop()
		os.Exit(broken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "coralscenario:", err)
		os.Exit(couldNot)
	}
}
