// Command coralscenario runs scenarios on the loopback interface: real nodes and agents, fake
// servers and clients, and scripted fault injection. It checks the rules against what the fake
// servers and clients observe.
//
// The exit code is 0 if all rules held, 1 if a rule broke or a bound was missed, and 2 if the
// scenario could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"coralrelay/internal/scenario/demo"
	"coralrelay/internal/scenario/testbed"
)

// Exit codes of a failed run.
const (
	exitRulesBroken = 1 // a rule broke or a bound was missed
	exitCouldNotRun = 2 // wrong flags, or the scenario could not run
)

// commands holds the global flags and the commands of the command line.
type commands struct {
	Node string `placeholder:"FILE" help:"The node's binary; by default the coralrelay beside this program."`

	Demo       demoCommand       `cmd:"" help:"Start a discovery service, feed servers, a node and clients, show the placements for 10 s, and exit."`
	Resume     resumeCommand     `cmd:"" help:"Migrate clients with resume tokens during drains, restarts and kills."`
	Bare       bareCommand       `cmd:"" hidden:"" help:"Forward datagrams in a bare loop, for comparison."`
	Accounts   accountsCommand   `cmd:"" help:"Teams change routes, limits and grants concurrently through different agents, while leaders crash, links fail and a disk fills up."`
	Fleet      fleetCommand      `cmd:"" help:"Nodes share limits and outlier reports, while some are partitioned, crash or receive false reports."`
	Soak       soakCommand       `cmd:"" help:"Run a fleet of nodes under overlapping random faults and check it by what clients and servers observed."`
	Zones      zonesCommand      `cmd:"" help:"Zones with nodes, agents and feed servers fail, are evacuated and recover."`
	Objectives objectivesCommand `cmd:"" name:"promises" help:"Meet contracts on response times by steering tenants to regions that meet them."`
	UDP        udpCommand        `cmd:"" name:"udp" help:"Send short flows of datagrams through a small table while servers drain and crash."`
}

// demoCommand demonstrates a running node; it checks no rules.
type demoCommand struct {
	Seconds int `default:"10" help:"Duration in seconds."`
}

// Run runs the demonstration; kong calls it.
func (c *demoCommand) Run(ctx context.Context, root *commands) error {
	return demo.Run(ctx, demo.Options{Binary: root.Node, Seconds: c.Seconds, Out: os.Stdout})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Below this level, members in this process log the faults that the scenario injects.
	slog.SetLogLoggerLevel(slog.LevelError)

	var root commands
	parsed := kong.Parse(&root,
		kong.Name("coralscenario"),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Description("Run scenarios against real nodes, with fake servers and clients on loopback."),
		kong.Exit(exitOnParse))
	if root.Node == "" {
		if self, err := os.Executable(); err == nil {
			root.Node = testbed.SiblingBinary(self, "coralrelay")
		}
	}

	switch err := parsed.Run(&root); {
	case errors.Is(err, testbed.ErrRulesBroken):
		stop()
		os.Exit(exitRulesBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "coralscenario:", err)
		os.Exit(exitCouldNotRun)
	}
}

// exitOnParse exits after kong has printed the help, or has rejected the command line.
func exitOnParse(code int) {
	if code != 0 {
		code = exitCouldNotRun
	}
	os.Exit(code)
}
