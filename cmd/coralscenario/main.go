// Command coralscenario runs scenarios on loopback: real nodes and agents, fake servers and
// clients, scripted fault injection, and checks of the rules from the fakes' side.
//
// It exits with 0 if all rules held, with 1 if a rule broke or a bound was missed, and with 2 if
// the scenario could not run.
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

// The exit codes.
const (
	exitRulesBroken  = 1 // a rule broke or a bound was missed
	exitCouldNotPlay = 2 // wrong flags, or the scenario could not run
)

// commands is the command line.
type commands struct {
	Node string `placeholder:"FILE" help:"The node's binary; by default the coralrelay beside this program."`

	Demo       demoCommand       `cmd:"" help:"Start a discovery service, feed servers, a node and clients, show for 10 s what is placed where, and end."`
	Resume     resumeCommand     `cmd:"" help:"Move clients with resume tokens over drains, restarts and kills."`
	Bare       bareCommand       `cmd:"" hidden:"" help:"Forward datagrams by a bare loop, for comparison."`
	Accounts   accountsCommand   `cmd:"" help:"Teams that change routes, limits and grants at once through different agents, while leaders die, links break and a disk fills."`
	Fleet      fleetCommand      `cmd:"" help:"Nodes that share limits and outlier reports, while they are cut off, crash and are lied to."`
	Soak       soakCommand       `cmd:"" help:"A fleet of nodes under overlapping faults drawn from a seed, judged from outside by what clients and servers saw."`
	Zones      zonesCommand      `cmd:"" help:"Nodes, agents and feed servers in zones that fail, are evacuated as one and recover."`
	Objectives objectivesCommand `cmd:"" name:"promises" help:"Contracts on response times, kept by steering tenants to regions that meet them."`
	UDP        udpCommand        `cmd:"" name:"udp" help:"Send short flows of datagrams through a small table while servers drain and crash."`
}

// demoCommand shows a node at work; it checks nothing.
type demoCommand struct {
	Seconds int `default:"10" help:"How long."`
}

// Run is called by kong.
func (c *demoCommand) Run(ctx context.Context, top *commands) error {
	return demo.Run(ctx, demo.Options{Binary: top.Node, Seconds: c.Seconds, Out: os.Stdout})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slog.SetLogLoggerLevel(slog.LevelError) // members in this process log the faults that the scenario injects

	var line commands
	parsed := kong.Parse(&line,
		kong.Name("coralscenario"),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Description("Play scenarios against real nodes, with fake servers and clients on loopback."),
		kong.Exit(exitOnParse))
	if line.Node == "" {
		if self, err := os.Executable(); err == nil {
			line.Node = testbed.SiblingBinary(self, "coralrelay")
		}
	}

	switch err := parsed.Run(&line); {
	case errors.Is(err, testbed.ErrRulesBroken):
		stop()
		os.Exit(exitRulesBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "coralscenario:", err)
		os.Exit(exitCouldNotPlay)
	}
}

// exitOnParse ends the program after help, or after a command line that kong refused.
func exitOnParse(code int) {
	if code != 0 {
		code = exitCouldNotPlay
	}
	os.Exit(code)
}
