package testbed

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// CheckMutation returns an error where a mutation is asked for that a scenario does not have;
// an empty name asks for none.
func CheckMutation(mutations map[string]string, name string) error {
	if _, known := mutations[name]; name != "" && !known {
		return fmt.Errorf("no mutation %q", name)
	}
	return nil
}

// BuildMutated builds one of the commands, with guards that the environment can switch off,
// into dir and returns the binary's path. It needs the module's root as working directory.
func BuildMutated(ctx context.Context, dir, command string) (binary string, err error) {
	binary = filepath.Join(dir, command+"-mutated")
	build := exec.CommandContext(ctx, "go", "build", "-tags", "mutation", "-o", binary, "coralrelay/cmd/"+command)
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build with -tags mutation, from the module's root: %w: %s", err, out)
	}
	return binary, nil
}
