package instancelock

import (
	"errors"
	"os"
	"path/filepath"
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

// Two processes learn of each other and of each other's sockets, and of an end at
// once; whatever a file of before says counts for nothing.
func TestProcessesDetectEachOther(t *testing.T) {
	for name, previous := range map[string]string{"no file": "", "garbage": "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff" +
		"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if previous != "" {
				if err := os.WriteFile(filepath.Join(dir, "coralrelay---1-7070"), []byte(previous), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			first := acquire(t, dir)
			if first.IsSiblingAlive() || siblingSockets(first, 100) != 0 {
				t.Error("a process alone sees another")
			}
			second := acquire(t, dir)
			if sockets := siblingSockets(second, 7); !second.IsSiblingAlive() || sockets != 100 {
				t.Errorf("the new one sees %d sockets", sockets)
			}
			if sockets := siblingSockets(first, 99); !first.IsSiblingAlive() || sockets != 7 {
				t.Errorf("the old one sees %d sockets", sockets)
			}
			if _, err := Acquire(dir, "[::1]:7070", time.Now().Add(3*retryInterval)); !errors.Is(err, ErrNoFreeSlot) {
				t.Errorf("a third: %v", err)
			}
			first.Close()
			if second.IsSiblingAlive() || siblingSockets(second, 1) != 0 {
				t.Error("the old one's end is not seen")
			}
			acquire(t, dir) // its place is free
		})
	}
}

// Whether the other process takes clients ends with its word or with its life, and of two
// that leave at once each, or one, learns that the other does.
func TestServingStateEndsWithItsProcess(t *testing.T) {
	dir := t.TempDir()
	first, second := acquire(t, dir), acquire(t, dir)
	first.SetServing(true)
	if first.IsSiblingServing() || !second.IsSiblingServing() {
		t.Error("beside one that is not ready yet")
	}
	second.SetServing(true)
	if !first.IsSiblingServing() || !second.IsSiblingServing() {
		t.Error("beside one that serves")
	}
	first.SetServing(false)
	second.SetServing(false)
	if first.IsSiblingServing() || second.IsSiblingServing() {
		t.Error("both leave")
	}
	second.SetServing(true)
	second.Close()
	if first.IsSiblingAlive() || first.IsSiblingServing() {
		t.Error("beside one that has ended")
	}
	if third := acquire(t, dir); first.IsSiblingServing() || !first.IsSiblingAlive() {
		t.Errorf("%s inherits the word of the one before", third.Name())
	}
}

// What can't be the file is an error that names it.
func TestRejectsDirectoryAndAllowsNilLock(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "coralrelay---1-7070"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Acquire(dir, "[::1]:7070", time.Time{}); err == nil {
		t.Error("a folder passes for the file")
	}
	var none *Lock
	if none.IsSiblingAlive() || siblingSockets(none, 3) != 0 {
		t.Error("a process that shares with nobody sees another")
	}
	none.SetServing(true)
	if none.IsSiblingServing() {
		t.Error("a process that shares with nobody is succeeded")
	}
	none.Close()
}
