package instancelock

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func acquire(t *testing.T, dir string) *Lock {
	t.Helper()
	lock, err := Acquire(dir, "[::1]:7070", time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(lock.Close)
	return lock
}

func siblingSockets(lock *Lock, own int) int {
	n, _ := lock.ExchangeSocketCounts(own)
	return n
}

// Two processes detect each other, each other's sockets, and an end at once; whatever an
// earlier process left in the file counts for nothing.
func TestProcessesDetectEachOther(t *testing.T) {
	for name, previous := range map[string]string{"no file": "", "garbage": strings.Repeat("\xff", 28)} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if previous != "" {
				if err := os.WriteFile(filepath.Join(dir, "coralrelay---1-7070"), []byte(previous), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			first := acquire(t, dir)
			if first.IsSiblingAlive() || siblingSockets(first, 100) != 0 {
				t.Error("a single process detects another")
			}
			second := acquire(t, dir)
			if sockets := siblingSockets(second, 7); !second.IsSiblingAlive() || sockets != 100 {
				t.Errorf("the second process detects %d sockets", sockets)
			}
			if sockets := siblingSockets(first, 99); !first.IsSiblingAlive() || sockets != 7 {
				t.Errorf("the first process detects %d sockets", sockets)
			}
			if _, err := Acquire(dir, "[::1]:7070", time.Now().Add(3*retryInterval)); !errors.Is(err, ErrNoFreeSlot) {
				t.Errorf("a third: %v", err)
			}
			first.Close()
			if second.IsSiblingAlive() || siblingSockets(second, 1) != 0 {
				t.Error("the end of the first process is not detected")
			}
			acquire(t, dir) // its slot is free
		})
	}
}

// That the sibling process serves ends when it says so or ends itself, and of two that drain
// at once each, or one, detects that the other does.
func TestServingStateEndsWithItsProcess(t *testing.T) {
	dir := t.TempDir()
	first, second := acquire(t, dir), acquire(t, dir)
	first.SetServing(true)
	if first.IsSiblingServing() || !second.IsSiblingServing() {
		t.Error("sibling not ready yet")
	}
	second.SetServing(true)
	if !first.IsSiblingServing() || !second.IsSiblingServing() {
		t.Error("sibling serves")
	}
	first.SetServing(false)
	second.SetServing(false)
	if first.IsSiblingServing() || second.IsSiblingServing() {
		t.Error("both drain")
	}
	second.SetServing(true)
	second.Close()
	if first.IsSiblingAlive() || first.IsSiblingServing() {
		t.Error("sibling has ended")
	}
	if third := acquire(t, dir); first.IsSiblingServing() || !first.IsSiblingAlive() {
		t.Errorf("%s inherits the state of the process before", third.Name())
	}
}

// A directory in the file's place is an error; a nil Lock is that of a process which shares with
// nobody.
func TestRejectsDirectoryAndAllowsNilLock(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "coralrelay---1-7070"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Acquire(dir, "[::1]:7070", time.Time{}); err == nil {
		t.Error("a directory passes for the file")
	}
	var none *Lock
	if none.IsSiblingAlive() || siblingSockets(none, 3) != 0 {
		t.Error("a process that shares with nobody detects another")
	}
	none.SetServing(true)
	if none.IsSiblingServing() {
		t.Error("a process that shares with nobody has a serving sibling")
	}
	none.Close()
}
