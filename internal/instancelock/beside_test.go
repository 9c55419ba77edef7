package instancelock

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func take(t *testing.T, dir string) *Place {
	t.Helper()
	p, err := Take(dir, "[::1]:7070", time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func shared(p *Place, mine int) int {
	n, _ := p.Share(mine)
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
			if old.Lives() || shared(old, 100) != 0 {
				t.Error("a process alone sees another")
			}
			next := take(t, dir)
			if there := shared(next, 7); !next.Lives() || there != 100 {
				t.Errorf("the new one sees %d sockets", there)
			}
			if there := shared(old, 99); !old.Lives() || there != 7 {
				t.Errorf("the old one sees %d sockets", there)
			}
			if _, err := Take(dir, "[::1]:7070", time.Now().Add(3*again)); !errors.Is(err, ErrFull) {
				t.Errorf("a third: %v", err)
			}
			old.Close()
			if next.Lives() || shared(next, 1) != 0 {
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
	old.Serves(true)
	if old.Succeeded() || !next.Succeeded() {
		t.Error("beside one that is not ready yet")
	}
	next.Serves(true)
	if !old.Succeeded() || !next.Succeeded() {
		t.Error("beside one that serves")
	}
	old.Serves(false)
	next.Serves(false)
	if old.Succeeded() || next.Succeeded() {
		t.Error("both leave")
	}
	next.Serves(true)
	next.Close()
	if old.Lives() || old.Succeeded() {
		t.Error("beside one that has ended")
	}
	if again := take(t, dir); old.Succeeded() || !old.Lives() {
		t.Errorf("%s inherits the word of the one before", again.Mine())
	}
}

// What can't be the file is an error that names it.
func TestNoFile(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "coralrelay---1-7070"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Take(dir, "[::1]:7070", time.Time{}); err == nil {
		t.Error("a folder passes for the file")
	}
	var alone *Place
	if alone.Lives() || shared(alone, 3) != 0 {
		t.Error("a process that shares with nobody sees another")
	}
	alone.Serves(true)
	if alone.Succeeded() {
		t.Error("a process that shares with nobody is succeeded")
	}
	alone.Close()
}
