package testbed

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// CheckMutation returns an error if a scenario does not have the named mutation. An empty name
// stands for no mutation and is valid.
func CheckMutation(mutations map[string]string, name string) error {
	if _, known := mutations[name]; name != "" && !known {
		return fmt.Errorf("unknown mutation %q", name)
	}
	return nil
}

// BuildMutated builds one of the commands with the build tag mutation, so that an environment
// variable can switch guards off. It writes the binary into dir and returns its path. The working
// directory must be the root of the module.
func BuildMutated(ctx context.Context, dir, command string) (binary string, err error) {
	binary = filepath.Join(dir, command+"-mutated")
	build := exec.CommandContext(ctx, "go", "build", "-tags", "mutation", "-o", binary, "coralrelay/cmd/"+command)
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build with -tags mutation in the module root: %w: %s", err, out)
	}
	return binary, nil
}
