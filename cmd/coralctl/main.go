// Command coralctl is the command-line tool for operators: it checks, explains and exports an
// operator's file, creates keys, inspects a store, and queries or changes the fleet through an agent.
//
// It runs on the main goroutine only. An error is printed to standard error; the exit code
// distinguishes a file or an agent that can't be reached from every other error.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of a failed command.
const (
	exitUnreachable = 1 // a file or an agent can't be reached
	exitInvalid     = 2 // any other error, such as an invalid file or a rejected request
)

// cli holds the commands of the command line.
type cli struct {
	Check   checkCmd   `cmd:"" help:"Check an operator's file; if it is invalid, exit with 2 and name the file, line, key, found value and allowed values."`
	Explain explainCmd `cmd:"" help:"List the keys of an operator's file, or those with a prefix."`
	Export  exportCmd  `cmd:"" help:"Print an operator's file as complete JSON, as the node reads it."`
	Key     keyCmd     `cmd:"" help:"Manage keys for resume tokens."`
	Store   storeCmd   `cmd:"" help:"Inspect a store that no node has open."`
	Fleet   fleetCmd   `cmd:"" help:"Query the agent of a node."`
	Account accountCmd `cmd:"" help:"Manage accounts, teams and grants through the agent of a node."`
	Route   routeCmd   `cmd:"" help:"Manage the routes of accounts and teams."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var commands cli
	parsed := kong.Parse(&commands, kong.Name("coralctl"), kong.UsageOnError(),
		kong.Description("Check operator's files, create keys, inspect stores and query agents."))
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
	return exitInvalid
}
