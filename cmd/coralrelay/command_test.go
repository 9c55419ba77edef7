package main

import (
	"strings"
	"testing"
)

// Each command line serves, prints, or fails with an error that names the invalid argument.
func TestRunCommand(t *testing.T) {
	for _, tt := range []struct {
		args, served, prints, fails string
	}{
		{args: "", served: "-"},
		{args: "serve", served: "-"},
		{args: "--config a.json", served: "a.json"},
		{args: "serve --config=b.cue", served: "b.cue"},
		{args: "version", prints: "coralrelay "},
		{args: "--help", prints: "Usage: coralrelay"},
		{args: "version --config a.json", fails: "config", prints: "Usage"},
		{args: "serve now", fails: `"now"`},
		{args: "--confg a", fails: "confg", prints: "Usage"},
	} {
		t.Run(tt.args, func(t *testing.T) {
			var out strings.Builder
			served := ""
			err := runCommand(strings.Fields(tt.args), &out, func(file string) error {
				served = max(file, "-")
				return nil
			})
			if (err != nil) != (tt.fails != "") || err != nil && !strings.Contains(err.Error(), tt.fails) {
				t.Errorf("error %v, want one with %q", err, tt.fails)
			}
			if served != tt.served || !strings.HasPrefix(out.String(), tt.prints) && tt.fails == "" {
				t.Errorf("served %q, want %q; printed %q", served, tt.served, out.String())
			}
		})
	}
}
