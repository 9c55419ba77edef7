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

const childDirVariable = "CORALRELAY_LEDGER_CHILD"

// TestMain lets the test binary stand in for a node that is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv(childDirVariable); dir != "" {
		spendAndKillSelf(dir)
		return
	}
	os.Exit(m.Run())
}

// killedBeforeAnswer spends a token and dies once that is written, with nobody told.
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
	guard.Spend(token, resumetoken.RedemptionID{1}, func(resumetoken.Verdict) { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL) })
	time.Sleep(childTimeout)
}

const childTimeout = 10 * time.Second

// A node that is killed between writing the ledger and answering has spent the
// token: whoever presents it next is told so.
func TestKilledBeforeAnswer(t *testing.T) {
	dir := t.TempDir()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childDirVariable+"="+dir)
	out, _ := child.CombinedOutput()
	if status, ok := child.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGKILL {
		t.Fatalf("the child ended with %v: %s", child.ProcessState, out)
	}
	text, err := os.ReadFile(filepath.Join(dir, "token"))
	if err != nil {
		t.Fatal(err)
	}
	token, err := resumetoken.Open(newTestKeyRing(t, "a"), string(text))
	if err != nil {
		t.Fatal(err)
	}
	guard, _ := startGuard(t, Options{Dir: dir})
	if v := spend(guard, &token, 2); v != resumetoken.Spent || guard.RecordCount() != 1 {
		t.Errorf("presented again: %v, %d kept", v, guard.RecordCount())
	}
}
