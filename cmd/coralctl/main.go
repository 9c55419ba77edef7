// Command coralctl is the operators' command: it checks, explains and exports an operator's
// file, makes keys, looks into a store and asks an agent.
//
// It has the main goroutine alone. An error goes to standard error as one text; the exit
// code tells a file or an agent that can't be reached from everything else.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/alecthomas/kong"
)

// The exit codes of a command that fails.
const (
	exitUnreachable = 1 // a file or an agent can't be reached
	exitUnusable    = 2 // a file or a request can't be used
)

type cli struct {
	Check   checkCmd   `cmd:"" help:"Check an operator's file; exit 2 names file, line, key, what was found and what is allowed."`
	Explain explainCmd `cmd:"" help:"List the keys of an operator's file, or those below a prefix."`
	Export  exportCmd  `cmd:"" help:"Print an operator's file as complete JSON, as the node reads it."`
	Key     keyCmd     `cmd:"" help:"Keys for resume tokens."`
	Store   storeCmd   `cmd:"" help:"Look into a store that no node has open."`
	Fleet   fleetCmd   `cmd:"" help:"Ask the agent beside a node."`
	Account accountCmd `cmd:"" help:"Accounts, teams and who may change what, through the agent beside a node."`
	Route   routeCmd   `cmd:"" help:"Routes of accounts and teams."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var commands cli
	parsed := kong.Parse(&commands, kong.Name("coralctl"), kong.UsageOnError(),
		kong.Description("Check operator's files, make keys, look into stores, ask agents."))
	err := parsed.Run()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var fileError *os.PathError
	var networkError *net.OpError
	if errors.As(err, &fileError) || errors.As(err, &networkError) {
		return exitUnreachable
	}
	return exitUnusable
}
