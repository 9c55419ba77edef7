package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"coralrelay/internal/fleet/agentapi"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"coralctl": main}) }

// built is a folder with the agent's program.
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

// free returns a loopback address on which nobody listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// TestScripts plays the scripts in testdata/script, with the real programs.
func TestScripts(t *testing.T) {
	t.Cleanup(func() {
		if dir, err := buildAgent(); err == nil {
			_ = os.RemoveAll(dir)
		}
	})
	testscript.Run(t, testscript.Params{Dir: "testdata/script", RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			for _, name := range []string{"AGENT", "GOSSIP", "RECORD"} {
				addr, err := freeAddress()
				if err != nil {
					return err
				}
				e.Setenv(name, addr)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fill": expandEnvironment, "agent": startAgent,
		}})
}

// fill FILE puts the environment's values in.
func expandEnvironment(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	ts.Check(os.WriteFile(path, []byte(os.Expand(ts.ReadFile(path), ts.Getenv)), 0o600))
}

// agent FILE starts coralagent with it and waits until it answers.
func startAgent(ts *testscript.TestScript, _ bool, args []string) {
	dir, err := buildAgent()
	ts.Check(err)
	c := exec.Command(filepath.Join(dir, "coralagent"), "--config", ts.MkAbs(args[0]))
	said, err := os.Create(ts.MkAbs("agent.log"))
	ts.Check(err)
	c.Dir, c.Stderr = ts.MkAbs("."), said
	ts.Check(c.Start())
	ts.Defer(func() {
		_ = c.Process.Signal(os.Interrupt)
		_ = c.Wait()
		_ = said.Close()
	})
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for begun := time.Now(); ; <-tick.C {
		var s agentapi.State
		if err := agentapi.Call(ts.Getenv("AGENT"), agentapi.OperatorRequest{Method: "state"}, &s); err == nil {
			return
		}
		if time.Since(begun) > 10*time.Second {
			ts.Fatalf("the agent does not answer")
		}
	}
}
