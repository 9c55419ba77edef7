package replayguard

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

const (
	// childDirVariable is the environment variable that makes the test binary run as the child
	// process, in the directory that is its value.
	childDirVariable = "CORALRELAY_LEDGER_CHILD"
	// childTimeout is how long the child process waits to be killed.
	childTimeout = 10 * time.Second
)

// TestMain runs the child process if childDirVariable is set, and the tests otherwise.
func TestMain(m *testing.M) {
	if dir := os.Getenv(childDirVariable); dir != "" {
		spendAndKillSelf(dir)
		return
	}
	os.Exit(m.Run())
}

// spendAndKillSelf spends a token and kills its own process when the grant is durable, before the
// verdict is sent.
func spendAndKillSelf(dir string) {
	t := &testing.T{}
	keyRing := newTestKeyRing(t, "a")
	guard, err := Open(Options{Dir: dir, MaxRecords: 10})
	if err != nil {
		panic(err)
	}
	go guard.Run(context.Background())
	text, token := mintTestToken(t, keyRing, guard, time.Now(), time.Minute)
	if err := os.WriteFile(filepath.Join(dir, "token"), []byte(text), 0o600); err != nil {
		panic(err)
	}
	guard.Spend(token, resumetoken.RedemptionID{1}, func(resumetoken.Verdict) {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	})
	time.Sleep(childTimeout)
}

// If a node is killed between the commit of a grant and the response, the token is spent: the next
// redemption gets the verdict Spent.
func TestKilledBeforeResponse(t *testing.T) {
	dir := t.TempDir()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childDirVariable+"="+dir)
	output, _ := child.CombinedOutput()
	if status, ok := child.ProcessState.Sys().(syscall.WaitStatus); !ok ||
		status.Signal() != syscall.SIGKILL {
		t.Fatalf("the child process exited with %v: %s", child.ProcessState, output)
	}
	text, err := os.ReadFile(filepath.Join(dir, "token"))
	if err != nil {
		t.Fatal(err)
	}
	token := openToken(t, newTestKeyRing(t, "a"), string(text))
	guard, _ := startGuard(t, Options{Dir: dir})
	if verdict := spend(guard, token, 2); verdict != resumetoken.Spent || guard.RecordCount() != 1 {
		t.Errorf("second redemption: %v, %d records", verdict, guard.RecordCount())
	}
}
