package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// runCommand reads the command line and runs its command; without one the node serves.
// It is read by package flag and not by kong, as the other commands' are: kong finds methods
// by name, so the linker keeps every method of every type, which is 2.4 MB resident.
func runCommand(args []string, out io.Writer, serve func(file string) error) error {
	command := "serve"
	if len(args) > 0 && (args[0] == "serve" || args[0] == "version") {
		command, args = args[0], args[1:]
	}
	flags := flag.NewFlagSet("coralrelay", flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(out, "Usage: coralrelay [serve] [--config FILE]\n       coralrelay version\n\n%s\n\n", description)
		flags.PrintDefaults()
	}
	file := ""
	if command == "serve" {
		flags.StringVar(&file, "config", "",
			"the operator's own `FILE`, CUE or JSON; without it all that goes beyond the platform is off")
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return nil
	case err != nil:
		return err
	case flags.NArg() > 0:
		return fmt.Errorf("argument %q: none is taken but serve, version and --config FILE", flags.Arg(0))
	}
	if command == "version" {
		_, err := fmt.Fprintln(out, "coralrelay", version())
		return err
	}
	return serve(file)
}
