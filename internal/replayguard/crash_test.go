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

const childDir = "CORALRELAY_LEDGER_CHILD"

// TestMain lets the test binary stand in for a node that is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv(childDir); dir != "" {
		killedBeforeAnswer(dir)
		return
	}
	os.Exit(m.Run())
}

// killedBeforeAnswer spends a token and dies once that is written, with nobody told.
func killedBeforeAnswer(dir string) {
	t := &testing.T{}
	r := ring(t, "a")
	l, err := Open(Options{Dir: dir, MaxRecords: 10})
	if err != nil {
		panic(err)
	}
	go l.Run(context.Background())
	text, tok := token(t, r, l, time.Now(), time.Minute)
	if err := os.WriteFile(filepath.Join(dir, "token"), []byte(text), 0o600); err != nil {
		panic(err)
	}
	l.Spend(tok, resumetoken.RedemptionID{1}, func(resumetoken.Verdict) { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL) })
	time.Sleep(patience)
}

const patience = 10 * time.Second

// A node that is killed between writing the ledger and answering has spent the
// token: whoever presents it next is told so.
func TestKilledBeforeAnswer(t *testing.T) {
	dir := t.TempDir()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childDir+"="+dir)
	out, _ := child.CombinedOutput()
	if status, ok := child.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGKILL {
		t.Fatalf("the child ended with %v: %s", child.ProcessState, out)
	}
	text, err := os.ReadFile(filepath.Join(dir, "token"))
	if err != nil {
		t.Fatal(err)
	}
	tok, err := resumetoken.Open(ring(t, "a"), string(text))
	if err != nil {
		t.Fatal(err)
	}
	l, _ := start(t, Options{Dir: dir})
	if v := judge(l, &tok, 2); v != resumetoken.Spent || l.RecordCount() != 1 {
		t.Errorf("presented again: %v, %d kept", v, l.RecordCount())
	}
}
