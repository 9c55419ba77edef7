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

// Two processes detect each other, each other's socket counts, and the end of the other at once.
// Data that an earlier process left in the file has no effect.
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
				t.Error("a single process detects a sibling")
			}
			second := acquire(t, dir)
			if sockets := siblingSockets(second, 7); !second.IsSiblingAlive() || sockets != 100 {
				t.Errorf("the second process detects %d sockets", sockets)
			}
			if sockets := siblingSockets(first, 99); !first.IsSiblingAlive() || sockets != 7 {
				t.Errorf("the first process detects %d sockets", sockets)
			}
			if _, err := Acquire(dir, "[::1]:7070", time.Now().Add(3*retryInterval)); !errors.Is(err, ErrNoFreeSlot) {
				t.Errorf("Acquire by a third process: %v, want ErrNoFreeSlot", err)
			}
			first.Close()
			if second.IsSiblingAlive() || siblingSockets(second, 1) != 0 {
				t.Error("the end of the first process is not detected")
			}
			acquire(t, dir) // the slot of the first process is free again
		})
	}
}

// A process counts as serving until it clears the state or ends. If both processes drain at the
// same time, they detect it, and a new process does not inherit the state of an earlier one.
func TestServingStateEndsWithItsProcess(t *testing.T) {
	dir := t.TempDir()
	first, second := acquire(t, dir), acquire(t, dir)
	first.SetServing(true)
	if first.IsSiblingServing() || !second.IsSiblingServing() {
		t.Error("only the first process serves, but the processes do not detect this")
	}
	second.SetServing(true)
	if !first.IsSiblingServing() || !second.IsSiblingServing() {
		t.Error("both processes serve, but do not detect this")
	}
	first.SetServing(false)
	second.SetServing(false)
	if first.IsSiblingServing() || second.IsSiblingServing() {
		t.Error("both processes drain, but one detects the other as serving")
	}
	second.SetServing(true)
	second.Close()
	if first.IsSiblingAlive() || first.IsSiblingServing() {
		t.Error("the sibling has ended, but is detected as alive or serving")
	}
	if third := acquire(t, dir); first.IsSiblingServing() || !first.IsSiblingAlive() {
		t.Errorf("%s is not detected as alive, or inherits the state of an earlier process", third.Name())
	}
}

// Acquire fails if a directory has the name of the file. A nil Lock is that of a process without a
// sibling.
func TestRejectsDirectoryAndAllowsNilLock(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "coralrelay---1-7070"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Acquire(dir, "[::1]:7070", time.Time{}); err == nil {
		t.Error("Acquire accepted a directory")
	}
	var none *Lock
	if none.IsSiblingAlive() || siblingSockets(none, 3) != 0 {
		t.Error("a nil lock detects a sibling")
	}
	none.SetServing(true)
	if none.IsSiblingServing() {
		t.Error("a nil lock has a serving sibling")
	}
	none.Close()
}
