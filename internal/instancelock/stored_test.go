package instancelock

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

var update = flag.Bool("update", false, "rewrite testdata/stored with the file of this version")

// Two processes must write exactly the bytes of the file in testdata/stored, which has the name
// that Acquire gives it. It was written by
//
//	go test ./internal/instancelock -run TestStored -update
func TestStoredFileIsWritten(t *testing.T) {
	dir := t.TempDir()
	first, second := acquire(t, dir), acquire(t, dir)
	first.ExchangeSocketCounts(0x030201)
	second.ExchangeSocketCounts(0x060504)
	got, err := os.ReadFile(filepath.Join(dir, "coralrelay---1-7070"))
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile("testdata/stored/coralrelay---1-7070", got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if want := stored(t); !bytes.Equal(got, want) {
		t.Errorf("written %x, stored %x", got, want)
	}
}

func stored(t *testing.T) []byte {
	t.Helper()
	b, err := os.ReadFile("testdata/stored/coralrelay---1-7070")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A process of another version that wrote the stored file and locks the same byte ranges must be
// detected, and must detect the locks of this process.
func TestStoredFileIsRead(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "coralrelay---1-7070")
	if err := os.WriteFile(path, stored(t), 0o600); err != nil {
		t.Fatal(err)
	}
	other, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	fcntl := func(command int, kind int16, start int64) *unix.Flock_t {
		l := &unix.Flock_t{Type: kind, Start: start, Len: 1}
		if err := unix.FcntlFlock(other.Fd(), command, l); err != nil {
			t.Fatal(err)
		}
		return l
	}
	fcntl(unix.F_OFD_SETLK, unix.F_WRLCK, 1) // the other process is alive in slot 1
	lock := acquire(t, dir)
	if lock.Name() != "coralrelay---1-7070.0" || lock.SiblingName() != "coralrelay---1-7070.1" {
		t.Errorf("this process is %s, the sibling %s", lock.Name(), lock.SiblingName())
	}
	if n, alive := lock.ExchangeSocketCounts(9); n != 0x060504 || !alive {
		t.Errorf("the sibling uses %#x sockets, alive: %v", n, alive)
	}
	if lock.IsSiblingServing() {
		t.Error("a sibling that does not serve is detected as serving")
	}
	fcntl(unix.F_OFD_SETLK, unix.F_WRLCK, 3) // the other process serves
	if !lock.IsSiblingServing() {
		t.Error("a sibling that serves is not detected")
	}
	for _, serving := range []bool{false, true} {
		lock.SetServing(serving)
		alive, servingRange := fcntl(unix.F_OFD_GETLK, unix.F_WRLCK, 0), fcntl(unix.F_OFD_GETLK, unix.F_WRLCK, 2)
		if alive.Type == unix.F_UNLCK || servingRange.Type == unix.F_UNLCK == serving {
			t.Errorf("serving: %v, but the locks on bytes 0 and 2 are %d and %d", serving, alive.Type, servingRange.Type)
		}
	}
}
