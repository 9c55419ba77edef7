package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/loopback"
)

const (
	agentStartTimeout = 10 * time.Second
	agentPollInterval = 10 * time.Millisecond
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"coralctl": main}) }

// buildAgent builds coralagent once and returns the directory that contains the binary.
var buildAgent = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "coralctl-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "coralrelay/cmd/coralagent").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// TestScripts runs the scripts in testdata/script with the real coralctl and coralagent.
func TestScripts(t *testing.T) {
	t.Cleanup(func() {
		if dir, err := buildAgent(); err == nil {
			_ = os.RemoveAll(dir)
		}
	})
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup:               setFreeAddresses,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fill":  expandEnvironment,
			"agent": startAgent,
		},
	})
}

// setFreeAddresses sets the environment variables with the addresses on which a script's agent listens.
func setFreeAddresses(env *testscript.Env) error {
	for _, name := range []string{"AGENT", "GOSSIP", "RECORD"} {
		address, err := loopback.Reserve()
		if err != nil {
			return err
		}
		env.Setenv(name, address)
	}
	return nil
}

// expandEnvironment implements the script command "fill FILE", which expands the script's
// environment variables in the file.
func expandEnvironment(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	ts.Check(os.WriteFile(path, []byte(os.Expand(ts.ReadFile(path), ts.Getenv)), 0o600))
}

// startAgent implements the script command "agent FILE", which starts coralagent with the
// operator's file and waits until the agent answers.
func startAgent(ts *testscript.TestScript, _ bool, args []string) {
	dir, err := buildAgent()
	ts.Check(err)
	logFile, err := os.Create(ts.MkAbs("agent.log"))
	ts.Check(err)
	agent := exec.Command(filepath.Join(dir, "coralagent"), "--config", ts.MkAbs(args[0]))
	agent.Dir = ts.MkAbs(".")
	agent.Stderr = logFile
	ts.Check(agent.Start())
	ts.Defer(func() {
		_ = agent.Process.Signal(os.Interrupt)
		_ = agent.Wait()
		_ = logFile.Close()
	})
	waitForAgent(ts)
}

func waitForAgent(ts *testscript.TestScript) {
	ticker := time.NewTicker(agentPollInterval)
	defer ticker.Stop()
	for startedAt := time.Now(); ; <-ticker.C {
		var state agentapi.State
		err := agentapi.Call(ts.Getenv("AGENT"), agentapi.OperatorRequest{Method: methodState}, &state)
		if err == nil {
			return
		}
		if time.Since(startedAt) > agentStartTimeout {
			ts.Fatalf("the agent did not answer in time")
		}
	}
}
