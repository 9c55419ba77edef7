package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"coralrelay/internal/scenario/testbed"
)

// runFlags are the flags of all scenarios that check rules.
type runFlags struct {
	Seed          uint64 `default:"1" help:"Seed of the scenario's script."`
	JSON          string `name:"json" placeholder:"FILE" help:"Write the result to this file."`
	Mutation      string `placeholder:"NAME" help:"Disable a guard; the scenario must then find broken rules and exit with 1."`
	ListMutations bool   `help:"List the guards that can be disabled, and exit."`
}

// memberFlags are the flags of the scenarios whose agents run a replicated log.
type memberFlags struct {
	Nodes  int `default:"7" help:"Nodes, each with its agent: 5 to 15."`
	Voters int `default:"3" help:"Agents that vote on entries of the replicated log: 3 or 5."`
}

// valid reports whether the counts are within the ranges that the help of the flags states.
func (f memberFlags) valid() bool {
	return between(f.Nodes, 5, 15) && (f.Voters == 3 || f.Voters == 5)
}

// between reports whether lower <= x <= upper; it returns false if x is NaN.
func between[T int | float64](x, lower, upper T) bool { return x >= lower && x <= upper }

// runScenario runs a scenario, prints its result and writes the result file. With --list-mutations
// it only lists the mutations. It returns testbed.ErrRulesBroken if the scenario ran and a rule
// broke.
func (f runFlags) runScenario(ctx context.Context, mutations map[string]string,
	play func(ctx context.Context, progress io.Writer) (*testbed.Result, error)) error {
	if f.ListMutations {
		printMutations(mutations)
		return nil
	}
	result, err := play(ctx, progressWriter())
	if err != nil {
		return err
	}
	return result.Finish(os.Stdout, f.JSON)
}

// printMutations lists the mutations in the order of their names, each with its effect.
func printMutations(mutations map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(mutations)) {
		fmt.Printf("%-18s %s\n", name, mutations[name])
	}
}

// progressWriter returns standard error if it is a terminal, and nil otherwise: progress messages
// are for interactive use only.
func progressWriter() io.Writer {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return os.Stderr
}
