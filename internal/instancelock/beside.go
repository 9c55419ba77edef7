// Package beside tells two processes that are one node, the old one and its
// successor, about each other: whether the other lives, and how many sockets it uses.
package instancelock

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// places are the processes that may live at once.
	places = 2
	// again is the pause between two looks for a free place.
	again = 20 * time.Millisecond
)

// ErrFull is told where two processes live already.
var ErrNoFreeSlot = errors.New("two processes of this node live already")

// Place is one process's: a lock on a byte of a file in a folder that both share. What an
// earlier process left in the file counts for nothing: only a lock, which ends with its
// process, does. A nil Place is that of a process which shares with nobody.
type Lock struct {
	file     *os.File
	baseName string
	mine     int64
}

// Take takes a place of the node that listens at an address, in dir, and waits for one
// until the deadline: the last but one process may still be ending.
func Acquire(dir, listen string, deadline time.Time) (*Lock, error) {
	name := "coralrelay-" + strings.NewReplacer(":", "-", "/", "-", "[", "", "]", "", "%", "-").Replace(listen)
	path := filepath.Join(dir, name)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|unix.O_NONBLOCK|unix.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, fmt.Errorf("beside: %w", err)
	}
	if info, err := file.Stat(); err != nil || !info.Mode().IsRegular() || info.Sys().(*syscall.Stat_t).Uid != uint32(os.Getuid()) {
		_ = file.Close()
		return nil, fmt.Errorf("beside: %s is no file of this user's", path)
	}
	for {
		for i := range int64(places) {
			if unix.FcntlFlock(file.Fd(), unix.F_OFD_SETLK, slotRange(unix.F_WRLCK, i)) == nil {
				p := &Lock{file: file, baseName: name, mine: i}
				p.use(0)
				return p, nil
			}
		}
		if !time.Now().Before(deadline) {
			_ = file.Close()
			return nil, fmt.Errorf("beside: %s: %w", path, ErrNoFreeSlot)
		}
		time.Sleep(again)
	}
}

// lock names one byte: the first ones stand for the places, those behind them for the
// places whose processes take clients.
func slotRange(kind int16, place int64) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Start: place, Len: 1}
}

// at is where a place's count stands, behind all the bytes that are locked.
func at(place int64) int64 { return 8 * (1 + place) }

func (p *Lock) use(sockets int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(sockets))
	_, _ = p.file.WriteAt(b[:], at(p.mine)) // a full disk must not end the node
}

// Mine names this process in the folder, and Other the process beside it.
func (p *Lock) Name() string        { return fmt.Sprintf("%s.%d", p.baseName, p.mine) }
func (p *Lock) SiblingName() string { return fmt.Sprintf("%s.%d", p.baseName, 1-p.mine) }

// Lives tells whether the other process does.
func (p *Lock) IsSiblingAlive() bool {
	if p == nil {
		return false
	}
	return p.held(1 - p.mine)
}

// held tells whether another process holds the lock on a byte.
func (p *Lock) held(at int64) bool {
	l := slotRange(unix.F_WRLCK, at)
	return unix.FcntlFlock(p.file.Fd(), unix.F_OFD_GETLK, l) == nil && l.Type != unix.F_UNLCK
}

// Serves tells the other process whether this one takes clients, for as long as it lives.
// A process that leaves tells so before it asks Succeeded: then of two that leave at once
// one at least learns it of the other, and the clients are never left to nobody.
func (p *Lock) SetServing(yes bool) {
	if p == nil {
		return
	}
	kind := int16(unix.F_UNLCK)
	if yes {
		kind = unix.F_WRLCK
	}
	_ = unix.FcntlFlock(p.file.Fd(), unix.F_OFD_SETLK, slotRange(kind, places+p.mine)) // nobody else asks for it
}

// Succeeded tells whether the other process takes clients, so that this one need not.
func (p *Lock) IsSiblingServing() bool { return p != nil && p.held(places+1-p.mine) }

// Share tells how many sockets this process uses, and returns how many the other
// does, if it lives.
func (p *Lock) ExchangeSocketCounts(mine int) (other int, lives bool) {
	if p == nil {
		return 0, false
	}
	p.use(mine)
	var b [8]byte
	if !p.IsSiblingAlive() {
		return 0, false
	}
	if _, err := p.file.ReadAt(b[:], at(1-p.mine)); err != nil {
		return 0, true
	}
	return int(min(binary.LittleEndian.Uint64(b[:]), 1<<20)), true // whatever stands there, it is no larger
}

// Close gives the place up.
func (p *Lock) Close() {
	if p != nil {
		_ = p.file.Close()
	}
}
