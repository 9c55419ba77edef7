package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// command reads the command line and does what it says; without a command the node serves.
// It is read by package flag and not by kong, as the other commands' are: kong finds methods
// by name, so the linker keeps every method of every type, which is 2.4 MB resident.
func command(args []string, out io.Writer, serve func(file string) error) error {
	name := "serve"
	if len(args) > 0 && (args[0] == "serve" || args[0] == "version") {
		name, args = args[0], args[1:]
	}
	f := flag.NewFlagSet("coralrelay", flag.ContinueOnError)
	f.SetOutput(out)
	f.Usage = func() {
		fmt.Fprintf(out, "Usage: coralrelay [serve] [--config FILE]\n       coralrelay version\n\n%s\n\n", about)
		f.PrintDefaults()
	}
	file := ""
	if name == "serve" {
		f.StringVar(&file, "config", "", "the operator's own `FILE`, CUE or JSON; without it all that goes beyond the platform is off")
	}
	switch err := f.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return nil
	case err != nil:
		return err
	case f.NArg() > 0:
		return fmt.Errorf("argument %q: none is taken but serve, version and --config FILE", f.Arg(0))
	}
	if name == "version" {
		_, err := fmt.Fprintln(out, "coralrelay", version())
		return err
	}
	return serve(file)
}
