package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// runCommand parses the command line and runs its command, which is serve by default.
// It uses package flag instead of kong, which the other programs use: kong looks up methods
// by name, so the linker keeps every method of every type, which costs 2.4 MB of resident memory.
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
			"operator configuration `FILE`, CUE or JSON; without it the features that it configures are off")
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return nil
	case err != nil:
		return err
	case flags.NArg() > 0:
		return fmt.Errorf("unexpected argument %q: want serve, version or --config FILE", flags.Arg(0))
	}
	if command == "version" {
		_, err := fmt.Fprintln(out, "coralrelay", version())
		return err
	}
	return serve(file)
}
