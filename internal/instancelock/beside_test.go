package instancelock

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func take(t *testing.T, dir string) *Lock {
	t.Helper()
	p, err := Acquire(dir, "[::1]:7070", time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func shared(p *Lock, mine int) int {
	n, _ := p.ExchangeSocketCounts(mine)
	return n
}

// Two processes learn of each other and of each other's sockets, and of an end at
// once; whatever a file of before says counts for nothing.
func TestPlaces(t *testing.T) {
	for name, left := range map[string]string{"no file": "", "garbage": "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff" +
		"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if left != "" {
				if err := os.WriteFile(filepath.Join(dir, "coralrelay---1-7070"), []byte(left), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			old := take(t, dir)
			if old.IsSiblingAlive() || shared(old, 100) != 0 {
				t.Error("a process alone sees another")
			}
			next := take(t, dir)
			if there := shared(next, 7); !next.IsSiblingAlive() || there != 100 {
				t.Errorf("the new one sees %d sockets", there)
			}
			if there := shared(old, 99); !old.IsSiblingAlive() || there != 7 {
				t.Errorf("the old one sees %d sockets", there)
			}
			if _, err := Acquire(dir, "[::1]:7070", time.Now().Add(3*again)); !errors.Is(err, ErrNoFreeSlot) {
				t.Errorf("a third: %v", err)
			}
			old.Close()
			if next.IsSiblingAlive() || shared(next, 1) != 0 {
				t.Error("the old one's end is not seen")
			}
			take(t, dir) // its place is free
		})
	}
}

// Whether the other process takes clients ends with its word or with its life, and of two
// that leave at once each, or one, learns that the other does.
func TestServes(t *testing.T) {
	dir := t.TempDir()
	old, next := take(t, dir), take(t, dir)
	old.SetServing(true)
	if old.IsSiblingServing() || !next.IsSiblingServing() {
		t.Error("beside one that is not ready yet")
	}
	next.SetServing(true)
	if !old.IsSiblingServing() || !next.IsSiblingServing() {
		t.Error("beside one that serves")
	}
	old.SetServing(false)
	next.SetServing(false)
	if old.IsSiblingServing() || next.IsSiblingServing() {
		t.Error("both leave")
	}
	next.SetServing(true)
	next.Close()
	if old.IsSiblingAlive() || old.IsSiblingServing() {
		t.Error("beside one that has ended")
	}
	if again := take(t, dir); old.IsSiblingServing() || !old.IsSiblingAlive() {
		t.Errorf("%s inherits the word of the one before", again.Name())
	}
}

// What can't be the file is an error that names it.
func TestNoFile(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "coralrelay---1-7070"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Acquire(dir, "[::1]:7070", time.Time{}); err == nil {
		t.Error("a folder passes for the file")
	}
	var alone *Lock
	if alone.IsSiblingAlive() || shared(alone, 3) != 0 {
		t.Error("a process that shares with nobody sees another")
	}
	alone.SetServing(true)
	if alone.IsSiblingServing() {
		t.Error("a process that shares with nobody is succeeded")
	}
	alone.Close()
}
