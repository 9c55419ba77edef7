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
	// childDirVariable makes the test binary a child that works in the directory it names.
	childDirVariable = "CORALRELAY_LEDGER_CHILD"
	// childTimeout is how long the child waits to be killed.
	childTimeout = 10 * time.Second
)

// TestMain lets the test binary act as a node that is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv(childDirVariable); dir != "" {
		spendAndKillSelf(dir)
		return
	}
	os.Exit(m.Run())
}

// spendAndKillSelf spends a token and kills its process once that is durable, before anybody
// hears of the verdict.
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

// A node that is killed between the commit and the response has spent the token: the next
// redemption gets that verdict.
func TestKilledBeforeAnswer(t *testing.T) {
	dir := t.TempDir()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childDirVariable+"="+dir)
	output, _ := child.CombinedOutput()
	if status, ok := child.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGKILL {
		t.Fatalf("the child ended with %v: %s", child.ProcessState, output)
	}
	text, err := os.ReadFile(filepath.Join(dir, "token"))
	if err != nil {
		t.Fatal(err)
	}
	token := openToken(t, newTestKeyRing(t, "a"), string(text))
	guard, _ := startGuard(t, Options{Dir: dir})
	if verdict := spend(guard, token, 2); verdict != resumetoken.Spent || guard.RecordCount() != 1 {
		t.Errorf("presented again: %v, %d records", verdict, guard.RecordCount())
	}
}
